#include "policy/call_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace daisywind::policy {

auto call_queue::MinWeightedService() const -> double {
  auto minimum = std::numeric_limits<double>::infinity();
  for (const auto& [id, organisation] : organisations_) {
    if (!organisation.calls.empty()) {
      minimum = std::min(minimum, organisation.weighted_service);
    }
  }
  return std::isinf(minimum) ? 0.0 : minimum;
}

auto call_queue::Add(const waiting_call& call, instant virtual_arrival)
    -> void {
  auto& organisation = organisations_[call.request.organisation];
  if (organisation.calls.empty()) {
    organisation.weighted_service =
        std::max(organisation.weighted_service, MinWeightedService());
  }
  const auto order = queue_order{virtual_arrival, next_sequence_++};
  organisation.calls.emplace(order, call);
  positions_.emplace(call.request.call,
                     queue_position{call.request.organisation, order});
  ++counts_[call.rank];
  new_calls_.push_back(call.request.call);
}

auto call_queue::Remove(call_ref call) -> std::optional<waiting_call> {
  const auto found = positions_.find(call);
  if (found == positions_.end()) {
    return std::nullopt;
  }
  auto& calls = organisations_[found->second.organisation].calls;
  const auto item = calls.find(found->second.order);
  auto out = std::optional{std::move(item->second)};
  calls.erase(item);
  positions_.erase(found);
  --counts_[out->rank];
  return out;
}

auto call_queue::Next(std::size_t limit) const
    -> std::vector<const waiting_call*> {
  auto order = std::vector<const organisation_queue*>{};
  for (const auto& [id, organisation] : organisations_) {
    if (!organisation.calls.empty()) {
      order.push_back(&organisation);
    }
  }
  std::ranges::sort(order, {}, &organisation_queue::weighted_service);
  auto out = std::vector<const waiting_call*>{};
  for (const auto* organisation : order) {
    auto taken = std::size_t{0};
    for (const auto& [key, call] : organisation->calls) {
      if (taken++ >= limit) {
        break;
      }
      out.push_back(&call);
    }
  }
  return out;
}

auto call_queue::TakeNew() -> std::vector<const waiting_call*> {
  auto out = std::vector<const waiting_call*>{};
  for (const auto call : new_calls_) {
    const auto found = positions_.find(call);
    if (found != positions_.end()) {
      out.push_back(&organisations_[found->second.organisation].calls.at(
          found->second.order));
    }
  }
  new_calls_.clear();
  return out;
}

auto call_queue::Charge(const organisation_id& organisation,
                        seconds service,
                        double share) -> void {
  organisations_[organisation].weighted_service += service.count() / share;
}

auto call_queue::CountUpTo(std::int32_t rank) const -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& [item_rank, item_count] : counts_) {
    if (item_rank <= rank) {
      count += item_count;
    }
  }
  return count;
}

auto call_queue::ArrivedBefore(instant limit) const -> std::vector<call_ref> {
  auto out = std::vector<call_ref>{};
  for (const auto& [id, organisation] : organisations_) {
    for (const auto& [key, call] : organisation.calls) {
      if (call.arrived < limit) {
        out.push_back(call.request.call);
      }
    }
  }
  return out;
}

}  // namespace daisywind::policy
