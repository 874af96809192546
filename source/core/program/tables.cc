#include "program/tables.h"

#include <algorithm>

namespace daisywind::program {

auto Send(system_tables& tables, const vm_ref& to, message body) -> void {
  if (to.empty()) {
    return;
  }
  if (to == tables.self) {
    tables.loopback.push_back(std::move(body));
    return;
  }
  tables.out.emplace_back(send_message{to, std::move(body)});
}

auto Arm(system_tables& tables, instant at, timer_target target) -> void {
  tables.timers.emplace(at, std::move(target));
}

auto ArmCopy(system_tables& tables, program_copy& copy, instant at) -> void {
  if (at < copy.armed) {
    copy.armed = at;
    Arm(tables, at, program_timer{copy.state.id});
  }
}

auto FindCopy(system_tables& tables, const program_id& program)
    -> program_copy* {
  const auto found = tables.copies.find(program);
  return found == tables.copies.end() ? nullptr : &found->second;
}

auto FindOwned(system_tables& tables, const program_id& program)
    -> program_copy* {
  auto* copy = FindCopy(tables, program);
  const auto is_owner = copy != nullptr && copy->role == copy_role::kOwner;
  return is_owner ? copy : nullptr;
}

auto KnownSet(system_tables& tables, const program_id& program) -> replica_set {
  auto known = replica_set{};
  if (const auto* copy = FindCopy(tables, program)) {
    known = copy->replicas;
  }
  const auto found = tables.references.find(program);
  const auto is_newer = found != tables.references.end() &&
                        found->second.replicas.epoch > known.epoch;
  return is_newer ? found->second.replicas : known;
}

auto StoreReference(system_tables& tables,
                    const program_id& program,
                    const replica_set& replicas) -> void {
  auto& record = tables.references[program];
  record.last_updated = tables.now;
  if (replicas.epoch > record.replicas.epoch) {
    record.replicas = replicas;
  }
}

auto HandleOf(const program_copy& copy) -> program_handle {
  return program_handle{copy.state.id, copy.replicas};
}

auto ViewOf(const system_tables& tables, const program_copy& copy)
    -> program_view {
  auto view = program_view{};
  view.handle = HandleOf(copy);
  view.organisation = copy.state.organisation;
  view.service_class = copy.state.service_class;
  view.limits = copy.state.limits;
  view.used = copy.state.used;
  view.used.time = tables.now - copy.opened;
  view.reserved = ReservedOf(copy.state);
  view.is_ended = copy.state.is_ended;
  for (const auto& [name, branch] : copy.state.branches) {
    const auto is_running = std::any_of(copy.live.begin(), copy.live.end(),
                                        [&name = name](const auto& entry) {
                                          return entry.first.first == name;
                                        });
    view.branches.push_back(branch_view{name, branch.parent, branch.last_turn,
                                        is_running, branch.is_joined});
  }
  return view;
}

}  // namespace daisywind::program
