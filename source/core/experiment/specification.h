// What an experiment runs: a deployment, its workload, faults and policies.
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

// A uniform distribution.
struct range {
  double low = 0.0;
  double high = 0.0;

  auto operator<=>(const range&) const = default;
};

// The programs of one class. Token counts are of single messages.
struct class_shape {
  std::string name;
  std::int32_t rank = 0;
  // Part of all programs that are of this class.
  double weight = 1.0;
  std::uint32_t shared_prompt_tokens = 0;
  // Different shared prompts, each program has one of them.
  std::uint32_t shared_prompts = 1;
  // Geometric, from 1.
  double mean_turns = 1.0;
  std::uint32_t max_turns = 1;
  range new_tokens;
  range output_tokens;
  // Part of the turns that call a tool and then the model again.
  double tool_part = 0.0;
  range tool_ms;
  double non_idempotent_part = 0.0;
  // Part of the turns before which the caller pauses, and the mean pause.
  double think_part = 0.0;
  double mean_think_ms = 0.0;
  // Part of the turns that start sub-agents.
  double sub_agent_part = 0.0;
  std::uint32_t sub_agents = 0;
  std::uint32_t sub_agent_prompt_tokens = 0;
  // A program counts as good when it ends within this time, without the
  // caller's pauses.
  double deadline_s = 60.0;

  auto operator<=>(const class_shape&) const = default;
};

struct domain_shape {
  std::string name;
  std::string region;
  std::uint32_t gateways = 0;
  std::uint32_t engines = 0;
  std::uint32_t services = 0;

  auto operator<=>(const domain_shape&) const = default;
};

struct engine_shape {
  std::uint32_t capacity = 8;
  double prefill_tokens_per_s = 8000.0;
  double decode_ms_per_token = 25.0;
  std::uint32_t cache_tokens = 131'072;

  auto operator<=>(const engine_shape&) const = default;
};

// A deployment and its workload.
struct deployment_shape {
  std::string organisation;
  std::vector<domain_shape> domains;
  engine_shape engine;
  std::uint32_t service_capacity = 16;
  double link_bits_per_s = 30e6;
  duration link_delay = 20ms;
  duration near_delay = 1ms;
  duration client_delay = 3ms;
  duration report_interval = 500ms;
  duration report_lag = 500ms;
  duration cache_event_interval = 500ms;
  duration cache_event_lag = 1000ms;
  double cache_event_loss = 0.05;
  std::vector<class_shape> classes;

  auto operator<=>(const deployment_shape&) const = default;
};

enum class fault_kind : std::uint8_t {
  kDomainLost,
  kEndpointCrash,
  kSlowEndpoint,
  kRetryStorm,
};

struct fault {
  fault_kind kind = fault_kind::kEndpointCrash;
  duration at{0};
  duration length{0};
  std::string domain;
  std::uint32_t engine = 0;
  double factor = 1.0;

  auto operator<=>(const fault&) const = default;
};

struct specification {
  std::string name;
  deployment_shape deployment;
  std::vector<double> loads;
  std::vector<std::string> policies;
  std::vector<std::uint64_t> seeds;
  duration warm_up = 60s;
  duration measured = 300s;
  // How long programs may run on after the last arrival.
  duration drain = 600s;
  std::vector<fault> faults;

  auto operator<=>(const specification&) const = default;
};

// Reads a specification and the deployment file that it names, relative to its
// own folder. Fails with document_error.
auto ReadSpecification(const std::string& path) -> leaf::result<specification>;

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_SPECIFICATION_H_
