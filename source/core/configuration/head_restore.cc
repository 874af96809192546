#include "configuration/head_restore.h"

#include <utility>

#include "configuration/storage.h"

namespace daisywind::configuration {
namespace {

// Each VM waits a random delay up to this value, so that usually one VM
// restores the head before the others start.
constexpr auto kMaxDelay = duration(2s);

}  // namespace

auto head_restore::Advance(instant now) -> void {
  if (!state_->outdated_head || is_running_) {
    return;
  }
  if (!begin_at_) {
    const auto delay = state_->random.UniformBelow(kMaxDelay.count());
    begin_at_ = now + duration(static_cast<duration::rep>(delay));
  }
  if (now >= *begin_at_) {
    Begin();
  }
}

auto head_restore::TakeFinished() -> bool {
  return std::exchange(has_finished_, false);
}

auto head_restore::Begin() -> void {
  is_running_ = true;
  written_ = 0;
  auto chunks = chunk_map{};
  for (const auto& [bucket, chunk] : state_->installed.head.buckets) {
    chunks.emplace(chunk, state_->chunks.at(chunk));
  }
  writes_ = ChunkWriteRequests(chunks);
  writes_.push_back(
      RestoreRequest(*state_->outdated_head, state_->installed.head));
  WriteNext();
}

auto head_restore::WriteNext() -> void {
  state_->CallService(writes_[written_],
                      [this](const kv_result& result, instant /*now*/) {
                        HandleResult(result);
                      });
}

auto head_restore::HandleResult(const kv_result& result) -> void {
  const auto is_written =
      result.outcome == kv::outcome::kAnswered && result.response.has_succeeded;
  written_ += 1;
  if (is_written && written_ < writes_.size()) {
    WriteNext();
    return;
  }
  // Success and failure are handled alike: the next read of the head shows
  // whether another restore is required.
  is_running_ = false;
  has_finished_ = true;
  begin_at_.reset();
  state_->outdated_head.reset();
  writes_.clear();
}

}  // namespace daisywind::configuration
