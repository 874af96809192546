// Failure detection and dissemination between entry VMs with the SWIM protocol.
// The key-value service is only used to find the first peers.
#ifndef DAISYWIND_MEMBERSHIP_MEMBERSHIP_SYSTEM_H_
#define DAISYWIND_MEMBERSHIP_MEMBERSHIP_SYSTEM_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/random.h"
#include "common/time.h"
#include "membership/events.h"
#include "membership/member_table.h"
#include "membership/membership_options.h"
#include "membership/probe_table.h"

namespace daisywind::membership {

// The membership protocol of one VM, without I/O or clock: it is driven by
// events and by ticks, which should come every 100 ms, and returns commands.
class membership_system {
 public:
  membership_system(membership_options options, std::uint64_t seed);

  // Handles one event. All events before `started` are ignored.
  auto Handle(const event& input, instant now) -> std::vector<command>;

  // Runs all timers that are due.
  auto Tick(instant now) -> std::vector<command>;

  // The live members including this VM, in ascending order of VM.
  [[nodiscard]] auto Members() const -> member_list;

 private:
  auto On(const started& input, instant now) -> void;
  auto On(const peer_message& input, instant now) -> void;
  auto On(const kv_members& input, instant now) -> void;
  auto On(const kv_unavailable& input, instant now) -> void;
  auto On(const leaving& input, instant now) -> void;

  auto On(const message& input, const ping& body, instant now) -> void;
  auto On(const message& input, const ping_req& body, instant now) -> void;
  auto On(const message& input, const ack& body, instant now) -> void;
  auto On(const message& input, const join& body, instant now) -> void;
  auto On(const message& input, const sync& body, instant now) -> void;
  auto On(const message& input, const page& body, instant now) -> void;
  auto On(const message& input, const leave& body, instant now) -> void;

  // Merges a received record into the table and emits commands for the changes.
  auto MergeRecord(const member& record, instant now) -> void;
  // Handles a record of this VM: refutes a suspicion, or detects that a newer
  // incarnation has replaced this process.
  auto HandleSelfRecord(const member& record) -> void;
  auto ReportChange(const member& known, const member& record) -> void;
  auto Suspect(const vm_ref& ref, instant now) -> void;
  auto Store(const member& record, instant now) -> void;

  // After a pause of this process, discards all probes and extends all
  // suspicions, because acks may have been missed.
  auto CompensatePause(instant now) -> void;
  auto ProbeNextMember(instant now) -> void;
  // Pings the members that this VM suspects. The ping carries the suspicion, so
  // that the member can refute it.
  auto PingSuspectedMembers(instant now) -> void;
  auto CheckProbes(instant now) -> void;
  auto CheckSuspicions(instant now) -> void;
  auto JoinIfIsolated(instant now) -> void;
  auto SendSync(instant now) -> void;
  // Pings a dead member and a bootstrap address at which no live member is
  // known, so that both sides of a healed partition find each other.
  auto TryReconnect(instant now) -> void;
  // Renews this VM's lease and reads the lease keys when they are due.
  auto RunDiscovery(instant now) -> void;

  auto Send(const std::string& address, const vm_ref& ref, message_body body)
      -> void;
  // Records to piggyback on a message. Includes the receiver's own record if it
  // is suspected, dead or from a newer incarnation, so that the receiver can
  // refute it or exit.
  auto UpdatesFor(const vm_ref& receiver) -> std::vector<member>;
  auto SendPing(const member& target, instant now, bool may_relay) -> void;
  auto SendAllPages(const member& receiver) -> void;
  auto SendNextPage(const member& receiver, bool wants_answer) -> void;
  [[nodiscard]] auto IsRunning() const -> bool;
  [[nodiscard]] auto BootstrapAddresses() const -> std::vector<std::string>;
  [[nodiscard]] auto LogFleetSize() const -> double;
  [[nodiscard]] auto SuspicionTime() const -> duration;
  [[nodiscard]] auto LeaseInterval() const -> duration;
  auto TakeCommands() -> std::vector<command>;

  membership_options options_;
  random_source random_;
  member self_;
  bool has_started_ = false;
  bool is_leaving_ = false;
  bool is_superseded_ = false;
  bool has_changed_ = false;
  std::vector<std::string> seed_addresses_;
  std::vector<std::string> discovered_addresses_;
  member_table members_;
  probe_table probes_;
  std::vector<vm_ref> own_suspicions_;
  std::size_t page_cursor_ = 0;
  instant last_tick_{};
  instant next_probe_{};
  instant next_join_{};
  instant next_sync_{};
  instant next_reconnect_{};
  instant next_lease_{};
  instant next_read_{};
  std::vector<command> commands_;
};

}  // namespace daisywind::membership

#endif  // DAISYWIND_MEMBERSHIP_MEMBERSHIP_SYSTEM_H_
