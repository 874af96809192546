// Table of the known members and of the updates that still have to be
// disseminated.
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

// A member's record with the bookkeeping of this VM.
struct member_row {
  member record;
  // When this VM received the current record.
  instant since{};
  // Number of further messages that should carry this record.
  std::uint32_t transmissions_left = 0;
};

// One row per known VM, except this VM.
class member_table {
 public:
  [[nodiscard]] auto Find(const vm_id& vm) const -> const member_row*;

  // Inserts or replaces the row of the record's VM.
  auto Store(const member& record, instant now, std::uint32_t transmissions)
      -> void;

  // Removes dead and left members whose record is at least `age` old.
  auto PruneDead(instant now, duration age) -> void;

  // Extends every suspicion by the duration of a pause of this process.
  auto ExtendSuspicions(duration pause) -> void;

  // The next live member to probe. Each round visits every live member once, in
  // random order (round-robin probing of SWIM).
  auto NextToProbe(random_source& random) -> std::optional<member>;

  // Up to `count` distinct random members that are alive and not `except`.
  auto SampleAlive(random_source& random,
                   std::size_t count,
                   const vm_id& except) const -> std::vector<member>;

  // A random dead or left member whose address is not used by a live member.
  auto SampleDead(random_source& random) const -> std::optional<member>;

  // Whether a live member uses the address.
  [[nodiscard]] auto IsAddressInUse(const std::string& address) const -> bool;

  // Up to `count` records to piggyback on a message. Takes the most important
  // and least transmitted records first and counts them as transmitted.
  auto TakeUpdates(std::size_t count) -> std::vector<member>;

  // Up to `count` records starting at row number `cursor`, which is advanced.
  // Restarts at the first row when the cursor is past the end.
  auto Page(std::size_t& cursor, std::size_t count) const
      -> std::vector<member>;

  // Members that have been suspected since `time` or longer.
  [[nodiscard]] auto SuspectedBefore(instant time) const -> std::vector<member>;

  [[nodiscard]] auto Live() const -> member_list;
  [[nodiscard]] auto CountLive() const -> std::size_t { return live_count_; }
  [[nodiscard]] auto size() const -> std::size_t { return rows_.size(); }

  // Digest of the incarnations of all live members and of `self`. Does not
  // depend on the order of the rows or on which members are suspected.
  [[nodiscard]] auto LiveMembersDigest(const member& self) const
      -> std::uint64_t;

 private:
  std::map<vm_id, member_row> rows_;
  std::vector<vm_id> probe_round_;
  // VMs whose record may have transmissions left.
  std::set<vm_id> pending_updates_;
  std::size_t live_count_ = 0;
  std::size_t suspect_count_ = 0;
};

}  // namespace daisywind::membership

#endif  // DAISYWIND_MEMBERSHIP_MEMBER_TABLE_H_
