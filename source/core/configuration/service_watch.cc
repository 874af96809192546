#include "configuration/service_watch.h"

#include <algorithm>
#include <string>

#include "configuration/storage.h"

namespace daisywind::configuration {
namespace {

constexpr auto kReadInterval = duration(10s);
constexpr auto kFirstRetry = duration(500ms);
constexpr auto kMaxDoublings = std::size_t{5};
// A VM that hears no peer for this long asks the service itself.
constexpr auto kPeerSilence = duration(10s);

auto RetryAfter(std::size_t failures) -> duration {
  const auto doublings = std::min(failures, kMaxDoublings);
  return std::min(kReadInterval, kFirstRetry * (1U << doublings));
}

}  // namespace

auto service_watch::HandleWatchEvent(const watch_event& happened, instant now)
    -> void {
  if (watch_ != happened.watch) {
    return;
  }
  const auto head = DecodeHead(happened.item.value);
  if (head) {
    state_->LearnHead(*head, std::nullopt);
  }
  const auto is_older =
      !head || head->info.ref < state_->installed.head.info.ref;
  // A watch may be late: only a read proves that a version is the newest.
  if (is_older || !state_->has_read_head) {
    ReadSoon(now);
  }
}

auto service_watch::HandleWatchLost(const watch_lost& happened, instant now)
    -> void {
  if (watch_ != happened.watch) {
    return;
  }
  watch_.reset();
  ReadSoon(now + state_->Jitter(kFirstRetry));
}

auto service_watch::Advance(instant now) -> void {
  if (watch_ && !state_->IsWatcher()) {
    StopWatch();
  }
  if (!is_reading_ && IsReadDue(now)) {
    ReadHead(now);
  }
}

auto service_watch::ReadSoon(instant at) -> void {
  next_read_at_ = std::min(next_read_at_, at);
}

auto service_watch::StopWatch() -> void {
  state_->commands.emplace_back(stop_watch{*watch_});
  watch_.reset();
}

auto service_watch::IsReadDue(instant now) const -> bool {
  if (now < next_read_at_) {
    return false;
  }
  const auto heard_at = state_->heard_peer_at.value_or(*state_->started_at);
  const auto is_alone = now - heard_at > kPeerSilence;
  return !state_->has_read_head || is_alone || state_->IsWatcher();
}

auto service_watch::ReadHead(instant now) -> void {
  is_reading_ = true;
  state_->CallService(HeadRequest(""),
                      [this, now](const kv_result& result, instant at) {
                        HandleRead(result, now, at);
                      });
}

auto service_watch::HandleRead(const kv_result& result,
                               instant sent_at,
                               instant now) -> void {
  is_reading_ = false;
  if (result.outcome != kv::outcome::kAnswered) {
    next_read_at_ = now + state_->Jitter(RetryAfter(failures_));
    failures_ += 1;
    return;
  }
  failures_ = 0;
  next_read_at_ = now + state_->Jitter(kReadInterval);
  TakeRead(result.response, sent_at);
  if (state_->IsWatcher() && !watch_) {
    watch_ = state_->NextId();
    state_->counters.kv_watches += 1;
    state_->commands.emplace_back(start_watch{*watch_, std::string(kHeadKey),
                                              result.response.revision_at});
  }
}

auto service_watch::TakeRead(const kv::txn_response& response, instant sent_at)
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
