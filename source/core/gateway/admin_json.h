// Renders the JSON responses of the operator interface.
#ifndef DAISYWIND_GATEWAY_ADMIN_JSON_H_
#define DAISYWIND_GATEWAY_ADMIN_JSON_H_

#include <vector>

#include "common/json.h"
#include "configuration/events.h"
#include "membership/member.h"
#include "migration/progress.h"
#include "policy/types.h"
#include "program/program_system.h"

namespace daisywind::gateway {

// The history of versions.
auto ToJson(const configuration::history_reply& reply) -> json::object;

// The installed version of each VM, and the VMs that have not reported one.
auto ToJson(const configuration::status_reply& reply) -> json::object;

// The live members of the cluster.
auto ToJson(const membership::member_list& members) -> json::array;

// Program counters and the programs that this VM owns.
auto ToJson(const program::program_stats& stats,
            const std::vector<program::program_view>& owned) -> json::object;

// The scheduler's queue lengths and its state of each endpoint.
auto ToJson(const policy::scheduler_summary& summary) -> json::object;

// Progress of a migration.
auto ToJson(const migration::migration_progress& progress) -> json::object;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_ADMIN_JSON_H_
