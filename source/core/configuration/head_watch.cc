#include "configuration/head_watch.h"

#include <algorithm>
#include <string>

#include "configuration/storage.h"

namespace daisywind::configuration {
namespace {

constexpr auto kReadInterval = duration(10s);
constexpr auto kInitialBackoff = duration(500ms);
constexpr auto kMaxBackoffDoublings = std::size_t{5};
// A VM that has received no peer message for this long reads the head from the
// service even if it is not a watcher.
constexpr auto kPeerTimeout = duration(10s);

auto BackoffAfter(std::size_t failures) -> duration {
  const auto doublings = std::min(failures, kMaxBackoffDoublings);
  return std::min(kReadInterval, kInitialBackoff * (1U << doublings));
}

}  // namespace

auto head_watch::HandleWatchEvent(const watch_event& input, instant now)
    -> void {
  if (watch_ != input.watch) {
    return;
  }
  const auto head = DecodeHead(input.item.value);
  if (head) {
    state_->LearnHead(*head, std::nullopt);
  }
  const auto is_older =
      !head || head->info.ref < state_->installed.head.info.ref;
  // Watch events may be delayed; only a read proves that a version is the
  // newest.
  if (is_older || !state_->has_read_head) {
    ScheduleRead(now);
  }
}

auto head_watch::HandleWatchLost(const watch_lost& input, instant now) -> void {
  if (watch_ != input.watch) {
    return;
  }
  watch_.reset();
  ScheduleRead(now + state_->Jitter(kInitialBackoff));
}

auto head_watch::Advance(instant now) -> void {
  if (watch_ && !state_->IsWatcher()) {
    StopWatch();
  }
  if (!is_reading_ && IsReadDue(now)) {
    ReadHead(now);
  }
}

auto head_watch::ScheduleRead(instant at) -> void {
  next_read_at_ = std::min(next_read_at_, at);
}

auto head_watch::StopWatch() -> void {
  state_->commands.emplace_back(stop_watch{*watch_});
  watch_.reset();
}

auto head_watch::IsReadDue(instant now) const -> bool {
  if (now < next_read_at_) {
    return false;
  }
  const auto last_contact_at =
      state_->last_peer_message_at.value_or(*state_->started_at);
  const auto is_isolated = now - last_contact_at > kPeerTimeout;
  return !state_->has_read_head || is_isolated || state_->IsWatcher();
}

auto head_watch::ReadHead(instant now) -> void {
  is_reading_ = true;
  state_->CallService(HeadRequest(""),
                      [this, now](const kv_result& result, instant at) {
                        HandleRead(result, now, at);
                      });
}

auto head_watch::HandleRead(const kv_result& result,
                            instant sent_at,
                            instant now) -> void {
  is_reading_ = false;
  if (result.outcome != kv::outcome::kAnswered) {
    next_read_at_ =
        now + state_->Jitter(BackoffAfter(consecutive_read_failures_));
    consecutive_read_failures_ += 1;
    return;
  }
  consecutive_read_failures_ = 0;
  next_read_at_ = now + state_->Jitter(kReadInterval);
  ProcessHead(result.response, sent_at);
  if (state_->IsWatcher() && !watch_) {
    watch_ = state_->NextId();
    state_->counters.kv_watches += 1;
    state_->commands.emplace_back(start_watch{*watch_, std::string(kHeadKey),
                                              result.response.revision_at});
  }
}

auto head_watch::ProcessHead(const kv::txn_response& response, instant sent_at)
    -> void {
  const auto read = ReadHeadState(response);
  if (!read) {
    return;
  }
  const auto has_installed = state_->installed.head.info.ref.number > 0;
  if (!read->head) {
    if (has_installed) {
      state_->NoteOutdatedHead(*read);
    }
    return;
  }
  state_->has_read_head = true;
  state_->LearnHead(*read->head, sent_at);
  if (read->head->info.ref < state_->installed.head.info.ref) {
    state_->NoteOutdatedHead(*read);
  }
}

}  // namespace daisywind::configuration
