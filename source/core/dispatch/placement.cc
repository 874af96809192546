#include "dispatch/placement.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>

namespace daisywind::dispatch {
namespace {

// A duration counts microseconds.
auto Milliseconds(double value) -> duration {
  return duration(static_cast<duration::rep>(value * 1000.0));
}

auto Scale(duration base, double factor) -> duration {
  return duration(
      static_cast<duration::rep>(static_cast<double>(base.count()) * factor));
}

// Topological distance of an endpoint from this VM. The value is an index into
// the groups from which SampleCandidates draws.
enum class distance : std::uint8_t { kSameDomain, kSameRegion, kOtherRegion };

auto DistanceOf(const endpoint& entry, const location& here) -> distance {
  if (entry.failure_domain == here.failure_domain) {
    return distance::kSameDomain;
  }
  const auto region = here.regions.find(entry.failure_domain);
  const auto is_same_region =
      region != here.regions.end() && region->second == here.region;
  return is_same_region ? distance::kSameRegion : distance::kOtherRegion;
}

auto DistanceCost(distance value, const placement_options& options)
    -> duration {
  switch (value) {
    case distance::kSameDomain:
      return 0ms;
    case distance::kSameRegion:
      return options.other_domain_cost;
    case distance::kOtherRegion:
      break;
  }
  return options.other_region_cost;
}

auto EngineCost(double load,
                std::uint64_t missing_tokens,
                const placement_options& options) -> duration {
  const auto prefill =
      Milliseconds(double(missing_tokens) / options.prefill_tokens_per_ms);
  return prefill + Scale(options.engine_request_cost, load);
}

auto PlainCost(double load,
               std::uint32_t slots,
               const placement_options& options) -> duration {
  // The added 1 is this request.
  const auto excess = std::max(0.0, load + 1.0 - double(slots));
  return Scale(options.plain_spread_cost, load) +
         Scale(options.plain_request_cost, excess);
}

auto MissingPromptTokens(const endpoint_table& endpoints,
                         const endpoint_id& id,
                         const placement_request& request) -> std::uint64_t {
  if (!request.is_engine) {
    return 0;
  }
  const auto missing_by_parts =
      request.prompt.empty() ? request.prompt_tokens
                             : endpoints.MissingTokens(id, request.prompt);
  const auto cached = request.cached_tokens.find(id);
  if (cached == request.cached_tokens.end()) {
    return missing_by_parts;
  }
  const auto missing_by_chain =
      request.prompt_tokens - std::min(request.prompt_tokens, cached->second);
  return std::min(missing_by_parts, missing_by_chain);
}

// Endpoints that can be chosen for the request.
using candidate_list = std::vector<const endpoint_state*>;

// Returns the endpoints of the service that are neither leaving nor excluded
// and whose rate limits allow a request:
// those that are not paused, or all of them if every one is.
auto CandidatesOf(const endpoint_table& endpoints,
                  const placement_request& request,
                  instant now) -> candidate_list {
  auto unpaused = candidate_list{};
  auto paused = candidate_list{};
  for (const auto* state : endpoints.OfService(request.service)) {
    if (state->IsLeaving() || !endpoints.HasQuota(*state, now) ||
        request.excluded.contains(state->entry.id)) {
      continue;
    }
    (state->paused_until > now ? paused : unpaused).push_back(state);
  }
  return unpaused.empty() ? paused : unpaused;
}

// Reduces a list to a random sample of at most `count` endpoints.
auto Sample(candidate_list& from, std::size_t count, random_source& random)
    -> void {
  const auto sample_size = std::min(count, from.size());
  for (auto i = std::size_t{0}; i < sample_size; ++i) {
    std::swap(from[i], from[i + random.UniformBelow(from.size() - i)]);
  }
  from.resize(sample_size);
}

auto SampleCandidates(const candidate_list& candidates,
                      const placement_request& request,
                      const location& here,
                      const placement_options& options,
                      random_source& random) -> candidate_list {
  auto sampled = candidate_list{};
  auto groups = std::array<candidate_list, 3>{};
  for (const auto* state : candidates) {
    if (request.cached_tokens.contains(state->entry.id)) {
      sampled.push_back(state);
    } else {
      groups.at(static_cast<std::size_t>(DistanceOf(state->entry, here)))
          .push_back(state);
    }
  }
  const auto counts = std::array<std::size_t, 3>{options.sampled_in_domain,
                                                 options.sampled_in_region,
                                                 options.sampled_elsewhere};
  for (auto i = std::size_t{0}; i < groups.size(); ++i) {
    Sample(groups.at(i), counts.at(i), random);
    sampled.insert(sampled.end(), groups.at(i).begin(), groups.at(i).end());
  }
  return sampled;
}

}  // namespace

auto Place(const endpoint_table& endpoints,
           const placement_request& request,
           const location& here,
           const placement_options& options,
           instant now,
           random_source& random) -> std::optional<placement_choice> {
  auto best = std::optional<placement_choice>{};
  auto ties = std::uint64_t{0};
  const auto mean_others_in_flight =
      endpoints.MeanOthersInFlight(request.service, now);
  const auto candidates = CandidatesOf(endpoints, request, now);
  for (const auto* state :
       SampleCandidates(candidates, request, here, options, random)) {
    const auto& id = state->entry.id;
    const auto load =
        endpoints.ExpectedLoad(*state, mean_others_in_flight, now);
    const auto missing_tokens = MissingPromptTokens(endpoints, id, request);
    const auto failure_score = std::min(endpoints.FailureScore(*state, now),
                                        options.max_failure_score);
    const auto cost =
        Scale(request.may_repeat ? options.failure_cost
                                 : options.unrepeatable_failure_cost,
              failure_score) +
        DistanceCost(DistanceOf(state->entry, here), options) +
        (request.is_engine ? EngineCost(load, missing_tokens, options)
                           : PlainCost(load, state->entry.slots, options));
    auto choice = placement_choice{
        id, cost, load, missing_tokens, state->rate_limit, std::nullopt};
    if (state->report) {
      choice.report_age = now - state->reported_at;
    }
    if (!best || cost + options.tie_tolerance < best->cost) {
      best = std::move(choice);
      ties = 1;
      continue;
    }
    // Reservoir sampling: each tied endpoint is kept with equal probability.
    if (cost <= best->cost + options.tie_tolerance &&
        random.UniformBelow(++ties) == 0) {
      best = std::move(choice);
    }
  }
  return best;
}

}  // namespace daisywind::dispatch
