#include "dispatch/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisywind::dispatch {
namespace {

auto Milliseconds(double value) -> duration {
  return duration(static_cast<duration::rep>(value * 1000.0));
}

auto Scale(duration unit, double factor) -> duration {
  return duration(
      static_cast<duration::rep>(static_cast<double>(unit.count()) * factor));
}

auto Distance(const endpoint& entry,
              const location& here,
              const placement_options& options) -> duration {
  if (entry.failure_domain == here.failure_domain) {
    return 0ms;
  }
  const auto region = here.regions.find(entry.failure_domain);
  const auto is_near =
      region != here.regions.end() && region->second == here.region;
  return is_near ? options.other_domain_cost : options.other_region_cost;
}

auto EngineCost(double load,
                std::uint64_t missing,
                const placement_options& options) -> duration {
  const auto reading =
      Milliseconds(double(missing) / options.prefill_tokens_per_ms);
  return reading + Scale(options.engine_request_cost, load);
}

auto PlainCost(double load,
               std::uint32_t slots,
               const placement_options& options) -> duration {
  const auto over = std::max(0.0, load + 1.0 - double(slots));
  return Scale(options.plain_spread_cost, load) +
         Scale(options.plain_request_cost, over);
}

auto Missing(const endpoint_table& endpoints,
             const endpoint_id& id,
             const placement_request& request) -> std::uint64_t {
  if (!request.is_engine) {
    return 0;
  }
  if (request.prompt.empty()) {
    return request.last_endpoint == id ? 0 : request.prompt_tokens;
  }
  if (request.last_endpoint == id) {
    return request.prompt.back().tokens;
  }
  return endpoints.MissingTokens(id, request.prompt);
}

}  // namespace

auto Place(const endpoint_table& endpoints,
           const placement_request& request,
           const location& here,
           const placement_options& options,
           instant now,
           random_source& random) -> std::optional<placement_choice> {
  auto best = std::optional<placement_choice>{};
  auto is_best_paused = true;
  auto equals = std::uint64_t{0};
  const auto mean_others = endpoints.MeanOthers(request.service, now);
  for (const auto& id : endpoints.OfService(request.service)) {
    const auto* state = endpoints.Find(id);
    if (state->entry.is_draining || request.excluded.contains(id)) {
      continue;
    }
    const auto load = endpoints.ExpectedLoad(*state, mean_others, now);
    const auto missing = Missing(endpoints, id, request);
    const auto cost =
        Distance(state->entry, here, options) +
        (request.is_engine ? EngineCost(load, missing, options)
                           : PlainCost(load, state->entry.slots, options));
    const auto is_paused = state->paused_until > now;
    auto choice = placement_choice{id, cost, load, missing, std::nullopt};
    if (state->report) {
      choice.report_age = now - state->reported_at;
    }
    const auto is_better = !best || (is_best_paused && !is_paused) ||
                           (is_best_paused == is_paused &&
                            cost + options.equal_within < best->cost);
    if (is_better) {
      best = std::move(choice);
      is_best_paused = is_paused;
      equals = 1;
      continue;
    }
    const auto is_equal = is_best_paused == is_paused &&
                          cost <= best->cost + options.equal_within;
    // Each of the equals is kept with the same chance.
    if (is_equal && random.Below(++equals) == 0) {
      best = std::move(choice);
    }
  }
  return best;
}

}  // namespace daisywind::dispatch
