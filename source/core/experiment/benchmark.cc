#include "experiment/benchmark.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <string>
#include <vector>

#include "common/random.h"
#include "experiment/named_policy.h"
#include "policy/scheduler.h"

namespace daisywind::experiment {
namespace {

constexpr auto kSeed = std::uint64_t{1};
constexpr auto kCapacity = 8U;
constexpr auto kPrograms = std::uint64_t{5000};
constexpr auto kBlocks = 64U;
// Leading blocks of a prompt that all programs share.
constexpr auto kSharedBlocks = 16U;
constexpr auto kTokensPerBlock = 256U;
// Part of all call slots that is occupied while decisions are measured.
constexpr auto kTargetUtilisation = 0.9;

auto MakeEndpoints(std::size_t count) -> std::vector<policy::endpoint_info> {
  auto out = std::vector<policy::endpoint_info>{};
  for (auto i = std::size_t{0}; i < count; ++i) {
    auto info = policy::endpoint_info{};
    info.id = endpoint_id{"endpoint-" + std::to_string(i)};
    info.region = region_id{"r"};
    info.models = {model_id{"agent"}};
    info.capacity = kCapacity;
    out.push_back(info);
  }
  return out;
}

auto MakeCall(policy::call_ref ref, random_source& random)
    -> policy::call_request {
  const auto program = random.UniformBelow(kPrograms);
  auto call = policy::call_request{};
  call.call = ref;
  call.program = {program, program};
  call.organisation = organisation_id{"t"};
  call.target = "agent";
  call.prompt_tokens = kBlocks * kTokensPerBlock;
  call.is_idempotent = true;
  call.is_continuation = true;
  for (auto i = 0U; i < kBlocks; ++i) {
    const auto stream = i < kSharedBlocks ? kPrograms : program;
    call.prefix.push_back(
        {stream * kBlocks + i + 1, (i + 1) * kTokensPerBlock});
  }
  return call;
}

auto Summarise(std::vector<double>& times, std::size_t decisions)
    -> decision_times {
  constexpr auto kP99 = 0.99;
  std::ranges::sort(times);
  auto sum = 0.0;
  for (const auto value : times) {
    sum += value;
  }
  const auto step_count = static_cast<double>(times.size());
  return {times.size(),
          decisions,
          sum / static_cast<double>(decisions),
          sum / step_count,
          times[times.size() / 2],
          times[static_cast<std::size_t>(step_count * kP99)]};
}

}  // namespace

auto MeasureDecisions(std::size_t endpoints, std::size_t steps)
    -> decision_times {
  using clock = std::chrono::steady_clock;
  using microseconds = std::chrono::duration<double, std::micro>;
  auto options = *FindPolicy("daisywind");
  options.region = region_id{"r"};
  auto request_scheduler = policy::scheduler{options, kSeed};
  auto now = instant{1s};
  request_scheduler.SetEndpoints(MakeEndpoints(endpoints), now);
  auto random = random_source{kSeed};
  auto in_flight = std::deque<policy::call_ref>{};
  const auto watched_endpoints = request_scheduler.WatchedEndpoints().size();
  const auto target_in_flight = static_cast<std::size_t>(
      kTargetUtilisation * kCapacity * static_cast<double>(watched_endpoints));
  auto times = std::vector<double>{};
  auto routed_before = std::uint64_t{0};
  for (auto ref = policy::call_ref{1}; times.size() < steps; ++ref) {
    now += 1ms;
    const auto call = MakeCall(ref, random);
    const auto start = clock::now();
    request_scheduler.Enqueue(call, now);
    const auto tick_result = request_scheduler.Tick(now);
    const auto elapsed_us = microseconds{clock::now() - start}.count();
    for (const auto& dispatched : tick_result.dispatches) {
      in_flight.push_back(dispatched.call);
    }
    if (in_flight.size() < target_in_flight) {
      continue;
    }
    if (times.empty()) {
      routed_before = request_scheduler.Summary().routed;
    }
    times.push_back(elapsed_us);
    request_scheduler.OnFinished(in_flight.front(),
                                 policy::finish_kind::kCompleted,
                                 {call.prompt_tokens, 0, 1}, now);
    in_flight.pop_front();
  }
  return Summarise(times,
                   request_scheduler.Summary().routed - routed_before + 1);
}

}  // namespace daisywind::experiment
