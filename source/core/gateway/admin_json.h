// Renders what operators see as JSON.
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

// The version in force on each VM.
auto ToJson(const configuration::status_reply& reply) -> json::object;

// Live members.
auto ToJson(const membership::member_list& members) -> json::array;

// Counts of programs and a list of those owned here.
auto ToJson(const program::program_stats& stats,
            const std::vector<program::program_view>& owned) -> json::object;

// Endpoints as the scheduler sees them.
auto ToJson(const policy::scheduler_summary& summary) -> json::object;

// Progress of a move.
auto ToJson(const migration::migration_progress& progress) -> json::object;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_ADMIN_JSON_H_
