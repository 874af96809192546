// Input and output values of the scheduler.
#ifndef DAISYWIND_POLICY_TYPES_H_
#define DAISYWIND_POLICY_TYPES_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/digest.h"
#include "common/ids.h"
#include "common/time.h"

namespace daisywind::policy {

// Identifies one attempt of a call within one gateway. Assigned by the gateway
// and never reused.
using call_ref = std::uint64_t;

// Hash that identifies a prefix-cache block: the first 64 bits of the block's
// digest.
using block_hash = std::uint64_t;

enum class endpoint_kind : std::uint8_t { kEngine, kService };

// Intended use of an endpoint: new calls (serving), only its running calls
// (draining), or none (empty).
enum class endpoint_role : std::uint8_t { kServing, kDraining, kEmpty };

// An endpoint according to the configuration. The capacity is the number of
// calls that it runs concurrently.
struct endpoint_info {
  endpoint_id id;
  failure_domain_id failure_domain;
  region_id region;
  endpoint_kind kind = endpoint_kind::kEngine;
  std::vector<model_id> models;
  std::vector<adapter_id> adapters;
  std::vector<std::string> services;
  std::uint32_t capacity = 1;
  endpoint_role role = endpoint_role::kServing;

  auto operator<=>(const endpoint_info&) const = default;
};

// Load that an endpoint reported at the time `measured`, including the calls of
// all gateways.
struct load_report {
  endpoint_id endpoint;
  instant measured;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;

  auto operator<=>(const load_report&) const = default;
};

enum class cache_event_kind : std::uint8_t { kStored, kRemoved, kCleared };

// One change of an engine's prefix cache. Sequence numbers increase by one from
// the start of the engine; a gap means that events were lost.
struct cache_event {
  std::uint64_t sequence = 0;
  cache_event_kind kind = cache_event_kind::kStored;
  std::vector<block_hash> blocks;

  auto operator<=>(const cache_event&) const = default;
};

// A block of a prompt, with the number of prompt tokens up to and including the
// block.
struct prefix_block {
  block_hash block = 0;
  std::uint32_t tokens = 0;

  auto operator<=>(const prefix_block&) const = default;
};

// A call to be scheduled.
struct call_request {
  call_ref call = 0;
  program_id program;
  organisation_id organisation;
  class_id call_class;
  endpoint_kind kind = endpoint_kind::kEngine;
  // Name of the model or service.
  std::string target;
  adapter_id adapter;
  // Blocks of the prompt in ascending order of tokens. The gateway can leave
  // out blocks; the last block of each message is sufficient.
  std::vector<prefix_block> prefix;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;
  // Size of the request, for the cost of the link between regions.
  std::uint32_t body_bytes = 0;
  bool is_idempotent = false;
  // Whether earlier calls of the program have run. Such calls are refused last.
  bool is_continuation = false;
  // Counts from 1. Attempts after the first are retries, which must have been
  // allowed by PlanRetry.
  std::uint32_t attempt = 1;
  std::vector<endpoint_id> excluded;
  // Engine time used by the program's earlier calls.
  duration attained_service{0};
  digest body;

  auto operator<=>(const call_request&) const = default;
};

// Decision to send a call to an endpoint. The engine runs calls with lower
// priority values first.
struct dispatch {
  call_ref call = 0;
  endpoint_id endpoint;
  std::int32_t priority = 0;

  auto operator<=>(const dispatch&) const = default;
};

enum class refusal_reason : std::uint8_t {
  kNoEndpoint,
  kRateLimited,
  kOverloaded,
  kQuarantined,
  kRetryBudgetSpent,
};

// A call that will not be sent. Its outcome is not_run.
struct refusal {
  call_ref call = 0;
  refusal_reason reason = refusal_reason::kOverloaded;
  duration retry_after{0};

  auto operator<=>(const refusal&) const = default;
};

// Decisions of one tick. The calls in `hung` have been sent and have shown no
// progress within the hang time-out: the gateway cancels them and reports them
// finished as kTimedOut.
struct decisions {
  std::vector<dispatch> dispatches;
  std::vector<refusal> refusals;
  std::vector<call_ref> hung;

  auto operator<=>(const decisions&) const = default;
};

// How a dispatched call ended.
enum class finish_kind : std::uint8_t {
  kCompleted,
  // Refused by the endpoint, or no connection: it is certain that the call did
  // not run.
  kNotRun,
  // Failed; it may have run.
  kFailed,
  kTimedOut,
  // Cancelled by the caller, which tells nothing about the health of the
  // endpoint.
  kCancelled,
};

// Tokens that a finished call used.
struct token_usage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
  std::uint32_t output_tokens = 0;

  auto operator<=>(const token_usage&) const = default;
};

// An organisation's share of the fleet and its rate limits. A rate of zero
// means no limit.
struct organisation_policy {
  organisation_id id;
  double share = 1.0;
  // Rank of each class. Calls of a lower rank go first within the organisation.
  std::map<class_id, std::int32_t> class_ranks;
  double tokens_per_second = 0.0;
  double calls_per_second = 0.0;

  auto operator<=>(const organisation_policy&) const = default;
};

// Minimum number of serving endpoints of a model or service.
struct target_need {
  std::string target;
  std::uint32_t endpoints = 0;

  auto operator<=>(const target_need&) const = default;
};

// One crash of an endpoint and the bodies that were running there, as far as
// one gateway knows.
struct crash_evidence {
  endpoint_id endpoint;
  // Time at which the gateway observed the crash. Identifies the crash together
  // with the endpoint.
  instant observed_at;
  std::vector<digest> bodies;

  auto operator<=>(const crash_evidence&) const = default;
};

// Message between gateways about requests that crash endpoints.
struct quarantine_message {
  std::vector<crash_evidence> crashes;
  // Bodies that completed after a crash and therefore did not cause it.
  std::vector<digest> cleared;

  auto operator<=>(const quarantine_message&) const = default;
};

// Figures of one endpoint for metrics and the admin API.
struct endpoint_summary {
  endpoint_id id;
  // Estimated number of calls in flight at the endpoint, over all gateways.
  double estimated_load = 0.0;
  double concurrency_limit = 0.0;
  std::uint32_t sent_in_flight = 0;
  bool is_ejected = false;
  bool is_leaving = false;

  auto operator<=>(const endpoint_summary&) const = default;
};

struct scheduler_summary {
  std::size_t queued = 0;
  std::size_t in_flight = 0;
  std::size_t quarantined_bodies = 0;
  // Number of routing decisions, including those that let the call wait.
  std::uint64_t routed = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t refused = 0;
  std::uint64_t retried = 0;
  std::vector<endpoint_summary> endpoints;

  auto operator<=>(const scheduler_summary&) const = default;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_TYPES_H_
