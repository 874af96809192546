// The state of a scheduler as tables, and the functions that operate on them.
#ifndef DAISYWIND_POLICY_SCHEDULER_TABLES_H_
#define DAISYWIND_POLICY_SCHEDULER_TABLES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

#include "common/random.h"
#include "policy/cache_view.h"
#include "policy/endpoint_table.h"
#include "policy/link_cost_model.h"
#include "policy/options.h"
#include "policy/organisation_table.h"
#include "policy/quarantine.h"
#include "policy/retry_budget.h"
#include "policy/routing.h"
#include "policy/target_table.h"
#include "policy/types.h"

namespace daisywind::policy {

// A call that has been dispatched and not yet been reported finished.
struct sent_call {
  call_request request;
  endpoint_index endpoint = 0;
  instant sent_at;
  std::optional<instant> first_token_at;
  instant last_progress;
  bool is_suspect = false;
  bool is_reported_hung = false;
};

struct scheduler_tables {
  scheduler_tables(const scheduler_options& scheduler_options,
                   std::uint64_t seed);

  auto FindSent(call_ref call) -> sent_call*;

  scheduler_options options;
  random_source random;
  endpoint_table endpoints;
  target_table targets;
  organisation_table organisations;
  cache_view cache;
  link_cost_model link;
  retry_budget retries;
  quarantine crashes;
  std::unique_ptr<routing_strategy> routing;
  std::unordered_map<call_ref, sent_call> sent;
  instant last_maintenance;
  std::uint64_t routed = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t refused = 0;
  std::uint64_t retried = 0;
};

// Sets the number of gateways that share the rate limits and links.
auto SetGateways(scheduler_tables& tables, std::uint32_t gateways) -> void;

// Returns a refusal for a call that must not be queued: it is quarantined, not
// admitted, or over the rate limits of its organisation.
auto CheckEnqueue(scheduler_tables& tables,
                  const call_request& request,
                  instant now) -> std::optional<refusal>;

// Adds a call to the queue of its target.
auto AddToQueue(scheduler_tables& tables,
                const call_request& request,
                instant now) -> void;

// Removes a finished call and updates load, health and cost estimates from it.
// Ejects the endpoint if it has become an outlier.
auto FinishCall(scheduler_tables& tables,
                call_ref call,
                finish_kind result,
                const token_usage& usage,
                instant now) -> void;

// Ends expired ejections and updates the median slowdowns of peers. Does
// nothing until the maintenance interval has passed.
auto AdvanceHealth(scheduler_tables& tables, instant now) -> void;

// Refuses calls that have waited longer than the maximum queueing time.
auto RefuseExpired(scheduler_tables& tables, instant now, decisions& out)
    -> void;

// Dispatches waiting calls to endpoints with free slots.
auto DispatchWaiting(scheduler_tables& tables, instant now, decisions& out)
    -> void;

// Reports each call without progress within the hang time-out, once.
auto FindHung(scheduler_tables& tables, instant now, decisions& out) -> void;

// Figures for metrics and the admin API.
auto Summarise(const scheduler_tables& tables) -> scheduler_summary;

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_SCHEDULER_TABLES_H_
