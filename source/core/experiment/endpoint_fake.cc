#include "experiment/endpoint_fake.h"

#include <algorithm>

namespace daisywind::experiment {
namespace {

constexpr auto kAbandonGrace = duration{2s};
constexpr auto kMillisecondsPerSecond = 1000.0;

}  // namespace

endpoint_fake::endpoint_fake(event_queue& events,
                             const engine_shape& shape,
                             block_set& ever_held)
    : events_(events),
      shape_(shape),
      ever_held_(ever_held),
      cache_(shape.cache_tokens) {}

auto endpoint_fake::Scaled(double seconds) const -> duration {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>{seconds * slowness_});
}

auto endpoint_fake::Submit(const endpoint_request& request,
                           const endpoint_callbacks& callbacks) -> void {
  if (!is_up_) {
    events_.After(detection_, [callbacks] {
      callbacks.finished({policy::finish_kind::kNotRun, {}, 0});
    });
    return;
  }
  waiting_.emplace(place{request.priority, next_sequence_++},
                   item{request, callbacks, {}, false});
  StartWaiting();
}

auto endpoint_fake::StartWaiting() -> void {
  while (running_.size() < shape_.capacity && !waiting_.empty()) {
    const auto [order, next] = *waiting_.begin();
    waiting_.erase(waiting_.begin());
    Start(order, next);
  }
  Continue();
}

auto endpoint_fake::LookUp(item& started) -> void {
  const auto& request = started.request;
  const auto prompt = std::span{request.blocks}.first(request.prompt_blocks);
  const auto held = cache_.Match(prompt);
  for (auto i = held; i < prompt.size(); ++i) {
    started.result.wasted_tokens +=
        ever_held_.contains(prompt[i]) ? kBlockTokens : 0U;
  }
  ever_held_.insert(request.blocks.begin(), request.blocks.end());
  cache_.Insert(prompt);
  const auto cached = static_cast<std::uint32_t>(held) * kBlockTokens;
  started.result.usage = {request.prompt_tokens, cached, request.output_tokens};
}

auto endpoint_fake::Start(const place& order, const item& waiting) -> void {
  const auto id = waiting.request.id;
  auto& started = running_[id] = waiting;
  started.callbacks.started();
  if (started.request.prompt_tokens == 0) {
    StartService(id, started.request.service_time);
    return;
  }
  prefill_queue_.emplace(order, id);
}

auto endpoint_fake::StartService(std::uint64_t id, duration length) -> void {
  const auto seconds = std::chrono::duration<double>{length}.count();
  events_.After(Scaled(seconds), [this, id] {
    const auto found = running_.find(id);
    if (found != running_.end() && !found->second.is_abandoned) {
      found->second.callbacks.first_token();
    }
    Finish(id);
  });
}

auto endpoint_fake::AdvanceDecoding() -> void {
  const auto elapsed = events_.now() - last_advance_;
  last_advance_ = events_.now();
  if (!prefilling_) {
    decoded_ += std::chrono::duration_cast<duration>(elapsed / slowness_);
  }
}

auto endpoint_fake::Continue() -> void {
  AdvanceDecoding();
  if (prefilling_) {
    return;
  }
  if (!prefill_queue_.empty()) {
    StartPrefill();
    return;
  }
  ++generation_;
  if (decoding_.empty()) {
    return;
  }
  const auto left = std::chrono::duration<double>{
      std::max(duration{0}, decoding_.begin()->first - decoded_)};
  events_.After(Scaled(left.count()) + duration{1},
                [this, planned = generation_] { EndDecoding(planned); });
}

auto endpoint_fake::StartPrefill() -> void {
  const auto id = prefill_queue_.begin()->second;
  prefill_queue_.erase(prefill_queue_.begin());
  prefilling_ = id;
  ++generation_;
  auto& started = running_.at(id);
  LookUp(started);
  const auto& usage = started.result.usage;
  const auto computed = usage.prompt_tokens - usage.cached_tokens;
  events_.After(Scaled(computed / shape_.prefill_tokens_per_s),
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
        request.output_tokens * shape_.decode_ms_per_token /
        kMillisecondsPerSecond};
    decoding_.emplace(decoded_ + std::chrono::duration_cast<duration>(length),
                      id);
    if (!found->second.is_abandoned) {
      found->second.callbacks.first_token();
    }
  }
  Continue();
}

auto endpoint_fake::EndDecoding(std::uint64_t generation) -> void {
  if (generation != generation_ || decoding_.empty()) {
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
  const auto ended = std::move(found->second);
  running_.erase(found);
  std::erase_if(decoding_,
                [id](const auto& entry) { return entry.second == id; });
  std::erase_if(prefill_queue_,
                [id](const auto& entry) { return entry.second == id; });
  if (ended.request.prompt_tokens > 0) {
    cache_.Insert(ended.request.blocks);
  }
  if (!ended.is_abandoned) {
    ended.callbacks.finished(ended.result);
  }
  StartWaiting();
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

auto endpoint_fake::FailAll(duration detection) -> void {
  auto lost = std::vector<endpoint_callbacks>{};
  for (const auto& [key, entry] : waiting_) {
    lost.push_back(entry.callbacks);
  }
  for (const auto& [id, entry] : running_) {
    if (!entry.is_abandoned) {
      lost.push_back(entry.callbacks);
    }
  }
  waiting_.clear();
  running_.clear();
  prefill_queue_.clear();
  decoding_.clear();
  prefilling_.reset();
  ++generation_;
  for (const auto& callbacks : lost) {
    events_.After(detection, [callbacks] {
      callbacks.finished({policy::finish_kind::kFailed, {}, 0});
    });
  }
}

auto endpoint_fake::Crash(duration detection) -> void {
  is_up_ = false;
  detection_ = detection;
  FailAll(detection);
  cache_.Clear();
}

auto endpoint_fake::Restore() -> void {
  is_up_ = true;
  last_advance_ = events_.now();
}

auto endpoint_fake::SetSlowness(double factor) -> void {
  AdvanceDecoding();
  slowness_ = factor;
  Continue();
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
