#include "policy/queue_discipline.h"

#include <algorithm>
#include <cmath>

#include "policy/units.h"

namespace daisywind::policy {
namespace {

constexpr auto kFirstLevel = seconds{0.5};
constexpr auto kMaxLevel = 15.0;
constexpr auto kLevelDelay = duration{250ms};
constexpr auto kRankDelay = duration{10s};
constexpr auto kLevelsPerRank = std::int32_t{16};

}  // namespace

auto ServiceLevel(duration attained_service) -> std::int32_t {
  const auto attained = seconds{attained_service};
  const auto level = std::floor(std::log2(1.0 + attained / kFirstLevel));
  return static_cast<std::int32_t>(std::clamp(level, 0.0, kMaxLevel));
}

auto VirtualArrival(queueing_kind kind,
                    const call_request& call,
                    std::int32_t rank,
                    instant now) -> instant {
  if (kind == queueing_kind::kFirstComeFirstServed) {
    return now;
  }
  return now + kRankDelay * rank +
         kLevelDelay * ServiceLevel(call.attained_service);
}

auto EnginePriority(queueing_kind kind,
                    const call_request& call,
                    std::int32_t rank) -> std::int32_t {
  if (kind == queueing_kind::kFirstComeFirstServed) {
    return 0;
  }
  return rank * kLevelsPerRank + ServiceLevel(call.attained_service);
}

}  // namespace daisywind::policy
