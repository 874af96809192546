// Encoding and decoding of the JSON bodies of etcd's v3 gateway: keys and
// values are base64, 64-bit integers are strings, and members with default
// values are omitted.
#ifndef DAISYWIND_KV_ETCD_JSON_H_
#define DAISYWIND_KV_ETCD_JSON_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/json.h"
#include "common/kv_types.h"

namespace daisywind::kv {

// A lease and its remaining time to live, in seconds. Zero means that it has
// expired.
struct lease_state {
  lease_id id = 0;
  std::int64_t ttl_seconds = 0;

  auto operator<=>(const lease_state&) const = default;
};

// One change reported by a watch. A deletion has no value.
struct watch_change {
  key_value item;
  bool is_deleted = false;

  auto operator<=>(const watch_change&) const = default;
};

// One message of a watch.
struct watch_message {
  std::vector<watch_change> changes;
  bool is_created = false;
  // The service has ended the watch, for example because the requested revision
  // has been compacted.
  bool is_canceled = false;

  auto operator<=>(const watch_message&) const = default;
};

auto EncodeRange(const range_request& request) -> std::string;
auto EncodePut(const put_request& request) -> std::string;
auto EncodeTxn(const txn_request& request) -> std::string;
auto EncodeGrant(std::int64_t ttl_seconds) -> std::string;
auto EncodeLease(lease_id id) -> std::string;

// Encodes a watch of a key, starting at the given revision. Zero means only
// changes from now on.
auto EncodeWatch(std::string_view key, revision start_revision) -> std::string;

// Each of these returns nothing when the text is not a valid response of its
// kind.
auto DecodeRange(std::string_view text) -> std::optional<range_response>;
auto DecodeTxn(std::string_view text) -> std::optional<txn_response>;
auto DecodeRevision(std::string_view text) -> std::optional<revision>;
auto DecodeGrant(std::string_view text) -> std::optional<lease_state>;
auto DecodeKeepAlive(std::string_view text) -> std::optional<lease_state>;
auto DecodeWatch(std::string_view line) -> std::optional<watch_message>;

}  // namespace daisywind::kv

#endif  // DAISYWIND_KV_ETCD_JSON_H_
