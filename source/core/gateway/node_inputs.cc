// Handling of inputs of a node: messages, members, versions and routing.
#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>

#include "common/logging.h"
#include "common/process_clock.h"
#include "configuration_wire/codec.h"
#include "gateway/node_components.h"
#include "membership_wire/codec.h"
#include "policy_wire/codec.h"
#include "program_wire/codec.h"

namespace daisywind::gateway {
namespace {

// Maximum time for which a started VM waits for the first reports of its
// endpoints before it becomes ready.
constexpr duration kEndpointWait = 5s;

}  // namespace

auto node::components::OnEnvelope(const wire::envelope& received) -> bool {
  switch (received.payload_protocol) {
    case wire::protocol::kHello:
      return true;
    case wire::protocol::kProgram:
      if (auto body = program::DecodeMessage(received.payload)) {
        program_io.Submit(
            program::peer_message{received.from, std::move(*body)});
        return true;
      }
      return false;
    case wire::protocol::kConfiguration:
      if (auto body = configuration::DecodeMessage(received.payload)) {
        configuration_io.Submit(
            configuration::peer_message{received.from, std::move(*body)});
        return true;
      }
      return false;
    case wire::protocol::kMembership:
      if (auto body = membership::DecodeMessage(received.payload)) {
        membership_io.Submit(membership::peer_message{std::move(*body)});
        return true;
      }
      return false;
    case wire::protocol::kPolicy:
      return OnQuarantine(received.payload);
  }
  return false;
}

auto node::components::OnQuarantine(const std::string& payload) -> bool {
  auto body = policy::DecodeMessage(payload);
  if (!body) {
    return false;
  }
  for (auto& crash : body->crashes) {
    crash.observed_at -= WallClockOffset();
  }
  scheduler.OnQuarantineMessage(*body, Now());
  return true;
}

auto node::components::ShareQuarantine() -> void {
  auto message = scheduler.TakeQuarantineMessage();
  if (message.crashes.empty() && message.cleared.empty()) {
    return;
  }
  for (auto& crash : message.crashes) {
    crash.observed_at += WallClockOffset();
  }
  const auto payload = policy::EncodeMessage(message);
  for (const auto& [vm, ref] : live_members) {
    if (vm != self.vm) {
      peers.Send(ref, wire::protocol::kPolicy, payload);
    }
  }
}

auto node::components::OnMembers(const membership::member_list& members)
    -> void {
  live_members.clear();
  auto configured = configuration::members_changed{};
  auto migration_members = migration::members{self.vm, {}};
  for (const auto& member : members) {
    live_members[member.ref.vm] = member.ref;
    configured.members.push_back({member.ref, member.failure_domain});
    migration_members.live.push_back(member.ref.vm);
  }
  scheduler.SetGateways(static_cast<std::uint32_t>(members.size()));
  program_io.Submit(program::members_changed{ToProgramMembers(members)});
  configuration_io.Submit(configured);
  migration_io.Submit(migration_members);
}

auto node::components::OnPeerLost(const vm_id& vm) -> void {
  const auto found = live_members.find(vm);
  if (found != live_members.end() && vm != self.vm) {
    program_io.Submit(program::peer_lost{found->second});
  }
}

auto node::components::OnInstall(const configuration::install_version& version)
    -> void {
  Log(log_events::kVersionInstalled,
      {{"version", static_cast<std::int64_t>(version.number)},
       {"spread_ms", version.spread_ms}});
  auto digests = std::map<organisation_id, std::string>{};
  for (const auto& [id, organisation] : version.content->organisations) {
    digests[id] = organisation.key_digest;
  }
  keys.Set(std::move(digests));
  endpoints.Update(*version.content);
  scheduler.SetOrganisations(ToPolicyOrganisations(*version.content),
                             ToPolicyNeeds(*version.content));
  const auto age =
      std::chrono::milliseconds(std::max<std::int64_t>(0, version.spread_ms));
  migration_io.Submit(migration::wanted_changed{
      ToWantedState(version.number, *version.content), Now() - age});
  if (!first_install) {
    first_install = Now();
  }
  UpdateEndpoints();
}

auto node::components::OnRouting(const migration::routing_state& state)
    -> void {
  routing[state.endpoint] = state;
  const auto reason = migration::ToString(state.reason);
  Log(log_events::kRoutingChanged,
      {{"endpoint", std::string_view(state.endpoint.value)},
       {"accepts", state.accepts_new_work},
       {"reason", reason}});
  // The routing of thousands of endpoints changes at the start. The next slow
  // tick passes all changes to the scheduler at once.
  has_routing_changed = true;
}

auto node::components::OnLeaving(const endpoint_id& endpoint) -> void {
  scheduler.OnLeaving(endpoint);
  migration_io.Submit(migration::endpoint_refused{endpoint});
}

auto node::components::UpdateEndpoints() -> void {
  has_routing_changed = false;
  const auto document = configuration_io.system().Document();
  if (document != nullptr) {
    scheduler.SetEndpoints(ToPolicyEndpoints(*document, routing), Now());
  }
}

auto node::components::UpdateGauges() -> void {
  const auto stats = programs.Stats();
  const auto& system = configuration_io.system();
  metrics_registry.SetGauge("daisywind_programs_owned", {},
                            static_cast<double>(stats.owned));
  metrics_registry.SetGauge("daisywind_programs_witnessed", {},
                            static_cast<double>(stats.witnessed));
  metrics_registry.SetGauge("daisywind_takeovers", {},
                            static_cast<double>(stats.takeovers));
  metrics_registry.SetGauge("daisywind_program_bytes", {},
                            static_cast<double>(programs.MemoryEstimate()));
  metrics_registry.SetGauge("daisywind_version", {},
                            static_cast<double>(system.Number()));
  metrics_registry.SetGauge("daisywind_members", {},
                            static_cast<double>(live_members.size()));
  const auto& counts = kv_client.counts();
  const auto kv_calls = counts.ranges + counts.puts + counts.txns +
                        counts.grants + counts.keep_alives + counts.revokes +
                        counts.watches;
  metrics_registry.SetGauge("daisywind_key_value_calls", {},
                            static_cast<double>(kv_calls));
  for (const auto& [kind, count] : peers.Traffic()) {
    const auto labels =
        metric_labels{{"protocol", std::to_string(static_cast<int>(kind))}};
    metrics_registry.SetGauge("daisywind_peer_sent_bytes", labels,
                              static_cast<double>(count.sent_bytes));
    metrics_registry.SetGauge("daisywind_peer_sent_messages", labels,
                              static_cast<double>(count.sent_messages));
  }
}

auto node::components::IsReady() const -> bool {
  return !is_stopping && configuration_io.system().IsReady() &&
         HasSeenEndpoints();
}

// Directly after the start no endpoint has reported yet, and every call would
// be refused. After kEndpointWait the VM becomes ready without the missing
// endpoints, so that it can serve calls to the others.
auto node::components::HasSeenEndpoints() const -> bool {
  const auto document = configuration_io.system().Document();
  if (document == nullptr || !first_install) {
    return false;
  }
  return Now() - *first_install > kEndpointWait ||
         HasRequiredEndpoints(*document, routing);
}

}  // namespace daisywind::gateway
