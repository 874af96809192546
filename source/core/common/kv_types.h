// Typed operations of the platform's key-value service, as values. The `kv`
// library carries them out; the decision libraries ask for them.
#ifndef DAISYWIND_COMMON_KV_TYPES_H_
#define DAISYWIND_COMMON_KV_TYPES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace daisywind::kv {

// The service's count of changes. Zero stands for a key that does not exist.
using revision = std::int64_t;

// Names a lease. Zero stands for none.
using lease_id = std::int64_t;

// A key with its value and the revisions of its first and last change.
struct key_value {
  std::string key;
  std::string value;
  revision create_revision = 0;
  revision mod_revision = 0;

  auto operator<=>(const key_value&) const = default;
};

// Condition of a transaction: the last change of the key was at this revision,
// or the key does not exist when it is zero.
struct compare {
  std::string key;
  revision mod_revision = 0;

  auto operator<=>(const compare&) const = default;
};

// Reads one key, or all keys in [key, range_end) when range_end is not empty.
struct range_request {
  std::string key;
  std::string range_end;
  // The largest number of keys returned; zero means all.
  std::int64_t limit = 0;
  bool keys_only = false;

  auto operator<=>(const range_request&) const = default;
};

// Writes one key.
struct put_request {
  std::string key;
  std::string value;
  lease_id lease = 0;

  auto operator<=>(const put_request&) const = default;
};

// Deletes one key, or all keys in [key, range_end) when range_end is not empty.
struct delete_request {
  std::string key;
  std::string range_end;

  auto operator<=>(const delete_request&) const = default;
};

using operation = std::variant<range_request, put_request, delete_request>;

// Carries out one list of operations or the other, atomically. Without
// compares it is a read or write of several keys in one call.
struct txn_request {
  std::vector<compare> compares;
  std::vector<operation> success;
  std::vector<operation> failure;

  auto operator<=>(const txn_request&) const = default;
};

// The keys found by one range_request, in the order of their names.
struct range_response {
  std::vector<key_value> items;
  bool has_more = false;

  auto operator<=>(const range_response&) const = default;
};

// The result of a transaction: whether all compares held, and one entry in
// `ranges` for each range_request of the list that was carried out.
struct txn_response {
  revision revision_at = 0;
  bool has_succeeded = false;
  std::vector<range_response> ranges;

  auto operator<=>(const txn_response&) const = default;
};

// How a call to the service ended.
enum class outcome : std::uint8_t {
  // The service has answered.
  kAnswered,
  // The service has refused the call; nothing was written.
  kRefused,
  // No byte left this process; nothing was or will be written.
  kNotSent,
  // No answer came: the call may have been carried out, or may be yet.
  kUnknown,
};

}  // namespace daisywind::kv

#endif  // DAISYWIND_COMMON_KV_TYPES_H_
