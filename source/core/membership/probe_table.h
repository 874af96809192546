// The table of probes that wait for an ack.
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

// One ping without an ack so far.
struct probe {
  std::uint64_t sequence = 0;
  member target;
  instant sent_at{};
  bool relays_asked = false;
  // Set when the ping was sent for another member: who asked and under which
  // number.
  std::optional<member> asked_by;
  std::uint64_t asked_sequence = 0;
};

// Probes by their sequence number.
class probe_table {
 public:
  // Records a probe and gives it its number.
  auto Add(probe item) -> std::uint64_t;

  // Removes and returns a probe.
  auto Take(std::uint64_t sequence) -> std::optional<probe>;

  // Own probes sent before the time for which no relay was asked yet. They are
  // marked as asked.
  auto TakeUnrelayed(instant sent_before) -> std::vector<probe>;

  // Removes and returns all probes sent before the time.
  auto TakeExpired(instant sent_before) -> std::vector<probe>;

  auto Clear() -> void { probes_.clear(); }

 private:
  std::map<std::uint64_t, probe> probes_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace daisywind::membership

#endif  // DAISYWIND_MEMBERSHIP_PROBE_TABLE_H_
