// Selects the endpoint for a request.
#ifndef DAISYWIND_DISPATCH_PLACEMENT_H_
#define DAISYWIND_DISPATCH_PLACEMENT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/random.h"
#include "common/time.h"
#include "dispatch/endpoint_table.h"
#include "dispatch/location.h"
#include "dispatch/types.h"

namespace daisywind::dispatch {

// Weights of the cost estimate for an endpoint. Every cost is a time.
struct placement_options {
  // Prompt tokens that an engine prefills per millisecond, from the users' data
  // sheets.
  double prefill_tokens_per_ms = 32.4;
  // Added to a turn for each request in flight at the engine, since a batch
  // step takes longer with each.
  duration engine_request_cost = 6ms;
  // Cost of each request beyond the slots of an endpoint without an engine.
  duration plain_request_cost = 60ms;
  // Cost of each request in flight at such an endpoint even while slots are
  // free, so that load spreads.
  duration plain_spread_cost = 4ms;
  // Added for an endpoint in another failure domain or region: the network
  // round trip and the price of the transferred bytes.
  duration other_domain_cost = 4ms;
  duration other_region_cost = 50ms;
  // Multiplied by the failure score, which counts up to a maximum. A
  // failed request that may not be repeated costs its caller the whole program;
  // another one costs the time until it is retried elsewhere.
  duration unrepeatable_failure_cost = 150ms;
  duration failure_cost = 30ms;
  double max_failure_score = 4;
  // Endpoints whose cost exceeds the lowest by at most this are tied, and one
  // of them is chosen at random.
  duration tie_tolerance = 1ms;
  // Number of endpoints sampled per choice in the failure domain, elsewhere in
  // the region and in other regions. Without sampling, VMs that all know the
  // same loads would all choose the same endpoint until its next report; the
  // better of two random choices is enough to keep the load even.
  std::size_t sampled_in_domain = 2;
  std::size_t sampled_in_region = 2;
  std::size_t sampled_elsewhere = 1;
  // Number of engines considered from the ranking of a program's homes. The
  // second one takes the program's turns while the first is overloaded.
  std::size_t ranked_homes = 2;
  // Time that work of usual length takes at an endpoint without an engine;
  // multiplied by the pace that the endpoint reports.
  duration plain_service_time = 60ms;

  auto operator<=>(const placement_options&) const = default;
};

// One request to be placed.
struct placement_request {
  service_id service;
  bool is_engine = false;
  bool may_repeat = false;
  std::vector<prompt_part> prompt;
  std::uint64_t prompt_tokens = 0;
  // Prompt tokens that endpoints have cached from earlier turns of the chain.
  std::map<endpoint_id, std::uint64_t> cached_tokens;
  std::set<endpoint_id> excluded;
  // Key of the ranking of home engines; empty when the request has no home.
  std::string home_key;
  // Mean number of tokens by which the request's prompt exceeds that of the
  // turn before, which its home is taken to have cached; empty when it is not
  // known.
  std::optional<std::uint64_t> prompt_growth;
  // What the request takes of an engine's memory, and that memory; zero when
  // the memory does not limit the choice.
  std::uint64_t tokens = 0;
  std::uint64_t memory_tokens = 0;
};

// The chosen endpoint and the figures behind the choice.
struct placement_choice {
  endpoint_id endpoint;
  duration cost{};
  double load = 0;
  std::uint64_t missing_tokens = 0;
  double pace = 1.0;
  // Whether it is the first of the program's homes.
  bool is_home = false;
  // The endpoint's rate limit for all VMs together, if it names one.
  std::optional<double> rate_limit;
  // Age of the endpoint's load report, if there is one.
  std::optional<duration> report_age;

  auto operator<=>(const placement_choice&) const = default;
};

// Returns the endpoint with the lowest expected cost among those that ran
// earlier turns of the chain and a random sample of the others, or nothing when
// every endpoint of the service is draining, excluded or at its rate limit.
// Engines without memory for the request are left out.
// Paused endpoints are considered only when all the remaining ones are paused.
auto Place(const endpoint_table& endpoints,
           const placement_request& request,
           const location& here,
           const placement_options& options,
           instant now,
           random_source& random) -> std::optional<placement_choice>;

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_PLACEMENT_H_
