// Operations of the platform's key-value service as plain values. The `kv`
// library executes them; the deterministic libraries, which do no I/O, return
// them as requests.
#ifndef DAISYWIND_COMMON_KV_TYPES_H_
#define DAISYWIND_COMMON_KV_TYPES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace daisywind::kv {

// Revision of the service: it increases with every change. Zero stands for a
// key that does not exist.
using revision = std::int64_t;

// Identifies a lease. Zero means no lease.
using lease_id = std::int64_t;

// A key with its value and the revisions at which it was created and last
// modified.
struct key_value {
  std::string key;
  std::string value;
  revision create_revision = 0;
  revision mod_revision = 0;

  auto operator<=>(const key_value&) const = default;
};

// Condition of a transaction: the key was last modified at this revision. Zero
// means that the key does not exist.
struct compare {
  std::string key;
  revision mod_revision = 0;

  auto operator<=>(const compare&) const = default;
};

// Reads one key, or all keys in [key, range_end) when range_end is not empty.
struct range_request {
  std::string key;
  std::string range_end;
  // Maximum number of keys returned; zero means no limit.
  std::int64_t limit = 0;
  bool keys_only = false;

  auto operator<=>(const range_request&) const = default;
};

// Writes one key. A lease of zero attaches none.
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

// Atomically executes `success` when all compares hold and `failure` otherwise.
// Without compares it reads or writes several keys in one call.
struct txn_request {
  std::vector<compare> compares;
  std::vector<operation> success;
  std::vector<operation> failure;

  auto operator<=>(const txn_request&) const = default;
};

// The keys found by one range_request, sorted by key. `has_more` is set when
// the limit left keys out.
struct range_response {
  std::vector<key_value> items;
  bool has_more = false;

  auto operator<=>(const range_response&) const = default;
};

// Result of a transaction: whether all compares held, and one entry in `ranges`
// for each range_request of the list that was executed.
struct txn_response {
  revision revision_at = 0;
  bool has_succeeded = false;
  std::vector<range_response> ranges;

  auto operator<=>(const txn_response&) const = default;
};

// How a call to the service ended.
enum class outcome : std::uint8_t {
  // The service returned a result.
  kAnswered,
  // The service rejected the call; nothing was written.
  kRefused,
  // No byte of the call was sent; nothing was or will be written.
  kNotSent,
  // No usable response: the call may have been executed, or may still be.
  kUnknown,
};

}  // namespace daisywind::kv

#endif  // DAISYWIND_COMMON_KV_TYPES_H_
