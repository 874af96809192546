#include "history_client/load_exchange.h"

#include <utility>

namespace daisywind::history {
namespace {

// Minimum time between two requests for the samples of other VMs. More frequent
// requests would cost bandwidth for no benefit: the load that an endpoint
// reports is itself this much out of date.
constexpr auto kLoadRequestInterval = duration(100ms);

// Options of the feed of this VM's own samples to the members. Every change is
// sent, however small: the receiving member decides which changes to
// distribute.
auto LocalFeedOptions() -> change_feed_options {
  auto options = change_feed_options{};
  options.min_change = 0;
  return options;
}

}  // namespace

load_exchange::load_exchange(load_handler on_load)
    : on_load_(std::move(on_load)), local_changes_(LocalFeedOptions()) {}

auto load_exchange::AddSample(const load_sample& sample, instant now) -> void {
  local_changes_.Put(sample, now);
}

auto load_exchange::ReportFailure(endpoint_key endpoint, instant now) -> void {
  local_changes_.PutFailure(endpoint, now);
}

auto load_exchange::AttachLoads(begin_request& request,
                                const member& to,
                                bool is_nearest,
                                instant now) -> void {
  auto& state = members_[to.address];
  auto changes = local_changes_.ChangesSince(state.sent_up_to, now);
  request.loads = std::move(changes.samples);
  state.sent_up_to = changes.up_to;
  if (is_nearest && on_load_ && now >= earliest_load_request_) {
    // Asks for the samples after this sequence number.
    request.loads_known = state.received_up_to;
    earliest_load_request_ = now + kLoadRequestInterval;
  }
}

auto load_exchange::ProcessReply(const begin_reply& reply,
                                 const member& from,
                                 instant now) -> void {
  if (reply.loads_up_to == 0) {
    return;
  }
  members_[from.address].received_up_to = reply.loads_up_to;
  for (const auto& sample : reply.loads) {
    on_load_(sample, now);
  }
}

}  // namespace daisywind::history
