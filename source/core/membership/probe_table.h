// Probes that wait for an ack.
#ifndef DAISYWIND_MEMBERSHIP_PROBE_TABLE_H_
#define DAISYWIND_MEMBERSHIP_PROBE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "common/time.h"
#include "membership/member.h"

namespace daisywind::membership {

// A ping that has not been acknowledged yet.
struct probe {
  std::uint64_t sequence = 0;
  member target;
  instant sent_at{};
  bool relays_requested = false;
  // Set when the ping was sent for the indirect probe of another member: that
  // member and the sequence number of its request.
  std::optional<member> requester;
  std::uint64_t requester_sequence = 0;
};

class probe_table {
 public:
  // Adds a probe and returns the sequence number assigned to it.
  auto Add(probe item) -> std::uint64_t;

  // Removes and returns a probe, or returns nothing if the sequence number is
  // unknown.
  auto Take(std::uint64_t sequence) -> std::optional<probe>;

  // Returns this VM's own probes sent at `sent_by` or earlier for which no
  // indirect probe has been requested, and marks them as requested. They stay
  // in the table.
  auto MarkDueForRelay(instant sent_by) -> std::vector<probe>;

  // Removes and returns all probes sent at `sent_by` or earlier.
  auto TakeExpired(instant sent_by) -> std::vector<probe>;

  auto Clear() -> void { probes_.clear(); }

 private:
  std::map<std::uint64_t, probe> probes_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace daisywind::membership

#endif  // DAISYWIND_MEMBERSHIP_PROBE_TABLE_H_
