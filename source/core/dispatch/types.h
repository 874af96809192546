// Types for the dispatch decisions of a front, the node on an entry VM that
// serves callers: routes, services, endpoints and requests.
#ifndef DAISYWIND_DISPATCH_TYPES_H_
#define DAISYWIND_DISPATCH_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/time.h"

namespace daisywind::dispatch {

using service_id = strong_name<struct service_tag>;
using route_id = strong_name<struct route_tag>;

// Identifies a part of a prompt that an engine keeps in its prefix cache.
using prompt_part_id = strong_name<struct prompt_part_tag>;

// How often a request may run.
enum class route_kind : std::uint8_t {
  // Any number of times.
  kIdempotent,
  // Once.
  kOnce,
  // Once, unless the route's streams may be resumed; its answer is a stream of
  // events.
  kStream,
};

// A service and its share of a route's requests.
struct weighted_service {
  service_id service;
  std::uint32_t weight = 1;

  auto operator<=>(const weighted_service&) const = default;
};

// Maps the requests for a host and path prefix to services.
struct route {
  route_id id;
  std::string host;
  std::string prefix;
  route_kind kind = route_kind::kOnce;
  // Time after which an unanswered request is given up.
  duration timeout = 30s;
  // Latency objective: an answer, or the first event of a stream, within this
  // time earns full credit.
  duration latency_objective = 1s;
  // Priority of the route's requests; zero is served first.
  std::uint32_t priority = 0;
  std::vector<weighted_service> services;
  // Maximum number of endpoints on which one request may run.
  std::uint32_t max_attempts = 1;
  // Whether the system stores the route's turns, and for how long.
  bool stores_turns = false;
  duration retention = 0s;
  // Whether a stream that broke off may go on at another endpoint after its
  // last event.
  bool is_resumable = false;
  // Whether requests have endpoint affinity: endpoints that have already seen a
  // request's object process it faster.
  bool is_sticky = false;
  // Whether callers need no API key.
  bool is_public = false;

  auto operator<=>(const route&) const = default;
};

// Inference engine behind a service whose endpoints are model replicas.
struct engine_profile {
  std::uint32_t slots = 1;
  std::uint64_t memory_tokens = 0;
  // Tokens in each event of a stream.
  std::uint32_t event_tokens = 1;

  auto operator<=>(const engine_profile&) const = default;
};

// A service and the properties that all of its endpoints share.
struct service {
  service_id id;
  std::uint32_t max_connections = 0;
  std::optional<engine_profile> engine;

  auto operator<=>(const service&) const = default;
};

// An organisation whose callers identify themselves by API keys.
struct organisation {
  organisation_id id;
  std::vector<std::string> api_keys;
  // Limit on its requests over all VMs together; zero for none.
  double requests_per_second = 0;
  double burst = 0;
  // Priority of its requests in place of their routes'.
  std::optional<std::uint32_t> priority;

  auto operator<=>(const organisation&) const = default;
};

// Limits on what a caller may send.
struct request_limits {
  std::size_t max_head_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  duration head_timeout = 3s;
  duration idle_timeout = 15s;

  auto operator<=>(const request_limits&) const = default;
};

// One version of the operators' configuration.
struct configuration {
  version_number version = 0;
  std::vector<route> routes;
  std::vector<service> services;
  request_limits limits;
  // Empty when callers need no API keys.
  std::optional<std::vector<organisation>> organisations;

  auto operator<=>(const configuration&) const = default;
};

// One registered endpoint.
struct endpoint {
  endpoint_id id;
  service_id service;
  // As "ip:port".
  std::string address;
  failure_domain_id failure_domain;
  std::uint32_t slots = 1;
  // It finishes its current requests and gets no new ones.
  bool is_draining = false;
  // Remaining warm-up time after a cold start, as of the registration; the
  // endpoint is slow until then.
  duration remaining_warm_up = 0s;
  // Unix time of its start in milliseconds. A later start under the same id is
  // a new run, without the state of the previous one.
  std::int64_t started_ms = 0;

  auto operator<=>(const endpoint&) const = default;
};

// Load as an endpoint reports it.
struct load_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  // How long work takes on the endpoint's machine, as a multiple of the usual;
  // empty when the endpoint does not say.
  std::optional<double> pace = std::nullopt;

  auto operator<=>(const load_report&) const = default;
};

// A part of a prompt and its length.
struct prompt_part {
  prompt_part_id id;
  std::uint32_t tokens = 0;

  auto operator<=>(const prompt_part&) const = default;
};

// Metadata that a request carries.
struct call {
  std::string request_id;
  std::string host;
  std::string path;
  // Remaining time that its caller waits.
  std::optional<duration> deadline;
  std::string program;
  std::string session;
  // Remaining time until its program should be finished.
  std::optional<duration> program_deadline;
  // Tokens that all turns of its program together may generate.
  std::optional<std::uint64_t> token_budget;
  // The turn that it continues from.
  std::string previous_turn;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  // Output tokens that its caller expects; empty when it does not say.
  std::optional<std::uint32_t> expected_output_tokens;
  // Its prompt in order; the last part belongs to this request or session
  // alone.
  std::vector<prompt_part> prompt;
  std::string affinity_key;
  // The id of the event after which its stream is to go on; empty when it is to
  // start at the first.
  std::string last_event_id;
  // Empty without a key, or with several different ones.
  std::string api_key;

  auto operator<=>(const call&) const = default;
};

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_TYPES_H_
