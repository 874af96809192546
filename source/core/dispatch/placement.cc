#include "dispatch/placement.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>

#include "dispatch/engine_memory.h"
#include "dispatch/home_ranking.h"

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

// Tokens that the home of a request's program is taken to lack. An earlier turn
// may have come through another VM, so the tokens known here are a maximum.
auto MissingAtHome(std::uint64_t known_missing,
                   const placement_request& request) -> std::uint64_t {
  if (!request.prompt_growth || request.prompt.empty()) {
    return known_missing;
  }
  const auto growth = *request.prompt_growth;
  const auto missing = std::min(known_missing, growth);
  // Every engine lacks the last part of a first prompt. At another engine than
  // its home, the next turn would have it read again.
  const auto last = std::uint64_t{request.prompt.back().tokens};
  return last <= growth ? missing - std::min(missing, last) : missing;
}

// Endpoints that can be chosen for the request.
using candidate_list = std::vector<const endpoint_state*>;

// Returns the endpoints of the service that are neither leaving nor excluded
// and whose rate limits and memory allow a request:
// those that are not paused, or all of them if every one is.
auto CandidatesOf(const endpoint_table& endpoints,
                  const placement_request& request,
                  double mean_others_in_flight,
                  instant now) -> candidate_list {
  auto unpaused = candidate_list{};
  auto paused = candidate_list{};
  for (const auto* state : endpoints.OfService(request.service)) {
    if (state->IsLeaving() || !endpoints.HasQuota(*state, now) ||
        request.excluded.contains(state->entry.id) ||
        !HasMemory(endpoints, *state, request, mean_others_in_flight, now)) {
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
                      const candidate_list& homes,
                      const placement_request& request,
                      const location& here,
                      const placement_options& options,
                      random_source& random) -> candidate_list {
  auto sampled = candidate_list{};
  auto groups = std::array<candidate_list, 3>{};
  for (const auto* state : candidates) {
    if (request.cached_tokens.contains(state->entry.id) ||
        std::find(homes.begin(), homes.end(), state) != homes.end()) {
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
  const auto candidates =
      CandidatesOf(endpoints, request, mean_others_in_flight, now);
  const auto homes = request.home_key.empty()
                         ? candidate_list{}
                         : RankHomes(endpoints.OfService(request.service), here,
                                     request.home_key, options.ranked_homes);
  for (const auto* state :
       SampleCandidates(candidates, homes, request, here, options, random)) {
    const auto& id = state->entry.id;
    const auto load =
        endpoints.ExpectedLoad(*state, mean_others_in_flight, now);
    const auto is_home = !homes.empty() && state == homes.front();
    const auto known_missing = MissingPromptTokens(endpoints, id, request);
    const auto missing_tokens =
        is_home ? MissingAtHome(known_missing, request) : known_missing;
    const auto pace = endpoints.ExpectedPace(*state, now);
    const auto failure_score = std::min(endpoints.FailureScore(*state, now),
                                        options.max_failure_score);
    const auto cost =
        Scale(request.may_repeat ? options.failure_cost
                                 : options.unrepeatable_failure_cost,
              failure_score) +
        DistanceCost(DistanceOf(state->entry, here), options) +
        (request.is_engine
             ? Scale(EngineCost(load, missing_tokens, options), pace)
             : Scale(PlainCost(load, state->entry.slots, options), pace) +
                   Scale(options.plain_service_time, pace - 1.0));
    auto choice = placement_choice{id,
                                   cost,
                                   load,
                                   missing_tokens,
                                   pace,
                                   is_home,
                                   state->rate_limit,
                                   std::nullopt};
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
