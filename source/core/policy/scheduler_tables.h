// The tables of a scheduler and the systems that run over them.
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

// A call that has been dispatched and not yet reported finished.
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
  instant last_slow_tick;
  std::uint64_t routed = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t refused = 0;
  std::uint64_t retried = 0;
};

// Refuses a call that must not wait: quarantined, over its organisation's
// rates, without an endpoint, or too late to be served in time. Takes note of
// the number of gateways that share endpoints and links.
auto SetGateways(scheduler_tables& tables, std::uint32_t gateways) -> void;

auto CheckEnqueue(scheduler_tables& tables,
                  const call_request& request,
                  instant now) -> std::optional<refusal>;

// Puts a call into its queue.
auto AddToQueue(scheduler_tables& tables,
                const call_request& request,
                instant now) -> void;

// Takes the end of a dispatched call and learns from it.
auto Settle(scheduler_tables& tables,
            call_ref call,
            finish_kind how,
            const token_usage& usage,
            instant now) -> void;

// Ends ejections that have run out and updates the slowdowns of peers.
auto AdvanceHealth(scheduler_tables& tables, instant now) -> void;

// Refuses calls that have waited too long.
auto RefuseExpired(scheduler_tables& tables, instant now, decisions& out)
    -> void;

// Sends waiting calls to endpoints with room.
auto DispatchWaiting(scheduler_tables& tables, instant now, decisions& out)
    -> void;

// Names sent calls without progress within the bound, each once.
auto FindHung(scheduler_tables& tables, instant now, decisions& out) -> void;

// Figures for metrics.
auto Summarise(const scheduler_tables& tables) -> scheduler_summary;

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_SCHEDULER_TABLES_H_
