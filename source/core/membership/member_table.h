// The table of known members and of records that are still spreading.
#ifndef DAISYWIND_MEMBERSHIP_MEMBER_TABLE_H_
#define DAISYWIND_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/random.h"
#include "common/time.h"
#include "membership/member.h"

namespace daisywind::membership {

// A member with what this VM tracks about it.
struct member_row {
  member record;
  // When the state was learnt.
  instant since{};
  // How often the record is still to be sent along.
  std::uint32_t transmissions_left = 0;
};

// One row for each VM. This VM has no row.
class member_table {
 public:
  [[nodiscard]] auto Find(const vm_id& vm) const -> const member_row*;

  // Inserts or replaces the row of the record's VM.
  auto Store(const member& record, instant now, std::uint32_t transmissions)
      -> void;

  // Removes dead and left rows that are older than the age.
  auto Forget(instant now, duration age) -> void;

  // Moves the time of every suspicion, after a pause of this process.
  auto DelaySuspicions(duration pause) -> void;

  // The next live member to probe. Each round visits every live member once in
  // a random order.
  auto NextToProbe(random_source& random) -> std::optional<member>;

  // Up to `count` different alive members other than `except`.
  auto SampleAlive(random_source& random,
                   std::size_t count,
                   const vm_id& except) const -> std::vector<member>;

  // A random dead member whose address no live member holds.
  auto SampleDead(random_source& random) const -> std::optional<member>;

  // Whether a live member has the address.
  [[nodiscard]] auto HoldsAddress(const std::string& address) const -> bool;

  // Up to `count` records that were sent least often, counted as sent.
  auto TakeUpdates(std::size_t count) -> std::vector<member>;

  // Up to `count` records from the cursor on, which is moved.
  auto Page(std::size_t& cursor, std::size_t count) const
      -> std::vector<member>;

  // Runs of members that were suspected before the given time.
  [[nodiscard]] auto SuspectedBefore(instant time) const -> std::vector<member>;

  [[nodiscard]] auto Live() const -> member_list;
  [[nodiscard]] auto CountLive() const -> std::size_t { return live_count_; }
  [[nodiscard]] auto size() const -> std::size_t { return rows_.size(); }

  // Digest over the live rows and the given record, independent of order and
  // of who is suspected.
  [[nodiscard]] auto ViewDigest(const member& self) const -> std::uint64_t;

 private:
  std::map<vm_id, member_row> rows_;
  std::vector<vm_id> probe_round_;
  // Rows that may have transmissions left.
  std::set<vm_id> spreading_;
  std::size_t live_count_ = 0;
  std::size_t suspect_count_ = 0;
};

}  // namespace daisywind::membership

#endif  // DAISYWIND_MEMBERSHIP_MEMBER_TABLE_H_
