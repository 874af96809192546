// Versions of the configuration: a numbered document that is split into
// content-addressed chunks.
#ifndef DAISYWIND_CONFIGURATION_VERSION_H_
#define DAISYWIND_CONFIGURATION_VERSION_H_

#include <boost/leaf/result.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/digest.h"
#include "common/ids.h"
#include "configuration/document.h"

namespace daisywind::configuration {

// Number of buckets into which the entries of a document are hashed.
inline constexpr std::size_t kBucketCount = 256;

using bucket_index = std::uint16_t;

// The digest of the chunk of each non-empty bucket.
using manifest = std::map<bucket_index, digest>;

// Chunk texts, keyed by their digest.
using chunk_map = std::map<digest, std::string>;

// Identifies one version. A key-value service restored from an old backup may
// assign the same number twice; the version with the greater root digest then
// takes precedence on all VMs.
struct version_ref {
  version_number number = 0;
  digest root;

  auto operator<=>(const version_ref&) const = default;
};

// Metadata of a version.
struct version_info {
  version_ref ref;
  std::string patch_id;
  std::string author;
  // Time of acceptance by the wall clock of the VM that wrote the version, ms
  // since 1970.
  std::int64_t accepted_unix_ms = 0;

  auto operator<=>(const version_info&) const = default;
};

// A version as stored under the head key: its metadata and manifest.
struct version_head {
  version_info info;
  manifest buckets;

  auto operator<=>(const version_head&) const = default;
};

// A bucket whose chunk differs between two versions. An all-zero digest means
// that the bucket is empty.
struct bucket_change {
  bucket_index bucket = 0;
  digest chunk;

  auto operator<=>(const bucket_change&) const = default;
};

// The history entry of one version.
struct history_entry {
  version_info info;
  // JSON pointers of the changed values, at most kMaxPaths.
  std::vector<std::string> paths;
  // The previous version's chunks of the changed buckets.
  std::vector<bucket_change> replaced;

  auto operator<=>(const history_entry&) const = default;
};

// Maximum number of paths in a reply or a history entry.
inline constexpr std::size_t kMaxPaths = 100;

// A document split into chunks.
struct chunked_document {
  manifest buckets;
  chunk_map chunks;

  auto operator<=>(const chunked_document&) const = default;
};

// Splits a document into chunks.
auto Split(const document& value) -> chunked_document;

// Incremental Split of a document that differs from the version `from` in the
// given entries. Only the changed chunks are built, from the chunks of `from`.
// Fails with document_error when one of these is missing or malformed.
auto SplitChanged(const manifest& from,
                  const chunk_map& chunks,
                  const std::vector<entry_change>& changes)
    -> leaf::result<chunked_document>;

// JSON pointers of the changed values, sorted, at most kMaxPaths.
auto PathsOf(const std::vector<entry_change>& changes)
    -> std::vector<std::string>;

// Assembles a document from its chunks. Fails with document_error when a chunk
// is missing or malformed.
auto Join(const manifest& buckets, const chunk_map& chunks)
    -> leaf::result<document>;

// Incremental Join: assembles a document from that of another version and the
// chunks that differ. `chunks` must contain the differing chunks of both
// versions. Fails with document_error.
auto JoinChanged(const document& from,
                 const manifest& from_buckets,
                 const manifest& buckets,
                 const chunk_map& chunks) -> leaf::result<document>;

// Computes the merge patch that transforms one chunk into another. Empty when
// the patch is not shorter than the new chunk, or a chunk is not valid JSON.
auto MakeChunkPatch(const std::string& from, const std::string& to)
    -> std::string;

// Applies a chunk patch. Empty when the chunk or the patch is not valid JSON.
// The caller must compare the digest of the result, because a patch that was
// made for another chunk is applied as well.
auto ApplyChunkPatch(const std::string& from, const std::string& patch)
    -> std::string;

// The digest over all bucket numbers and chunk digests of a version.
auto RootDigestOf(const manifest& buckets) -> digest;

// The buckets that differ between two manifests, with their chunk in `to`.
auto DiffManifests(const manifest& from, const manifest& to)
    -> std::vector<bucket_change>;

// Returns the manifest with the changes applied.
auto ApplyBucketChanges(manifest from,
                        const std::vector<bucket_change>& changes) -> manifest;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_VERSION_H_
