// Values that pass between the scheduler of a gateway and its surroundings.
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

// Names one attempt of a call within one gateway. Chosen by the gateway and
// never used again.
using call_ref = std::uint64_t;

// The first 64 bits of a cache block's digest.
using block_hash = std::uint64_t;

enum class endpoint_kind : std::uint8_t { kEngine, kService };

// What an endpoint is wanted for: new work, its running work only, or nothing.
enum class endpoint_role : std::uint8_t { kServing, kDraining, kEmpty };

// An endpoint as the configuration states it. The capacity is the number of
// calls that it runs at once.
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

// Load as an endpoint reported it at `measured`, over the calls of all
// gateways.
struct load_report {
  endpoint_id endpoint;
  instant measured;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;

  auto operator<=>(const load_report&) const = default;
};

enum class cache_event_kind : std::uint8_t { kStored, kRemoved, kCleared };

// One change of an engine's prefix cache. Sequence numbers count up from the
// engine's start; a gap means that events have been lost.
struct cache_event {
  std::uint64_t sequence = 0;
  cache_event_kind kind = cache_event_kind::kStored;
  std::vector<block_hash> blocks;

  auto operator<=>(const cache_event&) const = default;
};

// One block of a prompt, with the number of prompt tokens up to its end.
struct prefix_block {
  block_hash block = 0;
  std::uint32_t tokens = 0;

  auto operator<=>(const prefix_block&) const = default;
};

// A call that waits for an endpoint.
struct call_request {
  call_ref call = 0;
  program_id program;
  organisation_id organisation;
  class_id call_class;
  endpoint_kind kind = endpoint_kind::kEngine;
  // The model's or the service's name.
  std::string target;
  adapter_id adapter;
  // Blocks of the prompt by ascending tokens. The gateway may leave blocks out;
  // the last block of each message suffices.
  std::vector<prefix_block> prefix;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;
  // Bytes of the request, for the price of the link between regions.
  std::uint32_t body_bytes = 0;
  bool is_idempotent = false;
  // Whether earlier calls of the program have run; such calls are refused last.
  bool is_continuation = false;
  // From 1; more than 1 is a retry, paid for with PlanRetry.
  std::uint32_t attempt = 1;
  std::vector<endpoint_id> excluded;
  // Engine time that the program's earlier calls have used.
  duration attained_service{0};
  digest body;

  auto operator<=>(const call_request&) const = default;
};

// Order to send a call. A lower priority goes first at the engine.
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

// A call that has not been sent and never will be. Its outcome is not_run.
struct refusal {
  call_ref call = 0;
  refusal_reason reason = refusal_reason::kOverloaded;
  duration retry_after{0};

  auto operator<=>(const refusal&) const = default;
};

// What one tick decided. A call in `hung` has been sent and has shown no
// progress within its bound: the gateway cancels it and reports it finished as
// kTimedOut.
struct decisions {
  std::vector<dispatch> dispatches;
  std::vector<refusal> refusals;
  std::vector<call_ref> hung;

  auto operator<=>(const decisions&) const = default;
};

// How a sent call ended.
enum class finish_kind : std::uint8_t {
  kCompleted,
  // Refused by the endpoint, or not connected: proved that it did not run.
  kNotRun,
  // Failed after it may have run.
  kFailed,
  kTimedOut,
  // Cancelled by the caller; says nothing about the endpoint.
  kCancelled,
};

// Tokens that a finished call used.
struct token_usage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
  std::uint32_t output_tokens = 0;

  auto operator<=>(const token_usage&) const = default;
};

// An organisation's part of the fleet and its limits. A rate of zero means no
// limit.
struct organisation_policy {
  organisation_id id;
  double share = 1.0;
  // A lower rank goes first within the organisation.
  std::map<class_id, std::int32_t> class_ranks;
  double tokens_per_second = 0.0;
  double calls_per_second = 0.0;

  auto operator<=>(const organisation_policy&) const = default;
};

// The least number of serving endpoints of a model or service.
struct target_need {
  std::string target;
  std::uint32_t endpoints = 0;

  auto operator<=>(const target_need&) const = default;
};

// A crash of one run of an endpoint and the bodies that ran there, as far as
// one gateway knows.
struct crash_evidence {
  endpoint_id endpoint;
  // Start of the time window that the crash fell in; names the crash.
  instant window;
  std::vector<digest> bodies;

  auto operator<=>(const crash_evidence&) const = default;
};

// What gateways tell each other about requests that crash endpoints.
struct quarantine_message {
  std::vector<crash_evidence> crashes;
  // Bodies that have completed after a crash and so are innocent.
  std::vector<digest> cleared;

  auto operator<=>(const quarantine_message&) const = default;
};

// Figures for metrics.
struct endpoint_summary {
  endpoint_id id;
  // Calls in flight here by this gateway's estimate, over all gateways.
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
  // Choices of an endpoint, also those that let the call wait.
  std::uint64_t routed = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t refused = 0;
  std::uint64_t retried = 0;
  std::vector<endpoint_summary> endpoints;

  auto operator<=>(const scheduler_summary&) const = default;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_TYPES_H_
