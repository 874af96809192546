// Storage of versions in the key-value service: the keys, the encoding of the
// values, and the transactions that read and write them.
#ifndef DAISYWIND_CONFIGURATION_STORAGE_H_
#define DAISYWIND_CONFIGURATION_STORAGE_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/kv_types.h"
#include "configuration/version.h"

namespace daisywind::configuration {

// Key of the newest version.
inline constexpr std::string_view kHeadKey = "daisywind/config/head";
// Key updated by each removal of chunks. The accept transaction compares it, so
// that no patch is accepted whose chunks were removed after they were written.
inline constexpr std::string_view kCollectionKey =
    "daisywind/config/collection";
inline constexpr std::string_view kChunkPrefix = "daisywind/config/chunk/";
inline constexpr std::string_view kHistoryPrefix = "daisywind/config/history/";
inline constexpr std::string_view kPatchPrefix = "daisywind/config/patch/";

// Limits of one transaction; the service accepts at most 1 MB and 128
// operations.
inline constexpr std::size_t kMaxTxnBytes = std::size_t{512} * 1024;
inline constexpr std::size_t kMaxTxnOperations = 64;

auto ChunkKey(const digest& chunk) -> std::string;
auto HistoryKey(version_number number) -> std::string;
auto PatchKey(std::string_view patch_id) -> std::string;

// Exclusive end of the range of all keys with a prefix.
auto PrefixEnd(std::string_view prefix) -> std::string;

// True when the text is a valid patch id: 1 to 128 letters, digits, '.', '_' or
// '-'.
auto IsPatchId(std::string_view text) -> bool;

auto EncodeHead(const version_head& head) -> std::string;

// Fails with document_error.
auto DecodeHead(std::string_view text) -> leaf::result<version_head>;

auto EncodeEntry(const history_entry& entry) -> std::string;

// Fails with document_error.
auto DecodeEntry(std::string_view text) -> leaf::result<history_entry>;

// The head and the keys that the accept transaction compares, as read from the
// service.
struct head_state {
  std::optional<version_head> head;
  kv::revision head_revision = 0;
  kv::revision collection_revision = 0;
  // Number of the version accepted under the patch id, if any.
  std::optional<version_number> accepted;

  auto operator<=>(const head_state&) const = default;
};

// Reads the head and, unless the patch id is empty, whether that id has been
// accepted.
auto HeadRequest(std::string_view patch_id) -> kv::txn_request;

// Decodes the response to HeadRequest, or to an AcceptRequest whose compares
// failed. Fails with document_error when a value cannot be decoded.
auto ReadHeadState(const kv::txn_response& response)
    -> leaf::result<head_state>;

// Reads chunks, in as many transactions as the limits require.
auto ChunkReadRequests(const std::vector<digest>& chunks)
    -> std::vector<kv::txn_request>;

// Writes chunks, in as many transactions as the limits require.
auto ChunkWriteRequests(const chunk_map& chunks)
    -> std::vector<kv::txn_request>;

// Accepts a version with a single compare-and-swap. The compares fail when the
// head or the collection key has changed or the patch id has been accepted
// before; the response then contains the ranges of HeadRequest.
auto AcceptRequest(const head_state& base,
                   const version_head& head,
                   const history_entry& entry) -> kv::txn_request;

// Writes back a head that was lost when the service was restored from a backup.
auto RestoreRequest(const head_state& base, const version_head& head)
    -> kv::txn_request;

// Reads the head and the history entries from version `first` on.
auto HistoryRequest(version_number first) -> kv::txn_request;

// The decoded response to HistoryRequest.
struct history_state {
  std::optional<version_head> head;
  std::vector<history_entry> entries;

  auto operator<=>(const history_state&) const = default;
};
auto ReadHistoryState(const kv::txn_response& response)
    -> leaf::result<history_state>;

// The manifest of a version, computed backwards from the head and the history
// entries after the version. Empty when the version does not exist or the
// history has a gap.
auto ManifestAt(version_number number, const history_state& state)
    -> std::optional<manifest>;

// The transactions that write version 1, in order. The last one accepts it; its
// compares fail when a version already exists.
auto InitialVersionRequests(const document& value, const version_info& info)
    -> std::vector<kv::txn_request>;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_STORAGE_H_
