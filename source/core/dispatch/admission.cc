#include "dispatch/admission.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

namespace daisywind::dispatch {
namespace {

using seconds = std::chrono::duration<double>;

auto FromSeconds(double value) -> duration {
  return std::chrono::duration_cast<duration>(seconds(value));
}

auto Scale(duration base, double factor) -> duration {
  return FromSeconds(seconds(base).count() * factor);
}

}  // namespace

auto decaying_sum::Add(double value, instant now, duration half_life) -> void {
  value_ = At(now, half_life) + value;
  updated_at_ = std::max(updated_at_, now);
}

auto decaying_sum::At(instant now, duration half_life) const -> double {
  const auto age = seconds(std::max(now - updated_at_, duration(0)));
  return value_ * std::exp2(-(age / seconds(half_life)));
}

auto ServiceLoad(const endpoint_table& endpoints,
                 const service_id& service,
                 instant now) -> double {
  const auto mean = endpoints.MeanOthersInFlight(service, now);
  auto loads = std::vector<double>{};
  for (const auto* state : endpoints.OfService(service)) {
    if (!state->IsLeaving()) {
      const auto slots = std::max(state->entry.slots, 1U);
      loads.push_back(endpoints.ExpectedLoad(*state, mean, now) /
                      double(slots));
    }
  }
  if (loads.empty()) {
    return 0.0;
  }
  const auto quartile =
      loads.begin() + static_cast<std::ptrdiff_t>((loads.size() - 1) / 4);
  std::nth_element(loads.begin(), quartile, loads.end());
  return *quartile;
}

auto MeanLoad(const endpoint_table& endpoints,
              const service_id& service,
              instant now) -> double {
  const auto mean = endpoints.MeanOthersInFlight(service, now);
  auto sum = 0.0;
  auto count = 0.0;
  for (const auto* state : endpoints.OfService(service)) {
    if (!state->IsLeaving()) {
      sum += endpoints.ExpectedLoad(*state, mean, now);
      count += 1.0;
    }
  }
  return count == 0.0 ? 0.0 : sum / count;
}

auto SpreadRetryAfter(duration earliest,
                      duration latest,
                      duration time_left,
                      const admission_options& options,
                      random_source& random) -> std::optional<duration> {
  // A sooner retry finds the state that it was refused in.
  constexpr auto kLeast = duration(10ms);
  const auto end = std::min(latest, time_left / options.retry_divisor);
  if (end < kLeast) {
    return std::nullopt;
  }
  const auto begin = std::min(earliest, end / 2);
  const auto drawn = begin + Scale(end - begin, random.UniformDouble());
  // Whole milliseconds, because rounding in the header may not pass the end.
  return std::chrono::floor<std::chrono::milliseconds>(drawn);
}

auto admission::AdmitProgram(const program_request& request,
                             double load,
                             instant now,
                             random_source& random) const -> admission_result {
  auto result = admission_result{};
  result.load = load;
  if (load < options_.least_load) {
    return result;
  }
  if (const auto mean = MeanDuration(now)) {
    result.expected = Scale(*mean, request.requests_per_program);
    if (request.program_time_left &&
        *result.expected >
            Scale(*request.program_time_left, options_.last_value_at)) {
      result.outcome = admission_outcome::kTooLate;
      return result;
    }
  }
  result.refused_share = RefusedShare(request, result, now);
  if (random.UniformDouble() < result.refused_share) {
    result.outcome = admission_outcome::kFull;
  }
  return result;
}

auto admission::AdmitAttempt(const service_id& service,
                             double load,
                             double mean_load,
                             std::uint32_t slots,
                             duration time_left,
                             instant now) const -> admission_result {
  auto result = admission_result{};
  result.load = load / std::max(double(slots), 1.0);
  const auto mean = MeanDuration(service, now);
  if (load + 1.0 <= double(slots) || !mean) {
    return result;
  }
  // By Little's law, requests leave an engine at its load divided by the time
  // that they stay there; a new one stays until all before it have left.
  result.expected = Scale(*mean, (load + 1.0) / (mean_load + 1.0));
  if (time_left < Scale(*result.expected, options_.least_time_share)) {
    result.outcome = admission_outcome::kTooLate;
  }
  return result;
}

auto admission::OnProgramAdmitted(const organisation_id& organisation,
                                  instant now) -> void {
  admitted_[organisation].Add(1.0, now, options_.share_half_life);
  if (admitted_.size() > options_.max_organisations) {
    admitted_.erase(std::min_element(
        admitted_.begin(), admitted_.end(),
        [&](const auto& left, const auto& right) {
          return left.second.At(now, options_.share_half_life) <
                 right.second.At(now, options_.share_half_life);
        }));
  }
}

auto admission::OnRequestEnded(const service_id& service,
                               duration took,
                               instant now) -> void {
  Record(durations_[service], took, now);
  Record(all_durations_, took, now);
}

auto admission::MeanDuration(const service_id& service, instant now) const
    -> std::optional<duration> {
  const auto found = durations_.find(service);
  return found == durations_.end() ? std::nullopt : Mean(found->second, now);
}

auto admission::MeanDuration(instant now) const -> std::optional<duration> {
  return Mean(all_durations_, now);
}

auto admission::RefusedShare(const program_request& request,
                             const admission_result& figures,
                             instant now) const -> double {
  const auto margin =
      options_.priority_margin / (1.0 + double(request.priority));
  auto part =
      (figures.load - options_.full_load - margin) / options_.load_range;
  if (figures.expected && request.program_time_left) {
    const auto time_left =
        std::max(seconds(*request.program_time_left).count(), 1e-3);
    const auto multiple = seconds(*figures.expected).count() / time_left;
    part = std::max(
        part, (multiple - options_.full_time - margin) / options_.time_range);
  }
  part = std::clamp(part, 0.0, 1.0);
  return std::min(part * options_.max_refused_share *
                      ShareFactor(request.organisation, now),
                  options_.max_refused_share);
}

auto admission::ShareFactor(const organisation_id& organisation,
                            instant now) const -> double {
  // An organisation counts as active while at least a part of a program has
  // weight.
  constexpr auto kActive = 0.1;
  auto total = 0.0;
  auto active = 0.0;
  auto own = 0.0;
  for (const auto& [id, sum] : admitted_) {
    const auto count = sum.At(now, options_.share_half_life);
    if (count < kActive) {
      continue;
    }
    total += count;
    active += 1.0;
    if (id == organisation) {
      own = count;
    }
  }
  if (active < 2.0 && (own > 0.0 || total == 0.0)) {
    return 1.0;
  }
  return std::clamp(own * active / total, options_.min_share_factor,
                    options_.max_share_factor);
}

auto admission::Mean(const duration_mean& of, instant now) const
    -> std::optional<duration> {
  const auto half_life = options_.duration_half_life;
  const auto count = of.count.At(now, half_life);
  if (count < options_.min_samples) {
    return std::nullopt;
  }
  return FromSeconds(of.seconds.At(now, half_life) / count);
}

auto admission::Record(duration_mean& to, duration took, instant now) const
    -> void {
  const auto half_life = options_.duration_half_life;
  to.seconds.Add(seconds(took).count(), now, half_life);
  to.count.Add(1.0, now, half_life);
}

}  // namespace daisywind::dispatch
