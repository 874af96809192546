#include "dispatch/endpoint_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisywind::dispatch {
namespace {

auto TakeReport(endpoint_state& state,
                const load_report& report,
                instant taken_at) -> void {
  if (state.report && taken_at < state.reported_at) {
    return;
  }
  state.report = report;
  state.reported_at = taken_at;
  const auto total = double(report.running) + double(report.waiting);
  state.others = std::max(0.0, total - double(state.in_flight));
}

}  // namespace

auto part_memory::Add(const prompt_part& part) -> void {
  if (const auto found = places_.find(part.id); found != places_.end()) {
    auto& known = *found->second;
    known.tokens = std::max(known.tokens, part.tokens);
    order_.splice(order_.begin(), order_, found->second);
    return;
  }
  order_.push_front(part);
  places_.emplace(part.id, order_.begin());
  if (order_.size() > capacity_) {
    places_.erase(order_.back().id);
    order_.pop_back();
  }
}

auto part_memory::TokensOf(const prompt_part_id& part) const -> std::uint32_t {
  const auto found = places_.find(part);
  return found == places_.end() ? 0 : found->second->tokens;
}

auto endpoint_table::Put(const endpoint& entry, instant now) -> void {
  const auto found = states_.find(entry.id);
  const auto is_same_run =
      found != states_.end() &&
      found->second.state.entry.started_ms == entry.started_ms &&
      found->second.state.entry.service == entry.service &&
      found->second.state.entry.address == entry.address;
  if (is_same_run) {
    found->second.state.entry = entry;
    found->second.state.gone_at.reset();
    return;
  }
  if (found != states_.end()) {
    Erase(entry.id);
  }
  auto state = endpoint_state{};
  state.entry = entry;
  state.registered_at = now;
  const auto [added, is_new] = states_.emplace(
      entry.id,
      slot{std::move(state), part_memory(options_.parts_per_endpoint)});
  by_service_[entry.service].push_back(&added->second.state);
  by_key_.insert_or_assign(KeyOf(entry.id), entry.id);
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
  auto& gone_at = found->second.state.gone_at;
  if (!gone_at) {
    gone_at = now + options_.removal_grace;
  }
}

auto endpoint_table::Tick(instant now) -> std::vector<endpoint_id> {
  auto gone = std::vector<endpoint_id>{};
  for (const auto& [id, item] : states_) {
    if (item.state.gone_at && *item.state.gone_at <= now) {
      gone.push_back(id);
    }
  }
  for (const auto& id : gone) {
    Erase(id);
  }
  return gone;
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
  return found == by_service_.end() ? none_ : found->second;
}

auto endpoint_table::Ids() const -> std::vector<endpoint_id> {
  auto ids = std::vector<endpoint_id>{};
  ids.reserve(states_.size());
  for (const auto& [id, item] : states_) {
    ids.push_back(id);
  }
  return ids;
}

auto endpoint_table::OnSent(const endpoint_id& id) -> void {
  if (const auto found = states_.find(id); found != states_.end()) {
    ++found->second.state.in_flight;
  }
}

auto endpoint_table::OnEnded(const endpoint_id& id) -> void {
  const auto found = states_.find(id);
  // The entry may be that of a later run, which never saw the request.
  if (found != states_.end() && found->second.state.in_flight > 0) {
    --found->second.state.in_flight;
  }
}

auto endpoint_table::OnReport(const endpoint_id& id,
                              const load_report& report,
                              instant now) -> void {
  const auto found = states_.find(id);
  if (found == states_.end()) {
    return;
  }
  TakeReport(found->second.state, report, now);
}

auto endpoint_table::OnSharedReport(endpoint_key key,
                                    std::uint32_t running,
                                    std::uint32_t waiting,
                                    instant taken_at) -> void {
  const auto id = by_key_.find(key);
  if (id == by_key_.end()) {
    return;
  }
  auto& state = states_.at(id->second).state;
  // A sample of an earlier run under the same id says nothing of this one.
  if (taken_at < state.registered_at) {
    return;
  }
  TakeReport(state, {running, waiting, state.entry.slots}, taken_at);
}

auto endpoint_table::OnSharedFailure(endpoint_key key, instant failed_at)
    -> void {
  const auto id = by_key_.find(key);
  if (id == by_key_.end()) {
    return;
  }
  auto& state = states_.at(id->second).state;
  if (failed_at > state.registered_at &&
      failed_at > state.failed_at + options_.same_failure) {
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
  const auto half = std::chrono::duration<double>(options_.failure_half_life);
  return state.failure_score * std::exp2(-(age / half));
}

auto endpoint_table::OnHealthSignal(const endpoint_id& id,
                                    health_signal sign,
                                    instant now) -> void {
  const auto found = states_.find(id);
  if (found == states_.end()) {
    return;
  }
  auto& state = found->second.state;
  if (sign == health_signal::kAnswered) {
    state.failures = 0;
    return;
  }
  if (sign == health_signal::kNoResponse) {
    // It may just be loaded, which pausing would make worse elsewhere.
    CountFailure(state, now);
    return;
  }
  if (sign == health_signal::kFull) {
    state.paused_until =
        std::max(state.paused_until, now + options_.full_pause);
    return;
  }
  constexpr auto kMaxDoublings = 6U;
  const auto doublings = std::min(state.failures, kMaxDoublings);
  const auto pause = std::min(options_.first_pause * (1U << doublings),
                              options_.longest_pause);
  ++state.failures;
  CountFailure(state, now);
  state.paused_until = std::max(state.paused_until, now + pause);
}

auto endpoint_table::OnPromptRead(const endpoint_id& id,
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
  auto is_whole = found != states_.end();
  auto missing = std::uint64_t{0};
  for (const auto& part : parts) {
    const auto kept =
        is_whole ? std::min(part.tokens, found->second.parts.TokensOf(part.id))
                 : 0;
    missing += part.tokens - kept;
    is_whole = kept == part.tokens;
  }
  return missing;
}

auto endpoint_table::MeanOthers(const service_id& service, instant now) const
    -> double {
  auto sum = 0.0;
  auto count = 0.0;
  for (const auto* state : OfService(service)) {
    if (state->report && now - state->reported_at <= options_.report_lifetime) {
      sum += state->others;
      count += 1.0;
    }
  }
  return count == 0.0 ? 0.0 : sum / count;
}

auto endpoint_table::ExpectedLoad(const endpoint_state& state,
                                  double mean_others,
                                  instant now) const -> double {
  if (!state.report) {
    return mean_others + double(state.in_flight);
  }
  const auto age = std::chrono::duration<double>(now - state.reported_at);
  const auto half = std::chrono::duration<double>(options_.report_half_life);
  const auto trust = std::exp2(-(age / half));
  return mean_others + (state.others - mean_others) * trust +
         double(state.in_flight);
}

}  // namespace daisywind::dispatch
