// Versions: a document cut into content-addressed chunks, and its number.
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

// Number of buckets that the members of a document are hashed into.
inline constexpr std::size_t kBucketCount = 256;

using bucket_index = std::uint16_t;

// The chunk of each bucket that is not empty.
using manifest = std::map<bucket_index, digest>;

// Chunks by the digest of their text.
using chunk_map = std::map<digest, std::string>;

// Names one version. Where a service restored from an old copy has given a
// number twice, the digest settles which of the two goes on everywhere.
struct version_ref {
  version_number number = 0;
  digest root;

  auto operator<=>(const version_ref&) const = default;
};

// What is known of a version besides its content.
struct version_info {
  version_ref ref;
  std::string patch_id;
  std::string author;
  // Time of acceptance at the VM that wrote it, ms since 1970.
  std::int64_t accepted_unix_ms = 0;

  auto operator<=>(const version_info&) const = default;
};

// The newest version as the key-value service holds it.
struct version_head {
  version_info info;
  manifest buckets;

  auto operator<=>(const version_head&) const = default;
};

// One bucket of a version that differs from that of the version before it. An
// absent chunk has a digest of zeros.
struct bucket_change {
  bucket_index bucket = 0;
  digest chunk;

  auto operator<=>(const bucket_change&) const = default;
};

// One line of the history.
struct history_entry {
  version_info info;
  // JSON pointers of what changed, at most kMaxPaths.
  std::vector<std::string> paths;
  // The chunks that the version before had in the buckets that changed.
  std::vector<bucket_change> replaced;

  auto operator<=>(const history_entry&) const = default;
};

// The largest number of paths in an answer or a line of the history.
inline constexpr std::size_t kMaxPaths = 100;

// A document cut into chunks.
struct chunked_document {
  manifest buckets;
  chunk_map chunks;

  auto operator<=>(const chunked_document&) const = default;
};

// Cuts a document into chunks.
auto Split(const document& value) -> chunked_document;

// Cuts a document that differs from another version in the given entries. Only
// the chunks that differ are made; those of the other version must be given.
// Fails with document_error when one of them is missing or broken.
auto Resplit(const manifest& from,
             const chunk_map& chunks,
             const std::vector<entry_change>& changes)
    -> leaf::result<chunked_document>;

// JSON pointers of all that changed, in order, at most kMaxPaths.
auto PathsOf(const std::vector<entry_change>& changes)
    -> std::vector<std::string>;

// Puts a document together. Fails with document_error when a chunk is missing
// or broken.
auto Join(const manifest& buckets, const chunk_map& chunks)
    -> leaf::result<document>;

// Puts a document together from that of another version, reading only the
// chunks that differ. All of these must be among the chunks given. Fails with
// document_error.
auto Rejoin(const document& from,
            const manifest& from_buckets,
            const manifest& buckets,
            const chunk_map& chunks) -> leaf::result<document>;

// The patch that turns one chunk into another; empty when it is not shorter
// than the chunk, or one of them can't be read.
auto ChunkPatch(const std::string& from, const std::string& to) -> std::string;

// A chunk with such a patch applied; empty when one of them can't be read. The
// digest of the result tells whether the patch was for this chunk.
auto PatchedChunk(const std::string& from, const std::string& patch)
    -> std::string;

// The digest over all chunks of a version.
auto RootDigestOf(const manifest& buckets) -> digest;

// The buckets in which `to` differs, with their chunk in `to`.
auto DiffManifests(const manifest& from, const manifest& to)
    -> std::vector<bucket_change>;

// The manifest with some buckets changed.
auto ApplyBucketChanges(manifest from,
                        const std::vector<bucket_change>& changes) -> manifest;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_VERSION_H_
