#include "program/orphans.h"

#include <algorithm>

#include "program/release.h"

namespace daisywind::program {
namespace {

auto LocateProgram(system_tables& tables, const program_id& program) -> void {
  for (const auto& vm : LocateCandidates(program, tables.members)) {
    if (vm != tables.self) {
      Send(tables, vm, locate{0, program});
    }
  }
}

auto DropUnlisted(system_tables& tables, const sessions_listed& item) -> void {
  std::erase_if(tables.orphans, [&item](const auto& entry) {
    const auto& key = entry.first;
    const auto is_listed = std::find(item.programs.begin(), item.programs.end(),
                                     key.program) != item.programs.end();
    return key.endpoint == item.endpoint && !is_listed;
  });
}

auto CheckSession(system_tables& tables, const release_key& key) -> void {
  const auto known = KnownSet(tables, key.program);
  if (known.epoch == kEndedEpoch) {
    StartRelease(tables, key);
    return;
  }
  if (known.epoch != 0 && FindCopy(tables, key.program) != nullptr) {
    tables.orphans.erase(key);
    return;
  }
  const auto added = tables.orphans.emplace(key, orphan_record{});
  auto& orphan = added.first->second;
  if (added.second) {
    orphan.since = tables.now;
  }
  if (tables.now >= orphan.since + tables.options.orphan_timeout) {
    StartRelease(tables, key);
    tables.orphans.erase(key);
    return;
  }
  LocateProgram(tables, key.program);
}

}  // namespace

auto OnSessionsListed(system_tables& tables, const sessions_listed& item)
    -> void {
  DropUnlisted(tables, item);
  for (const auto& program : item.programs) {
    CheckSession(tables, release_key{item.endpoint, program});
  }
}

auto ForgetOrphan(system_tables& tables, const program_id& program) -> void {
  std::erase_if(tables.orphans, [&program](const auto& entry) {
    return entry.first.program == program;
  });
}

}  // namespace daisywind::program
