#include "standin/engine_batch.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "standin/answer.h"

namespace daisywind::standin {

auto engine_run::IsActive() const -> bool {
  return state <= run_state::kDecoding;
}

auto engine_batch::Submit(engine_request request, instant now) -> void {
  const auto id = request.id;
  if (runs_.contains(id)) {
    return;
  }
  auto& run = runs_[id];
  run.prompt_tokens = CountTokens(request.prompt);
  run.request = std::move(request);
  run.sequence = ++last_sequence_;
  run.last_reader_at = now;
}

auto engine_batch::Find(const std::string& id) const -> const engine_run* {
  const auto found = runs_.find(id);
  return found == runs_.end() ? nullptr : &found->second;
}

auto engine_batch::Attach(const std::string& id) -> void {
  const auto found = runs_.find(id);
  if (found != runs_.end()) {
    ++found->second.readers;
  }
}

auto engine_batch::Detach(const std::string& id, instant now) -> void {
  const auto found = runs_.find(id);
  if (found != runs_.end()) {
    --found->second.readers;
    found->second.last_reader_at = now;
  }
}

auto engine_batch::Cancel(const std::string& id) -> bool {
  const auto found = runs_.find(id);
  if (found == runs_.end() || !found->second.IsActive()) {
    return false;
  }
  found->second.state = run_state::kCancelled;
  return true;
}

auto engine_batch::Tick(instant now) -> std::vector<std::string> {
  auto changed = std::vector<std::string>{};
  CancelAbandoned(now, changed);
  Admit(now);
  for (auto& [id, run] : runs_) {
    if (run.IsActive() && Advance(run, now)) {
      changed.push_back(id);
    }
  }
  Admit(now);
  return changed;
}

auto engine_batch::CancelAbandoned(instant now,
                                   std::vector<std::string>& changed) -> void {
  for (auto item = runs_.begin(); item != runs_.end();) {
    auto& run = item->second;
    const auto is_abandoned =
        run.readers == 0 && now - run.last_reader_at >= options_.grace;
    if (is_abandoned && !run.IsActive()) {
      item = runs_.erase(item);
      continue;
    }
    if (is_abandoned) {
      run.state = run_state::kCancelled;
      run.last_reader_at = now;
      changed.push_back(item->first);
    }
    ++item;
  }
}

auto engine_batch::Admit(instant now) -> void {
  auto running = RunningCount();
  while (running < options_.capacity) {
    auto* run = NextWaiting();
    if (run == nullptr) {
      return;
    }
    Start(*run, now);
    ++running;
  }
}

auto engine_batch::NextWaiting() -> engine_run* {
  engine_run* next = nullptr;
  for (auto& [id, run] : runs_) {
    const auto is_waiting = run.state == run_state::kWaiting;
    if (is_waiting && (next == nullptr ||
                       std::tie(run.request.priority, run.sequence) <
                           std::tie(next->request.priority, next->sequence))) {
      next = &run;
    }
  }
  return next;
}

auto engine_batch::Start(engine_run& run, instant now) -> void {
  const auto blocks = HashBlocks(run.request.prompt);
  run.cached_tokens =
      std::min(run.prompt_tokens, cache_.Match(blocks) * kBlockTokens);
  totals_.prompt += run.prompt_tokens;
  totals_.cached += run.cached_tokens;
  const auto uncached = run.prompt_tokens - run.cached_tokens;
  run.state = run_state::kPrefilling;
  run.next_step_at = now + options_.prefill_per_token * uncached;
}

auto engine_batch::Advance(engine_run& run, instant now) -> bool {
  if (run.state == run_state::kWaiting || run.next_step_at > now) {
    return false;
  }
  if (run.state == run_state::kPrefilling) {
    run.state = run_state::kDecoding;
    cache_.Insert(HashBlocks(run.request.prompt), now);
  }
  while (run.generated_tokens < run.request.answer.size() &&
         run.next_step_at <= now) {
    ++run.generated_tokens;
    run.next_step_at += std::max(options_.decode_per_token, duration(1));
  }
  if (run.generated_tokens == run.request.answer.size()) {
    Finish(run, now);
  }
  return true;
}

auto engine_batch::Finish(engine_run& run, instant now) -> void {
  run.state = run_state::kFinished;
  run.last_reader_at = now;
  auto text = run.request.prompt;
  for (const auto& token : run.request.answer) {
    text += token;
  }
  cache_.Insert(HashBlocks(text), now);
}

auto engine_batch::NextStepAt() const -> std::optional<instant> {
  auto next = std::optional<instant>{};
  const auto keep_earlier = [&](instant at) {
    next = next ? std::min(*next, at) : at;
  };
  for (const auto& [id, run] : runs_) {
    if (run.IsActive() && run.state != run_state::kWaiting) {
      keep_earlier(run.next_step_at);
    }
    if (run.readers == 0) {
      keep_earlier(run.last_reader_at + options_.grace);
    }
  }
  return next;
}

auto engine_batch::Count(run_state first, run_state last) const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(runs_.begin(), runs_.end(), [&](const auto& item) {
        return item.second.state >= first && item.second.state <= last;
      }));
}

auto engine_batch::RunningCount() const -> std::size_t {
  return Count(run_state::kPrefilling, run_state::kDecoding);
}

auto engine_batch::WaitingCount() const -> std::size_t {
  return Count(run_state::kWaiting, run_state::kWaiting);
}

}  // namespace daisywind::standin
