// Decides which entry VMs are alive by random probing (SWIM), with the
// key-value service only as a place to find the first peers.
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

// The membership protocol of one VM. It is driven by events and by ticks,
// which should come every 100 ms.
class membership_system {
 public:
  membership_system(membership_options options, std::uint64_t seed);

  // Takes one event. Everything but `started` is ignored before `started`.
  auto Handle(const event& input, instant now) -> std::vector<command>;

  // Does the work that is due.
  auto Tick(instant now) -> std::vector<command>;

  // The live members, this VM included, by ascending VM.
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

  // Merges a record into the table and reports what it changes.
  auto Learn(const member& record, instant now) -> void;
  auto LearnOfSelf(const member& record) -> void;
  auto ReportChange(const member& known, const member& record) -> void;
  auto Suspect(const vm_ref& ref, instant now) -> void;
  auto Store(const member& record, instant now) -> void;

  auto CompensatePause(instant now) -> void;
  auto StartProbe(instant now) -> void;
  // Tells the members suspected by this VM, so that they can contradict.
  auto PingOwnSuspicions(instant now) -> void;
  auto CheckProbes(instant now) -> void;
  auto CheckSuspicions(instant now) -> void;
  auto JoinWhileAlone(instant now) -> void;
  auto OfferSync(instant now) -> void;
  auto SeekLostMembers(instant now) -> void;
  auto UseService(instant now) -> void;

  auto Send(const std::string& address, const vm_ref& ref, message_body body)
      -> void;
  // Updates for a receiver: first what it should know about itself.
  auto UpdatesFor(const vm_ref& receiver) -> std::vector<member>;
  auto SendPing(const member& target, instant now, bool may_relay) -> void;
  auto SendPages(const member& receiver) -> void;
  auto SendPage(const member& receiver, bool wants_answer) -> void;
  [[nodiscard]] auto IsRunning() const -> bool;
  [[nodiscard]] auto BootstrapAddresses() const -> std::vector<std::string>;
  [[nodiscard]] auto LogOfFleet() const -> double;
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
  std::vector<std::string> service_addresses_;
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
