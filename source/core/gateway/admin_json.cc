#include "gateway/admin_json.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace daisywind::gateway {
namespace {

constexpr auto kMsPerSecond = 1000.0;

auto ToSeconds(std::int64_t milliseconds) -> json::value {
  if (milliseconds < 0) {
    return nullptr;
  }
  return static_cast<double>(milliseconds) / kMsPerSecond;
}

auto ToSeconds(duration value) -> double {
  return std::chrono::duration<double>(value).count();
}

auto ToJson(const configuration::history_entry& entry) -> json::object {
  auto object = json::object{};
  object["version"] = entry.info.ref.number;
  object["patch_id"] = entry.info.patch_id;
  object["author"] = entry.info.author;
  object["accepted_unix_ms"] = entry.info.accepted_unix_ms;
  object["paths"] = json::value_from(entry.paths);
  return object;
}

auto ToJson(const configuration::acknowledgement& state) -> json::object {
  auto object = json::object{};
  object["vm"] = state.vm.vm.value;
  object["failure_domain"] = state.domain.value;
  object["version"] = state.number;
  object["seconds_to_install"] = ToSeconds(state.spread_ms);
  object["proof_age_seconds"] = ToSeconds(state.proof_age_ms);
  return object;
}

auto ToJson(const migration::endpoint_progress& item) -> json::object {
  auto object = json::object{};
  object["endpoint"] = item.endpoint.value;
  object["failure_domain"] = item.failure_domain.value;
  object["wanted"] = migration::ToString(item.wanted);
  object["phase"] = migration::ToString(item.phase);
  object["is_done"] = item.is_done;
  object["is_vm_leaving"] = item.is_vm_leaving;
  object["held_up_by"] = item.held_up_by;
  object["running"] = item.running;
  object["sessions"] = item.sessions;
  return object;
}

auto NameOf(const std::string& name) -> const std::string& {
  return name;
}

template <class Tag>
auto NameOf(const strong_name<Tag>& name) -> const std::string& {
  return name.value;
}

template <class Key>
auto GroupsToJson(const std::map<Key, migration::group_progress>& groups)
    -> json::object {
  auto object = json::object{};
  for (const auto& [name, group] : groups) {
    auto counts = json::object{};
    counts["done"] = group.done;
    counts["total"] = group.total;
    object[NameOf(name)] = std::move(counts);
  }
  return object;
}

}  // namespace

auto ToJson(const configuration::history_reply& reply) -> json::object {
  auto entries = json::array{};
  for (const auto& entry : reply.entries) {
    entries.push_back(ToJson(entry));
  }
  auto object = json::object{};
  object["versions"] = std::move(entries);
  return object;
}

auto ToJson(const configuration::status_reply& reply) -> json::object {
  auto states = json::array{};
  for (const auto& state : reply.states) {
    states.push_back(ToJson(state));
  }
  auto silent = json::array{};
  for (const auto& member : reply.silent) {
    silent.push_back(json::value(member.vm.vm.value));
  }
  auto object = json::object{};
  object["newest"] = reply.newest;
  object["vms"] = std::move(states);
  object["silent"] = std::move(silent);
  return object;
}

auto ToJson(const membership::member_list& members) -> json::array {
  auto list = json::array{};
  for (const auto& member : members) {
    auto object = json::object{};
    object["vm"] = member.ref.vm.value;
    object["run"] = member.ref.run;
    object["address"] = member.address;
    object["failure_domain"] = member.failure_domain.value;
    object["region"] = member.region.value;
    object["state"] = membership::ToString(member.state);
    list.push_back(std::move(object));
  }
  return list;
}

auto ToJson(const program::program_stats& stats,
            const std::vector<program::program_view>& owned) -> json::object {
  auto list = json::array{};
  for (const auto& view : owned) {
    auto object = json::object{};
    object["program"] = program::ToString(view.handle);
    object["organisation"] = view.organisation.value;
    object["class"] = view.service_class.value;
    object["tokens_used"] = view.used.tokens;
    object["tokens_limit"] = view.limits.tokens;
    object["branches"] = view.branches.size();
    list.push_back(std::move(object));
  }
  auto object = json::object{};
  object["owned"] = stats.owned;
  object["witnessed"] = stats.witnessed;
  object["running_calls"] = stats.running_calls;
  object["releases_pending"] = stats.releases_pending;
  object["takeovers"] = stats.takeovers;
  object["changes"] = stats.changes;
  object["handovers"] = stats.handovers;
  object["lost"] = stats.lost_programs;
  object["programs"] = std::move(list);
  return object;
}

auto ToJson(const policy::scheduler_summary& summary) -> json::object {
  auto list = json::array{};
  for (const auto& item : summary.endpoints) {
    auto object = json::object{};
    object["endpoint"] = item.id.value;
    object["estimated_load"] = item.estimated_load;
    object["concurrency_limit"] = item.concurrency_limit;
    object["sent_in_flight"] = item.sent_in_flight;
    object["is_ejected"] = item.is_ejected;
    object["is_leaving"] = item.is_leaving;
    list.push_back(std::move(object));
  }
  auto object = json::object{};
  object["queued"] = summary.queued;
  object["in_flight"] = summary.in_flight;
  object["quarantined_bodies"] = summary.quarantined_bodies;
  object["endpoints"] = std::move(list);
  return object;
}

auto ToJson(const migration::migration_progress& progress) -> json::object {
  auto endpoints = json::array{};
  for (const auto& item : progress.endpoints) {
    endpoints.push_back(ToJson(item));
  }
  auto object = json::object{};
  object["version"] = progress.version;
  object["is_reconciler"] = progress.is_reconciler;
  object["fence"] = progress.fence;
  object["elapsed_seconds"] = ToSeconds(progress.elapsed);
  object["deadline_seconds"] = ToSeconds(progress.deadline);
  object["is_overdue"] = progress.is_overdue;
  object["percent"] = progress.percent;
  object["is_old_building_empty"] = progress.is_evacuation_complete;
  object["models"] = GroupsToJson(progress.models);
  object["adapters"] = GroupsToJson(progress.adapters);
  object["failure_domains"] = GroupsToJson(progress.failure_domains);
  object["endpoints"] = std::move(endpoints);
  return object;
}

}  // namespace daisywind::gateway
