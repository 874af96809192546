// An in-memory key-value store with the semantics of etcd: revisions,
// transactions, leases and watch events.
#ifndef DAISYWIND_STANDIN_KV_STORE_H_
#define DAISYWIND_STANDIN_KV_STORE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/time.h"

namespace daisywind::standin {

using kv_revision = std::int64_t;
using lease_id = std::int64_t;

// A key with its value and revisions.
struct kv_entry {
  std::string key;
  std::string value;
  kv_revision create_revision = 0;
  kv_revision mod_revision = 0;
  // Number of writes since the key was created, counting its creation as 1.
  std::int64_t version = 0;
  // 0 for no lease.
  lease_id lease = 0;

  auto operator<=>(const kv_entry&) const = default;
};

// A key range, as in etcd: an empty range_end selects the single key, "\0" all
// keys from `key` on, and any other value the keys in [key, range_end).
struct key_range {
  std::string key;
  std::string range_end;

  auto operator<=>(const key_range&) const = default;
  [[nodiscard]] auto Contains(std::string_view other) const -> bool;
};

struct put_op {
  std::string key;
  std::string value;
  lease_id lease = 0;
};

struct range_op {
  key_range range;
  // Maximum number of entries returned; 0 for no limit.
  std::size_t limit = 0;
};

struct delete_op {
  key_range range;
};

using kv_op = std::variant<put_op, range_op, delete_op>;

struct put_result {};

struct range_result {
  std::vector<kv_entry> entries;
  // Number of entries in the range, regardless of the limit.
  std::size_t count = 0;
};

struct delete_result {
  std::size_t deleted = 0;
};

using kv_op_result = std::variant<put_result, range_result, delete_result>;

// The attribute of a key that a comparison tests.
enum class compare_target : std::uint8_t {
  kVersion,
  kCreateRevision,
  kModRevision,
  kValue,
  kLease,
};

enum class compare_result : std::uint8_t { kEqual, kGreater, kLess, kNotEqual };

// A comparison of a transaction. It uses `value` for kValue and `number` for
// every other target.
struct kv_compare {
  std::string key;
  compare_target target = compare_target::kVersion;
  compare_result result = compare_result::kEqual;
  std::string value;
  std::int64_t number = 0;
};

// A transaction. It runs `success` if all comparisons hold, otherwise
// `failure`.
struct kv_txn {
  std::vector<kv_compare> compares;
  std::vector<kv_op> success;
  std::vector<kv_op> failure;
};

struct txn_result {
  bool has_succeeded = false;
  std::vector<kv_op_result> results;
};

// A change of one key. A deletion carries only the key and its mod_revision.
struct kv_event {
  bool is_delete = false;
  kv_entry entry;

  auto operator<=>(const kv_event&) const = default;
};

// Every operation or transaction that writes creates one new revision.
class kv_store {
 public:
  // Maximum number of events retained for watches.
  static constexpr std::size_t kMaxEvents = 20'000;

  [[nodiscard]] auto revision() const -> kv_revision { return revision_; }

  // Runs a single operation. Returns nullopt when its lease does not exist.
  auto Apply(const kv_op& op) -> std::optional<kv_op_result>;

  // Runs a transaction. Returns nullopt, without writing, when an operation of
  // the selected branch names a lease that does not exist.
  auto Apply(const kv_txn& txn) -> std::optional<txn_result>;

  // Grants a lease and returns its id; for an id of 0 the store chooses one.
  // Returns 0 when the id is in use.
  auto Grant(lease_id id, duration ttl, instant now) -> lease_id;

  // Renews a lease and returns its time to live, or nullopt when it does not
  // exist.
  auto KeepAlive(lease_id id, instant now) -> std::optional<duration>;

  // Revokes a lease and deletes its keys. Returns false when it does not exist.
  auto Revoke(lease_id id) -> bool;

  // Revokes the leases that have expired.
  auto ExpireLeases(instant now) -> void;

  // The first revision from which on all events are retained.
  [[nodiscard]] auto OldestRevision() const -> kv_revision;

  // Retained events of a key range from a revision on, oldest first.
  [[nodiscard]] auto EventsFrom(const key_range& range, kv_revision start) const
      -> std::vector<kv_event>;

 private:
  struct lease_state {
    duration ttl{};
    instant expires_at;
    std::set<std::string> keys;
  };

  auto Run(const put_op& op, kv_revision new_revision) -> kv_op_result;
  auto Run(const range_op& op, kv_revision new_revision) -> kv_op_result;
  auto Run(const delete_op& op, kv_revision new_revision) -> kv_op_result;
  auto RunAll(const std::vector<kv_op>& ops) -> std::vector<kv_op_result>;
  auto Erase(const std::string& key, kv_revision new_revision) -> void;
  auto Record(kv_event event) -> void;
  auto DetachFromLease(const std::string& key) -> void;
  [[nodiscard]] auto AllLeasesExist(const std::vector<kv_op>& ops) const
      -> bool;
  [[nodiscard]] auto IsSatisfied(const kv_compare& compare) const -> bool;

  std::map<std::string, kv_entry> entries_;
  std::map<lease_id, lease_state> leases_;
  std::deque<kv_event> events_;
  kv_revision revision_ = 1;
  // Revision of the newest event that was dropped; 0 for none.
  kv_revision dropped_revision_ = 0;
  lease_id next_lease_ = 1000;
};

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_KV_STORE_H_
