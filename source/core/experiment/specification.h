// Specification of an experiment: a deployment with its workload, the faults to
// inject, and the policies, loads and seeds to run.
#ifndef DAISYWIND_EXPERIMENT_SPECIFICATION_H_
#define DAISYWIND_EXPERIMENT_SPECIFICATION_H_

#include <boost/leaf/result.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/json.h"
#include "common/time.h"

namespace daisywind::experiment {

// Bounds of a uniform distribution.
struct range {
  double low = 0.0;
  double high = 0.0;

  auto operator<=>(const range&) const = default;
};

// Workload of one class of programs. Token counts are per message.
struct class_config {
  std::string name;
  std::int32_t rank = 0;
  // Share of this class among all programs, relative to the other weights.
  double weight = 1.0;
  std::uint32_t shared_prompt_tokens = 0;
  // Number of different shared prompts. Each program uses one of them.
  std::uint32_t shared_prompts = 1;
  // Parameter of a geometric distribution from 1, truncated at max_turns.
  double mean_turns = 1.0;
  std::uint32_t max_turns = 1;
  range new_tokens;
  range output_tokens;
  // Probability that a turn calls a tool and then the model again.
  double tool_part = 0.0;
  range tool_ms;
  // Probability that a tool call is not idempotent.
  double non_idempotent_part = 0.0;
  // Probability that the caller pauses before a turn other than the first, and
  // the mean of the exponentially distributed pause.
  double think_part = 0.0;
  double mean_think_ms = 0.0;
  // Probability that a turn starts sub-agents, and their number.
  double sub_agent_part = 0.0;
  std::uint32_t sub_agents = 0;
  std::uint32_t sub_agent_prompt_tokens = 0;
  // A program counts towards the goodput if its latency, which excludes the
  // caller's pauses, is at most this.
  double deadline_s = 60.0;

  auto operator<=>(const class_config&) const = default;
};

// A failure domain with the number of its gateways and endpoints.
struct domain_config {
  std::string name;
  std::string region;
  std::uint32_t gateways = 0;
  std::uint32_t engines = 0;
  std::uint32_t services = 0;

  auto operator<=>(const domain_config&) const = default;
};

// Performance model of an engine. The capacity is the number of calls that it
// runs concurrently, cache_tokens the size of its prefix cache.
struct engine_config {
  std::uint32_t capacity = 8;
  double prefill_tokens_per_s = 8000.0;
  double decode_ms_per_token = 25.0;
  std::uint32_t cache_tokens = 131'072;

  auto operator<=>(const engine_config&) const = default;
};

// A deployment and its workload.
struct deployment_config {
  std::string organisation;
  std::vector<domain_config> domains;
  engine_config engine;
  std::uint32_t service_capacity = 16;
  // Bandwidth and one-way delay of each region's outgoing link.
  double link_bits_per_s = 30e6;
  duration link_delay = 20ms;
  // One-way delays within a region, and between a caller and its gateway.
  duration near_delay = 1ms;
  duration client_delay = 3ms;
  duration report_interval = 500ms;
  duration report_lag = 500ms;
  duration cache_event_interval = 500ms;
  duration cache_event_lag = 1000ms;
  // Probability that a batch of cache events is lost.
  double cache_event_loss = 0.05;
  std::vector<class_config> classes;

  auto operator<=>(const deployment_config&) const = default;
};

enum class fault_kind : std::uint8_t {
  kDomainLost,
  kEndpointCrash,
  kSlowEndpoint,
  kRetryStorm,
};

// A fault to inject. The time `at` counts from the start of the trial. A domain
// or endpoint that is stopped with a length of 0 does not come back. The factor
// is the slowdown of a slow endpoint.
struct fault {
  fault_kind kind = fault_kind::kEndpointCrash;
  duration at{0};
  duration length{0};
  std::string domain;
  std::uint32_t engine = 0;
  double factor = 1.0;

  auto operator<=>(const fault&) const = default;
};

// A load is a fraction of the deployment's capacity.
struct specification {
  std::string name;
  deployment_config deployment;
  std::vector<double> loads;
  std::vector<std::string> policies;
  std::vector<std::uint64_t> seeds;
  duration warm_up = 60s;
  duration measured = 300s;
  // Time after the last arrival in which programs can still finish.
  duration drain = 600s;
  std::vector<fault> faults;

  auto operator<=>(const specification&) const = default;
};

// Reads a specification and the deployment file that it names by a path
// relative to its own directory. Missing members keep their defaults. Fails
// with document_error.
auto ReadSpecification(const std::string& path) -> leaf::result<specification>;

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_SPECIFICATION_H_
