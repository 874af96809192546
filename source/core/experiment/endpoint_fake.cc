#include "experiment/endpoint_fake.h"

#include <algorithm>

namespace daisywind::experiment {
namespace {

// How long an abandoned running call still occupies its slot.
constexpr auto kAbandonGrace = duration{2s};
constexpr auto kMillisecondsPerSecond = 1000.0;

}  // namespace

endpoint_fake::endpoint_fake(event_queue& events,
                             const engine_config& config,
                             block_set& ever_cached)
    : events_(events),
      config_(config),
      ever_cached_(ever_cached),
      cache_(config.cache_tokens) {}

auto endpoint_fake::ScaleBySlowdown(double seconds) const -> duration {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>{seconds * slowdown_});
}

auto endpoint_fake::Submit(const endpoint_request& request,
                           const endpoint_callbacks& callbacks) -> void {
  if (!is_up_) {
    events_.After(detection_delay_, [callbacks] {
      callbacks.finished({policy::finish_kind::kNotRun, {}, 0});
    });
    return;
  }
  waiting_.emplace(queue_position{request.priority, next_sequence_++},
                   item{request, callbacks, {}, false});
  StartWaitingCalls();
}

auto endpoint_fake::StartWaitingCalls() -> void {
  while (running_.size() < config_.capacity && !waiting_.empty()) {
    const auto [position, next] = *waiting_.begin();
    waiting_.erase(waiting_.begin());
    Start(position, next);
  }
  ScheduleNextWork();
}

auto endpoint_fake::LookUpPrefix(item& started) -> void {
  const auto& request = started.request;
  const auto prompt = std::span{request.blocks}.first(request.prompt_blocks);
  const auto cached_blocks = cache_.Match(prompt);
  for (auto i = cached_blocks; i < prompt.size(); ++i) {
    started.result.wasted_tokens +=
        ever_cached_.contains(prompt[i]) ? kBlockTokens : 0U;
  }
  ever_cached_.insert(request.blocks.begin(), request.blocks.end());
  cache_.Insert(prompt);
  const auto cached = static_cast<std::uint32_t>(cached_blocks) * kBlockTokens;
  started.result.usage = {request.prompt_tokens, cached, request.output_tokens};
}

auto endpoint_fake::Start(const queue_position& position, const item& waiting)
    -> void {
  const auto id = waiting.request.id;
  auto& started = running_[id] = waiting;
  started.callbacks.started();
  if (started.request.prompt_tokens == 0) {
    StartService(id, started.request.service_time);
    return;
  }
  prefill_queue_.emplace(position, id);
}

auto endpoint_fake::StartService(std::uint64_t id, duration length) -> void {
  const auto seconds = std::chrono::duration<double>{length}.count();
  events_.After(ScaleBySlowdown(seconds), [this, id] {
    const auto found = running_.find(id);
    if (found != running_.end() && !found->second.is_abandoned) {
      found->second.callbacks.first_token();
    }
    Finish(id);
  });
}

auto endpoint_fake::AdvanceDecoding() -> void {
  const auto elapsed = events_.now() - decoding_updated_at_;
  decoding_updated_at_ = events_.now();
  if (!prefilling_) {
    decoding_time_ += std::chrono::duration_cast<duration>(elapsed / slowdown_);
  }
}

auto endpoint_fake::ScheduleNextWork() -> void {
  AdvanceDecoding();
  if (prefilling_) {
    return;
  }
  if (!prefill_queue_.empty()) {
    StartPrefill();
    return;
  }
  ++plan_generation_;
  if (decoding_.empty()) {
    return;
  }
  const auto remaining = std::chrono::duration<double>{
      std::max(duration{0}, decoding_.begin()->first - decoding_time_)};
  events_.After(ScaleBySlowdown(remaining.count()) + duration{1},
                [this, planned_generation = plan_generation_] {
                  EndDecoding(planned_generation);
                });
}

auto endpoint_fake::StartPrefill() -> void {
  const auto id = prefill_queue_.begin()->second;
  prefill_queue_.erase(prefill_queue_.begin());
  prefilling_ = id;
  ++plan_generation_;
  auto& started = running_.at(id);
  LookUpPrefix(started);
  const auto& usage = started.result.usage;
  const auto computed = usage.prompt_tokens - usage.cached_tokens;
  events_.After(ScaleBySlowdown(computed / config_.prefill_tokens_per_s),
                [this, id] { EndPrefill(id); });
}

auto endpoint_fake::EndPrefill(std::uint64_t id) -> void {
  if (prefilling_ != id) {
    return;
  }
  AdvanceDecoding();
  prefilling_.reset();
  const auto found = running_.find(id);
  if (found != running_.end()) {
    const auto& request = found->second.request;
    const auto length = std::chrono::duration<double>{
        request.output_tokens * config_.decode_ms_per_token /
        kMillisecondsPerSecond};
    decoding_.emplace(
        decoding_time_ + std::chrono::duration_cast<duration>(length), id);
    if (!found->second.is_abandoned) {
      found->second.callbacks.first_token();
    }
  }
  ScheduleNextWork();
}

auto endpoint_fake::EndDecoding(std::uint64_t generation) -> void {
  if (generation != plan_generation_ || decoding_.empty()) {
    return;
  }
  AdvanceDecoding();
  const auto id = decoding_.begin()->second;
  decoding_.erase(decoding_.begin());
  Finish(id);
}

auto endpoint_fake::Finish(std::uint64_t id) -> void {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  AdvanceDecoding();
  const auto finished_call = std::move(found->second);
  running_.erase(found);
  std::erase_if(decoding_,
                [id](const auto& entry) { return entry.second == id; });
  std::erase_if(prefill_queue_,
                [id](const auto& entry) { return entry.second == id; });
  if (finished_call.request.prompt_tokens > 0) {
    cache_.Insert(finished_call.request.blocks);
  }
  if (!finished_call.is_abandoned) {
    finished_call.callbacks.finished(finished_call.result);
  }
  StartWaitingCalls();
}

auto endpoint_fake::Abandon(std::uint64_t id) -> void {
  std::erase_if(waiting_, [id](const auto& entry) {
    return entry.second.request.id == id;
  });
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  found->second.is_abandoned = true;
  events_.After(kAbandonGrace, [this, id] { Finish(id); });
}

auto endpoint_fake::FailAll(duration detection_delay) -> void {
  auto failed_calls = std::vector<endpoint_callbacks>{};
  for (const auto& [key, entry] : waiting_) {
    failed_calls.push_back(entry.callbacks);
  }
  for (const auto& [id, entry] : running_) {
    if (!entry.is_abandoned) {
      failed_calls.push_back(entry.callbacks);
    }
  }
  waiting_.clear();
  running_.clear();
  prefill_queue_.clear();
  decoding_.clear();
  prefilling_.reset();
  ++plan_generation_;
  for (const auto& callbacks : failed_calls) {
    events_.After(detection_delay, [callbacks] {
      callbacks.finished({policy::finish_kind::kFailed, {}, 0});
    });
  }
}

auto endpoint_fake::Crash(duration detection_delay) -> void {
  is_up_ = false;
  detection_delay_ = detection_delay;
  FailAll(detection_delay);
  cache_.Clear();
}

auto endpoint_fake::Restore() -> void {
  is_up_ = true;
  decoding_updated_at_ = events_.now();
}

auto endpoint_fake::SetSlowdown(double factor) -> void {
  AdvanceDecoding();
  slowdown_ = factor;
  ScheduleNextWork();
}

auto endpoint_fake::Running() const -> std::uint32_t {
  return static_cast<std::uint32_t>(running_.size());
}

auto endpoint_fake::Queued() const -> std::uint32_t {
  return static_cast<std::uint32_t>(waiting_.size());
}

auto endpoint_fake::TakeCacheEvents() -> std::vector<policy::cache_event> {
  return cache_.TakeEvents();
}

}  // namespace daisywind::experiment
