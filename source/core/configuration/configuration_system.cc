#include "configuration/configuration_system.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "configuration/acknowledgement_tracker.h"
#include "configuration/chunk_loader.h"
#include "configuration/garbage_collector.h"
#include "configuration/head_restore.h"
#include "configuration/head_watch.h"
#include "configuration/patch_processor.h"
#include "configuration/query_processor.h"
#include "configuration/system_state.h"
#include "configuration/version_distributor.h"

namespace daisywind::configuration {

struct configuration_system::state {
  state(std::uint64_t seed, configuration_options options)
      : shared(seed, options),
        loader(shared),
        watch(shared),
        restore(shared),
        distributor(shared, loader),
        patches(shared, loader),
        queries(shared, loader),
        acks(shared),
        collector(shared) {}

  auto HandleEvent(const started& input, instant now) -> void {
    shared.started_at = now;
    shared.self = input.self;
    shared.SetMembers({});
    const auto clock_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        now.time_since_epoch());
    shared.unix_offset_ms = input.unix_ms - clock_ms.count();
  }

  auto HandleEvent(const members_changed& input, instant /*now*/) -> void {
    shared.SetMembers(input.members);
  }

  auto HandleEvent(const kv_result& input, instant now) -> void {
    const auto found = shared.operations.find(input.operation);
    if (found == shared.operations.end()) {
      return;
    }
    const auto handler = std::move(found->second);
    shared.operations.erase(found);
    handler(input, now);
  }

  auto HandleEvent(const watch_event& input, instant now) -> void {
    watch.HandleWatchEvent(input, now);
  }

  auto HandleEvent(const watch_lost& input, instant now) -> void {
    watch.HandleWatchLost(input, now);
  }

  auto HandleEvent(const patch_requested& input, instant now) -> void {
    patches.Begin(input, now);
  }

  auto HandleEvent(const version_requested& input, instant now) -> void {
    queries.HandleVersion(input, now);
  }

  auto HandleEvent(const history_requested& input, instant /*now*/) -> void {
    queries.HandleHistory(input);
  }

  auto HandleEvent(const status_requested& input, instant now) -> void {
    acks.HandleStatusQuery(input, now);
  }

  auto HandleEvent(const peer_message& input, instant now) -> void {
    shared.last_peer_message_at = now;
    std::visit(
        [&](const auto& content) { HandleMessage(input.from, content, now); },
        input.content);
  }

  auto HandleMessage(const vm_ref& from,
                     const announce_message& content,
                     instant now) -> void {
    distributor.HandleAnnounce(from, content, now);
  }

  auto HandleMessage(const vm_ref& from,
                     const probe_message& content,
                     instant now) -> void {
    distributor.HandleProbe(from, content, now);
  }

  auto HandleMessage(const vm_ref& from,
                     const manifest_request& /*content*/,
                     instant /*now*/) -> void {
    distributor.HandleManifestRequest(from);
  }

  auto HandleMessage(const vm_ref& from,
                     const manifest_reply& content,
                     instant /*now*/) -> void {
    distributor.HandleManifestReply(from, content);
  }

  auto HandleMessage(const vm_ref& from,
                     const chunk_request& content,
                     instant /*now*/) -> void {
    loader.HandleRequest(from, content);
  }

  auto HandleMessage(const vm_ref& from,
                     const chunk_reply& content,
                     instant now) -> void {
    loader.HandleReply(from, content, now);
  }

  auto HandleMessage(const vm_ref& /*from*/,
                     const acknowledge_message& content,
                     instant now) -> void {
    acks.HandleAcknowledge(content, now);
  }

  auto HandleMessage(const vm_ref& from,
                     const status_request& content,
                     instant now) -> void {
    acks.HandlePeerRequest(from, content, now);
  }

  auto HandleMessage(const vm_ref& /*from*/,
                     const status_response& content,
                     instant /*now*/) -> void {
    acks.HandleResponse(content);
  }

  auto Advance(instant now) -> std::vector<command> {
    if (shared.started_at) {
      patches.Advance(now);
      queries.Advance(now);
      distributor.Advance(now);
      restore.Advance(now);
      if (restore.TakeFinished()) {
        watch.ScheduleRead(now);
      }
      watch.Advance(now);
      loader.Advance(now);
      acks.Advance(now);
      collector.Advance(now);
    }
    return std::exchange(shared.commands, {});
  }

  system_state shared;
  chunk_loader loader;
  head_watch watch;
  head_restore restore;
  version_distributor distributor;
  patch_processor patches;
  query_processor queries;
  acknowledgement_tracker acks;
  garbage_collector collector;
};

configuration_system::configuration_system(std::uint64_t seed,
                                           configuration_options options)
    : state_(std::make_unique<state>(seed, options)) {}

configuration_system::~configuration_system() = default;

auto configuration_system::Handle(const event& input, instant now)
    -> std::vector<command> {
  std::visit([&](const auto& item) { state_->HandleEvent(item, now); }, input);
  return state_->Advance(now);
}

auto configuration_system::Tick(instant now) -> std::vector<command> {
  return state_->Advance(now);
}

auto configuration_system::Number() const -> version_number {
  return state_->shared.installed.head.info.ref.number;
}

auto configuration_system::Document() const -> std::shared_ptr<const document> {
  return state_->shared.installed.content;
}

auto configuration_system::IsReady() const -> bool {
  return state_->distributor.IsReady();
}

auto configuration_system::Staleness(instant now) const
    -> std::optional<duration> {
  const auto& proof_at = state_->shared.proof_at;
  if (!proof_at) {
    return std::nullopt;
  }
  return std::max(duration(0), now - *proof_at);
}

auto configuration_system::IsStale(instant now) const -> bool {
  const auto age = Staleness(now);
  return !age || *age > kStaleAfter;
}

auto configuration_system::counters() const -> configuration_counters {
  return state_->shared.counters;
}

}  // namespace daisywind::configuration
