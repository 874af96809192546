#include "configuration/configuration_system.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "configuration/acknowledgements.h"
#include "configuration/chunk_collector.h"
#include "configuration/chunk_loader.h"
#include "configuration/head_restore.h"
#include "configuration/patch_flow.h"
#include "configuration/query_flow.h"
#include "configuration/service_watch.h"
#include "configuration/spread.h"
#include "configuration/system_state.h"

namespace daisywind::configuration {

struct configuration_system::state {
  state(std::uint64_t seed, configuration_options options)
      : shared(seed, options),
        loader(shared),
        watch(shared),
        restore(shared),
        versions(shared, loader),
        patches(shared, loader),
        queries(shared, loader),
        acks(shared),
        collector(shared) {}

  auto Take(const started& happened, instant now) -> void {
    shared.started_at = now;
    shared.self = happened.self;
    shared.SetMembers({});
    const auto since_start =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            now.time_since_epoch());
    shared.unix_offset_ms = happened.unix_ms - since_start.count();
  }

  auto Take(const members_changed& happened, instant /*now*/) -> void {
    shared.SetMembers(happened.members);
  }

  auto Take(const kv_result& happened, instant now) -> void {
    const auto found = shared.operations.find(happened.operation);
    if (found == shared.operations.end()) {
      return;
    }
    const auto handler = std::move(found->second);
    shared.operations.erase(found);
    handler(happened, now);
  }

  auto Take(const watch_event& happened, instant now) -> void {
    watch.HandleWatchEvent(happened, now);
  }

  auto Take(const watch_lost& happened, instant now) -> void {
    watch.HandleWatchLost(happened, now);
  }

  auto Take(const patch_requested& happened, instant now) -> void {
    patches.Begin(happened, now);
  }

  auto Take(const version_requested& happened, instant now) -> void {
    queries.HandleVersion(happened, now);
  }

  auto Take(const history_requested& happened, instant /*now*/) -> void {
    queries.HandleHistory(happened);
  }

  auto Take(const status_requested& happened, instant now) -> void {
    acks.HandleQuery(happened, now);
  }

  auto Take(const peer_message& happened, instant now) -> void {
    shared.heard_peer_at = now;
    std::visit([&](const auto& content) { Read(happened.from, content, now); },
               happened.content);
  }

  auto Read(const vm_ref& from, const announce_message& content, instant now)
      -> void {
    versions.HandleAnnounce(from, content, now);
  }

  auto Read(const vm_ref& from, const probe_message& content, instant now)
      -> void {
    versions.HandleProbe(from, content, now);
  }

  auto Read(const vm_ref& from,
            const manifest_request& /*content*/,
            instant /*now*/) -> void {
    versions.HandleManifestRequest(from);
  }

  auto Read(const vm_ref& from, const manifest_reply& content, instant /*now*/)
      -> void {
    versions.HandleManifestReply(from, content);
  }

  auto Read(const vm_ref& from, const chunk_request& content, instant /*now*/)
      -> void {
    loader.HandleRequest(from, content);
  }

  auto Read(const vm_ref& from, const chunk_reply& content, instant now)
      -> void {
    loader.HandleReply(from, content, now);
  }

  auto Read(const vm_ref& /*from*/,
            const acknowledge_message& content,
            instant now) -> void {
    acks.HandleAcknowledge(content, now);
  }

  auto Read(const vm_ref& from, const status_request& content, instant now)
      -> void {
    acks.HandleRequest(from, content, now);
  }

  auto Read(const vm_ref& /*from*/,
            const status_response& content,
            instant /*now*/) -> void {
    acks.HandleResponse(content);
  }

  auto Advance(instant now) -> std::vector<command> {
    if (shared.started_at) {
      patches.Advance(now);
      queries.Advance(now);
      versions.Advance(now);
      restore.Advance(now);
      if (restore.TakeEnded()) {
        watch.ReadSoon(now);
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
  service_watch watch;
  head_restore restore;
  spread versions;
  patch_flow patches;
  query_flow queries;
  acknowledgements acks;
  chunk_collector collector;
};

configuration_system::configuration_system(std::uint64_t seed,
                                           configuration_options options)
    : state_(std::make_unique<state>(seed, options)) {}

configuration_system::~configuration_system() = default;

auto configuration_system::Handle(const event& happened, instant now)
    -> std::vector<command> {
  std::visit([&](const auto& item) { state_->Take(item, now); }, happened);
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
  return state_->versions.IsReady();
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
