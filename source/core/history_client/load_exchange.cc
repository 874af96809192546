#include "history_client/load_exchange.h"

#include <utility>

namespace daisywind::history {
namespace {

// Younger news are not worth their bytes: an endpoint's own figures lag as
// much.
constexpr auto kAskInterval = duration(100ms);

// The receiver decides what is worth passing on.
auto OwnOptions() -> change_feed_options {
  auto options = change_feed_options{};
  options.min_change = 0;
  return options;
}

}  // namespace

load_exchange::load_exchange(load_handler on_load)
    : on_load_(std::move(on_load)), own_(OwnOptions()) {}

auto load_exchange::Note(const load_sample& sample, instant now) -> void {
  own_.Put(sample, now);
}

auto load_exchange::ReportFailure(endpoint_key endpoint, instant now) -> void {
  own_.PutFailure(endpoint, now);
}

auto load_exchange::AddTo(begin_request& request,
                          const member& to,
                          bool is_nearest,
                          instant now) -> void {
  auto& state = members_[to.address];
  auto changes = own_.ChangesSince(state.told, now);
  request.loads = std::move(changes.samples);
  state.told = changes.up_to;
  if (is_nearest && on_load_ && now >= ask_at_) {
    request.loads_known = state.known;
    ask_at_ = now + kAskInterval;
  }
}

auto load_exchange::Take(const begin_reply& reply,
                         const member& from,
                         instant now) -> void {
  if (reply.loads_up_to == 0) {
    return;
  }
  members_[from.address].known = reply.loads_up_to;
  for (const auto& sample : reply.loads) {
    on_load_(sample, now);
  }
}

}  // namespace daisywind::history
