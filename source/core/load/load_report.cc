#include "load/load_report.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <string_view>
#include <utility>

namespace daisywind::load {
namespace {

constexpr auto kMicrosecondsPerMillisecond = 1000.0;

auto ToMilliseconds(duration time) -> double {
  return static_cast<double>(time.count()) / kMicrosecondsPerMillisecond;
}

auto Summary(const std::vector<duration>& times) -> json::object {
  return {{"count", times.size()},
          {"p50", ToMilliseconds(Percentile(times, 0.50))},
          {"p95", ToMilliseconds(Percentile(times, 0.95))},
          {"p99", ToMilliseconds(Percentile(times, 0.99))}};
}

auto ToJson(const std::map<std::string, std::int64_t>& counts) -> json::object {
  auto out = json::object{};
  for (const auto& [name, count] : counts) {
    out[name] = count;
  }
  return out;
}

}  // namespace

auto Percentile(std::vector<duration> times, double fraction) -> duration {
  if (times.empty()) {
    return {};
  }
  std::sort(times.begin(), times.end());
  const auto rank = static_cast<std::size_t>(
      std::ceil(fraction * static_cast<double>(times.size())));
  return times[std::clamp<std::size_t>(rank, 1, times.size()) - 1];
}

auto load_report::RecordEnd(const program_plan& plan,
                            const program_result& result,
                            duration latency,
                            duration ended_at) -> void {
  ++ended_[result.status];
  calls_ += result.calls;
  tokens_.prompt += result.tokens.prompt;
  tokens_.reusable += result.tokens.reusable;
  if (result.tokens.cached) {
    tokens_.cached = tokens_.cached.value_or(0) + *result.tokens.cached;
  }
  for (const auto& item : result.service_calls) {
    service_keys_[item.status].push_back(item.key);
  }
  if (result.status == program_status::kFinished) {
    latencies_by_class_[plan.class_name].push_back(latency);
    AddIfSlow({plan.index, plan.class_name, latency, result.slowest});
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(ended_at);
    ++finished_by_second_[second.count()];
  } else if (unfinished_.size() < kMaxListedUnfinished) {
    unfinished_.emplace_back(json::object{{"program", plan.index},
                                          {"class", plan.class_name},
                                          {"status", NameOf(result.status)},
                                          {"call", result.failed_call},
                                          {"reason", result.reason}});
  }
}

auto load_report::AddIfSlow(slow_program item) -> void {
  const auto place = std::find_if(
      slow_programs_.begin(), slow_programs_.end(),
      [&](const auto& other) { return other.latency < item.latency; });
  slow_programs_.insert(place, std::move(item));
  if (slow_programs_.size() > kMaxListedSlowest) {
    slow_programs_.pop_back();
  }
}

auto load_report::CountOf(program_status status) const -> std::int64_t {
  const auto found = ended_.find(status);
  return found == ended_.end() ? 0 : found->second;
}

auto load_report::ToJson(const client_counts& counts) const -> json::object {
  auto finished = json::array{};
  const auto seconds =
      finished_by_second_.empty() ? 0 : finished_by_second_.rbegin()->first + 1;
  for (auto second = std::int64_t{0}; second < seconds; ++second) {
    const auto found = finished_by_second_.find(second);
    finished.emplace_back(found == finished_by_second_.end() ? 0
                                                             : found->second);
  }
  return {{"organisation", organisation_},
          {"programs", Programs()},
          {"calls", calls_},
          {"refusals", load::ToJson(counts.refusals_by_outcome)},
          {"refusal_reasons", load::ToJson(counts.refusals_by_reason)},
          {"refused_connections", counts.refused_connections},
          {"broken_connections", counts.broken_connections},
          {"retries", counts.retries},
          {"latency_ms", Latencies()},
          {"prompt_tokens", Tokens()},
          {"finished_per_second", std::move(finished)},
          {"unfinished", unfinished_},
          {"slowest", Slowest()},
          {"service_keys", ServiceKeys()}};
}

auto load_report::Programs() const -> json::object {
  auto out = json::object{{"started", started_}};
  for (const auto status :
       {program_status::kFinished, program_status::kWrong,
        program_status::kInDoubt, program_status::kRefused}) {
    out[NameOf(status)] = CountOf(status);
  }
  return out;
}

auto load_report::Latencies() const -> json::object {
  auto all = std::vector<duration>{};
  auto by_class = json::object{};
  for (const auto& [name, times] : latencies_by_class_) {
    all.insert(all.end(), times.begin(), times.end());
    by_class[organisation_ + "/" + name] = Summary(times);
  }
  auto out = Summary(all);
  out["by_class"] = std::move(by_class);
  return out;
}

auto load_report::Tokens() const -> json::object {
  auto out = json::object{{"total", tokens_.prompt},
                          {"reusable", tokens_.reusable},
                          {"cached", nullptr},
                          {"wasted", nullptr}};
  if (tokens_.cached) {
    out["cached"] = *tokens_.cached;
    out["wasted"] =
        std::max<std::int64_t>(0, tokens_.reusable - *tokens_.cached);
  }
  return out;
}

auto load_report::Slowest() const -> json::array {
  auto out = json::array{};
  for (const auto& item : slow_programs_) {
    const auto call = json::object{{"call", item.slowest.call_name},
                                   {"ms", ToMilliseconds(item.slowest.time)},
                                   {"tries", item.slowest.attempts},
                                   {"reason", item.slowest.reason},
                                   {"handle", item.slowest.handle}};
    out.emplace_back(json::object{{"program", item.index},
                                  {"class", item.class_name},
                                  {"ms", ToMilliseconds(item.latency)},
                                  {"slowest_call", call}});
  }
  return out;
}

auto load_report::ServiceKeys() const -> json::object {
  static constexpr auto kNames =
      std::to_array<std::string_view>({"answered", "not_run", "in_doubt"});
  auto out = json::object{};
  for (const auto& name : kNames) {
    out[name] = json::array{};
  }
  for (const auto& [status, keys] : service_keys_) {
    auto& list = out[kNames.at(static_cast<std::size_t>(status))].as_array();
    for (const auto& key : keys) {
      list.emplace_back(key);
    }
  }
  return out;
}

}  // namespace daisywind::load
