// Chooses the endpoint of a request.
#ifndef DAISYWIND_DISPATCH_PLACEMENT_H_
#define DAISYWIND_DISPATCH_PLACEMENT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/ids.h"
#include "common/random.h"
#include "common/time.h"
#include "dispatch/endpoint_table.h"
#include "dispatch/types.h"

namespace daisywind::dispatch {

// Where this VM stands.
struct location {
  failure_domain_id failure_domain;
  region_id region;
  // The region of each failure domain.
  std::map<failure_domain_id, region_id> regions;

  auto operator<=>(const location&) const = default;
};

// Weights of the expected cost of an endpoint, all in time.
struct placement_options {
  // Prompt tokens that an engine reads in a millisecond (users' sheets).
  double prefill_tokens_per_ms = 32.4;
  // What each request under way adds to a turn: a batch step grows with it.
  duration engine_request_cost = 6ms;
  // What each request at a plain service costs once its slots are taken.
  duration plain_request_cost = 60ms;
  // What each request costs while slots are free, so that load spreads.
  duration plain_spread_cost = 4ms;
  // Added for an endpoint in another failure domain or region: the way there
  // and back and the price of its bytes.
  duration other_domain_cost = 4ms;
  duration other_region_cost = 50ms;
  // Added for each failure that still counts, up to a few: a failed request
  // that may not be repeated costs its caller the whole program, another one
  // the time until it is tried elsewhere.
  duration failure_cost_once = 150ms;
  duration failure_cost = 30ms;
  double most_failures = 4;
  // Endpoints that are as good as the best up to this share one choice.
  duration equal_within = 1ms;
  // Endpoints drawn for one choice in the failure domain, elsewhere in the
  // region and in other regions. VMs that all know the same loads would else
  // all choose the same endpoint until its next report; the best of two drawn
  // is enough to keep the load even.
  std::size_t drawn_in_domain = 2;
  std::size_t drawn_in_region = 2;
  std::size_t drawn_elsewhere = 1;

  auto operator<=>(const placement_options&) const = default;
};

// One request to be placed.
struct placement_request {
  service_id service;
  bool is_engine = false;
  bool may_repeat = false;
  std::vector<prompt_part> prompt;
  std::uint64_t prompt_tokens = 0;
  // Tokens of the prompt that endpoints have kept of earlier turns of the
  // chain.
  std::map<endpoint_id, std::uint64_t> cached_tokens;
  std::set<endpoint_id> excluded;
};

// What the choice was based on.
struct placement_choice {
  endpoint_id endpoint;
  duration cost{};
  double load = 0;
  std::uint64_t missing_tokens = 0;
  // Age of the endpoint's load report, if there is one.
  std::optional<duration> report_age;

  auto operator<=>(const placement_choice&) const = default;
};

// Chooses the endpoint of the least expected cost among those that have read
// earlier turns and some that are drawn, or nothing when none may be used.
// Endpoints that are paused are used only when all are.
auto Place(const endpoint_table& endpoints,
           const placement_request& request,
           const location& here,
           const placement_options& options,
           instant now,
           random_source& random) -> std::optional<placement_choice>;

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_PLACEMENT_H_
