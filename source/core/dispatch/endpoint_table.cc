#include "dispatch/endpoint_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisywind::dispatch {
namespace {

// Requests that a quota allows at a time.
auto Available(const request_quota& quota, instant now) -> double {
  const auto age = std::chrono::duration<double>(now - quota.updated_at);
  return std::min(1.0, quota.available + quota.per_second * age.count());
}

}  // namespace

auto RunOf(const endpoint& entry) -> endpoint_run {
  return {entry.service, entry.address, entry.started_ms};
}

auto endpoint_table::Put(const endpoint& entry, instant now) -> void {
  const auto found = states_.find(entry.id);
  if (found != states_.end() &&
      RunOf(found->second.state.entry) == RunOf(entry)) {
    found->second.state.entry = entry;
    found->second.state.expires_at.reset();
    return;
  }
  if (found != states_.end()) {
    Erase(entry.id);
  }
  auto state = endpoint_state{};
  state.entry = entry;
  state.key = KeyOf(entry.id);
  state.registered_at = now;
  if (const auto left = leaving_.find(entry.id); left != leaving_.end()) {
    state.has_said_it_leaves = left->second.run == RunOf(entry);
    if (!state.has_said_it_leaves) {
      leaving_.erase(left);
    }
  }
  const auto [added, is_new] = states_.emplace(
      entry.id,
      table_entry{std::move(state),
                  prompt_part_cache(options_.max_cached_parts_per_endpoint)});
  by_service_[entry.service].push_back(&added->second.state);
  by_key_.insert_or_assign(KeyOf(entry.id), entry.id);
}

auto endpoint_table::SetLeaving(const endpoint& entry, instant now) -> bool {
  const auto run = RunOf(entry);
  const auto found = states_.find(entry.id);
  if (found != states_.end()) {
    if (RunOf(found->second.state.entry) != run) {
      return false;
    }
    found->second.state.has_said_it_leaves = true;
  }
  const auto [left, is_new] = leaving_.try_emplace(entry.id);
  const auto is_news = is_new || left->second.run != run;
  left->second = {run, now};
  return is_news;
}

auto endpoint_table::Remove(const endpoint_id& id,
                            bool is_in_doubt,
                            instant now) -> void {
  const auto found = states_.find(id);
  if (found == states_.end()) {
    return;
  }
  if (!is_in_doubt) {
    Erase(id);
    return;
  }
  auto& expires_at = found->second.state.expires_at;
  if (!expires_at) {
    expires_at = now + options_.removal_grace;
  }
}

auto endpoint_table::Tick(instant now) -> std::vector<endpoint_id> {
  auto expired = std::vector<endpoint_id>{};
  for (const auto& [id, item] : states_) {
    if (item.state.expires_at && *item.state.expires_at <= now) {
      expired.push_back(id);
    }
  }
  for (const auto& id : expired) {
    Erase(id);
  }
  for (auto& [id, left] : leaving_) {
    if (states_.contains(id)) {
      left.seen_at = now;
    }
  }
  std::erase_if(leaving_, [&](const auto& item) {
    return now - item.second.seen_at > options_.leaving_retention;
  });
  return expired;
}

auto endpoint_table::Erase(const endpoint_id& id) -> void {
  const auto found = states_.find(id);
  const auto& state = found->second.state;
  const auto service = by_service_.find(state.entry.service);
  std::erase(service->second, &state);
  if (service->second.empty()) {
    by_service_.erase(service);
  }
  by_key_.erase(KeyOf(id));
  states_.erase(found);
}

auto endpoint_table::Find(const endpoint_id& id) const
    -> const endpoint_state* {
  const auto found = states_.find(id);
  return found == states_.end() ? nullptr : &found->second.state;
}

auto endpoint_table::OfService(const service_id& id) const
    -> const std::vector<const endpoint_state*>& {
  const auto found = by_service_.find(id);
  return found == by_service_.end() ? no_endpoints_ : found->second;
}

auto endpoint_table::Ids() const -> std::vector<endpoint_id> {
  auto ids = std::vector<endpoint_id>{};
  ids.reserve(states_.size());
  for (const auto& [id, item] : states_) {
    ids.push_back(id);
  }
  return ids;
}

auto endpoint_table::OnRequestSent(const endpoint_id& id,
                                   instant now,
                                   std::uint64_t tokens) -> void {
  if (const auto found = states_.find(id); found != states_.end()) {
    auto& state = found->second.state;
    ++state.in_flight;
    state.tokens_in_flight += tokens;
    if (tokens > 0) {
      // The mean follows a change of the load within some tens of requests.
      constexpr auto kWeight = 1.0 / 32;
      const auto [mean, is_first] =
          mean_request_tokens_.try_emplace(state.entry.service, double(tokens));
      mean->second += (double(tokens) - mean->second) * kWeight;
    }
    if (state.quota) {
      state.quota->available = Available(*state.quota, now) - 1.0;
      state.quota->updated_at = now;
    }
  }
}

auto endpoint_table::OnRequestEnded(const endpoint_id& id,
                                    std::uint64_t tokens,
                                    std::optional<duration> response_time)
    -> void {
  const auto found = states_.find(id);
  if (found != states_.end() && response_time) {
    const auto [mean, is_first] = response_times_.try_emplace(
        found->second.state.entry.service, *response_time);
    const auto difference = double((*response_time - mean->second).count());
    mean->second += duration(
        static_cast<duration::rep>(difference * options_.response_time_weight));
  }
  // The endpoint may have restarted since; the new run never saw the request.
  if (found != states_.end() && found->second.state.in_flight > 0) {
    auto& state = found->second.state;
    --state.in_flight;
    state.tokens_in_flight -= std::min(state.tokens_in_flight, tokens);
  }
}

auto endpoint_table::OnReport(const endpoint_id& id,
                              const load_report& report,
                              instant now) -> void {
  const auto found = states_.find(id);
  if (found == states_.end()) {
    return;
  }
  ApplyReport(found->second.state, report, now);
}

auto endpoint_table::ApplyReport(endpoint_state& state,
                                 const load_report& report,
                                 instant taken_at) const -> void {
  if (state.report && taken_at < state.reported_at) {
    return;
  }
  state.report = report;
  state.reported_at = taken_at;
  const auto total = double(report.running) + double(report.waiting);
  state.others_in_flight = std::max(0.0, total - double(state.in_flight));
  if (!report.pace) {
    return;
  }
  // Reports of the same moment count as well: their paces are noisy.
  constexpr auto kMinWeight = 0.2;
  const auto age = std::chrono::duration<double>(taken_at - state.paced_at);
  const auto half_life = std::chrono::duration<double>(options_.pace_half_life);
  const auto weight = std::max(kMinWeight, 1.0 - std::exp2(-(age / half_life)));
  const auto before = state.pace.value_or(*report.pace);
  state.pace = before + (*report.pace - before) * weight;
  state.paced_at = taken_at;
}

auto endpoint_table::ExpectedPace(const endpoint_state& state,
                                  instant now) const -> double {
  if (!state.pace) {
    return 1.0;
  }
  const auto age = std::chrono::duration<double>(now - state.paced_at);
  const auto half_life = std::chrono::duration<double>(options_.pace_half_life);
  return 1.0 + (*state.pace - 1.0) * std::exp2(-(age / half_life));
}

auto endpoint_table::OnSharedReport(endpoint_key key,
                                    const load_report& report,
                                    instant taken_at) -> void {
  const auto id = by_key_.find(key);
  if (id == by_key_.end()) {
    return;
  }
  auto& state = states_.at(id->second).state;
  // The sample may be of a previous run under the same id.
  if (taken_at < state.registered_at) {
    return;
  }
  auto with_slots = report;
  with_slots.slots = state.entry.slots;
  ApplyReport(state, with_slots, taken_at);
}

auto endpoint_table::OnSharedFailure(endpoint_key key, instant failed_at)
    -> void {
  const auto id = by_key_.find(key);
  if (id == by_key_.end()) {
    return;
  }
  auto& state = states_.at(id->second).state;
  if (failed_at > state.registered_at &&
      failed_at > state.failed_at + options_.duplicate_failure_window) {
    CountFailure(state, failed_at);
  }
}

auto endpoint_table::CountFailure(endpoint_state& state,
                                  instant failed_at) const -> void {
  state.failure_score = FailureScore(state, failed_at) + 1.0;
  state.failed_at = failed_at;
}

auto endpoint_table::FailureScore(const endpoint_state& state,
                                  instant now) const -> double {
  if (state.failure_score == 0.0) {
    return 0.0;
  }
  const auto age = std::chrono::duration<double>(now - state.failed_at);
  const auto half_life =
      std::chrono::duration<double>(options_.failure_half_life);
  return state.failure_score * std::exp2(-(age / half_life));
}

auto endpoint_table::OnHealthSignal(const endpoint_id& id,
                                    health_signal signal,
                                    instant now) -> void {
  const auto found = states_.find(id);
  if (found == states_.end()) {
    return;
  }
  auto& state = found->second.state;
  if (signal == health_signal::kAnswered) {
    state.consecutive_failures = 0;
    return;
  }
  if (signal == health_signal::kNoResponse) {
    // It may just be overloaded; a pause would move its load to the other
    // endpoints.
    CountFailure(state, now);
    return;
  }
  if (signal == health_signal::kFull) {
    state.paused_until =
        std::max(state.paused_until, now + options_.full_pause);
    return;
  }
  constexpr auto kMaxDoublings = 6U;
  const auto doublings = std::min(state.consecutive_failures, kMaxDoublings);
  const auto pause =
      std::min(options_.initial_pause * (1U << doublings), options_.max_pause);
  ++state.consecutive_failures;
  CountFailure(state, now);
  state.paused_until = std::max(state.paused_until, now + pause);
}

auto endpoint_table::SetRateLimit(const endpoint_id& id,
                                  std::optional<double> per_second,
                                  double share,
                                  instant now) -> bool {
  const auto found = states_.find(id);
  if (found == states_.end()) {
    return false;
  }
  auto& state = found->second.state;
  const auto quota_rate =
      per_second ? std::optional(*per_second * share) : std::nullopt;
  const auto current_rate =
      state.quota ? std::optional(state.quota->per_second) : std::nullopt;
  if (state.rate_limit == per_second && current_rate == quota_rate) {
    return false;
  }
  state.rate_limit = per_second;
  if (quota_rate) {
    const auto available = state.quota ? Available(*state.quota, now) : 0.0;
    state.quota = request_quota{*quota_rate, available, now};
  } else {
    state.quota.reset();
  }
  return true;
}

auto endpoint_table::HasQuota(const endpoint_state& state, instant now) const
    -> bool {
  return !state.quota || Available(*state.quota, now) >= 1.0;
}

auto endpoint_table::NextQuota(const service_id& service, instant now) const
    -> std::optional<duration> {
  auto next = std::optional<duration>{};
  for (const auto* state : OfService(service)) {
    if (!state->quota || state->quota->per_second <= 0 || state->IsLeaving()) {
      continue;
    }
    const auto missing = 1.0 - Available(*state->quota, now);
    const auto wait = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(missing / state->quota->per_second));
    next = std::min(next.value_or(wait), wait);
  }
  return next;
}

auto endpoint_table::OnPromptProcessed(const endpoint_id& id,
                                       const std::vector<prompt_part>& parts)
    -> void {
  if (const auto found = states_.find(id); found != states_.end()) {
    for (const auto& part : parts) {
      found->second.parts.Add(part);
    }
  }
}

auto endpoint_table::MissingTokens(const endpoint_id& id,
                                   const std::vector<prompt_part>& parts) const
    -> std::uint64_t {
  const auto found = states_.find(id);
  auto is_prefix_cached = found != states_.end();
  auto missing = std::uint64_t{0};
  for (const auto& part : parts) {
    const auto cached =
        is_prefix_cached
            ? std::min(part.tokens, found->second.parts.TokensOf(part.id))
            : 0;
    missing += part.tokens - cached;
    is_prefix_cached = cached == part.tokens;
  }
  return missing;
}

auto endpoint_table::MeanOthersInFlight(const service_id& service,
                                        instant now) const -> double {
  auto sum = 0.0;
  auto count = 0.0;
  for (const auto* state : OfService(service)) {
    if (state->report && now - state->reported_at <= options_.report_lifetime) {
      sum += state->others_in_flight;
      count += 1.0;
    }
  }
  return count == 0.0 ? 0.0 : sum / count;
}

auto endpoint_table::MeanRequestTokens(const service_id& service) const
    -> std::optional<double> {
  const auto found = mean_request_tokens_.find(service);
  return found == mean_request_tokens_.end() ? std::nullopt
                                             : std::optional(found->second);
}

auto endpoint_table::SpreadOf(const service_id& service, instant now) const
    -> load_spread {
  auto spread = load_spread{};
  auto sum = 0.0;
  auto squares = 0.0;
  for (const auto* state : OfService(service)) {
    if (!state->report || state->IsLeaving() ||
        now - state->reported_at > options_.report_lifetime) {
      continue;
    }
    const auto& report = *state->report;
    const auto load = double(report.running) + double(report.waiting);
    ++spread.reporting;
    ++(load < double(state->entry.slots) ? spread.with_free_slots
                                         : spread.full);
    sum += load;
    squares += load * load;
  }
  if (sum > 0.0) {
    const auto count = double(spread.reporting);
    spread.mean = sum / count;
    spread.variation =
        std::sqrt(std::max(0.0, squares / count - spread.mean * spread.mean)) /
        spread.mean;
  }
  return spread;
}

auto endpoint_table::Services() const -> std::vector<service_id> {
  auto services = std::vector<service_id>{};
  services.reserve(by_service_.size());
  for (const auto& [service, endpoints] : by_service_) {
    services.push_back(service);
  }
  return services;
}

auto endpoint_table::ReportHalfLife(const service_id& service) const
    -> duration {
  const auto mean = response_times_.find(service);
  if (front_count_ == 0 || mean == response_times_.end()) {
    return options_.report_half_life;
  }
  // An endpoint that answers at once gives a mean of zero.
  constexpr auto kMinHalfLife = duration(1ms);
  const auto responses =
      std::max(options_.min_report_half_life_responses,
               options_.report_half_life_responses / double(front_count_));
  const auto half_life = duration(
      static_cast<duration::rep>(double(mean->second.count()) * responses));
  return std::clamp(half_life,
                    std::min(kMinHalfLife, options_.report_half_life),
                    options_.report_half_life);
}

auto endpoint_table::ExpectedLoad(const endpoint_state& state,
                                  double mean_others_in_flight,
                                  instant now) const -> double {
  if (!state.report) {
    return mean_others_in_flight + double(state.in_flight);
  }
  const auto age = std::chrono::duration<double>(now - state.reported_at);
  const auto half_life =
      std::chrono::duration<double>(ReportHalfLife(state.entry.service));
  const auto report_weight = std::exp2(-(age / half_life));
  return mean_others_in_flight +
         (state.others_in_flight - mean_others_in_flight) * report_weight +
         double(state.in_flight);
}

}  // namespace daisywind::dispatch
