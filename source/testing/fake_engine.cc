#include "testing/fake_engine.h"

#include <algorithm>

namespace daisywind::testing {

using migration::endpoint_role;
using migration::engine_order;
using migration::engine_report;
using migration::order_outcome;

auto fake_engine::HandleOrder(const migration::send_order& order)
    -> order_outcome {
  if (checks_fencing_ && order.fence < fence_) {
    return order_outcome::kStaleFence;
  }
  fence_ = order.fence;
  version_ = order.version;
  state_.role = order.wanted.role;
  StopTransfersExcept(order.wanted);
  std::erase_if(state_.models, [&](const auto& item) {
    const auto wanted = order.wanted.models.find(item.first);
    return wanted == order.wanted.models.end() || wanted->second != item.second;
  });
  std::erase_if(state_.adapters, [&](const auto& item) {
    const auto wanted = order.wanted.adapters.find(item.first);
    return wanted == order.wanted.adapters.end() ||
           wanted->second != item.second;
  });
  for (const auto& [model, version] : order.wanted.models) {
    if (!state_.models.contains(model)) {
      Queue(model.value, version, false);
    }
  }
  for (const auto& [adapter, version] : order.wanted.adapters) {
    if (!state_.adapters.contains(adapter)) {
      Queue(adapter.value, version, true);
    }
  }
  if (order.wanted.role == endpoint_role::kEmpty) {
    aborted_requests_ += request_ends_.size();
    request_ends_.clear();
    sessions_ = 0;
  }
  return order_outcome::kAccepted;
}

auto fake_engine::StopTransfersExcept(const engine_order& order) -> void {
  std::erase_if(transfers_, [&](const transfer& item) {
    const auto model = order.models.find(model_id{item.name});
    const auto adapter = order.adapters.find(adapter_id{item.name});
    const auto is_wanted =
        item.is_adapter
            ? adapter != order.adapters.end() && adapter->second == item.version
            : model != order.models.end() && model->second == item.version;
    if (!is_wanted && item.is_running) {
      --store_->used;
    }
    return !is_wanted;
  });
}

auto fake_engine::Queue(const std::string& name,
                        const std::string& version,
                        bool is_adapter) -> void {
  const auto is_queued =
      std::any_of(transfers_.begin(), transfers_.end(),
                  [&](const transfer& item) { return item.name == name; });
  if (!is_queued) {
    transfers_.push_back({name, version, is_adapter, false, {}});
  }
}

auto fake_engine::StartRequest(const model_id& model,
                               instant end,
                               bool holds_session) -> bool {
  if (!Serves(model)) {
    return false;
  }
  request_ends_.push_back(end);
  sessions_ += holds_session ? 1 : 0;
  return true;
}

auto fake_engine::Tick(instant now) -> void {
  std::erase_if(request_ends_, [&](instant end) { return end <= now; });
  for (auto& item : transfers_) {
    if (!item.is_running && store_->is_up && store_->used < store_->slots) {
      ++store_->used;
      item.is_running = true;
      item.end = now + store_->transfer_time;
    }
  }
  std::erase_if(transfers_, [&](const transfer& item) {
    if (!item.is_running || now < item.end || !store_->is_up) {
      return false;
    }
    --store_->used;
    if (item.is_adapter) {
      state_.adapters[adapter_id{item.name}] = item.version;
    } else {
      state_.models[model_id{item.name}] = item.version;
    }
    return true;
  });
}

auto fake_engine::Restart() -> void {
  StopTransfersExcept({});
  state_ = {{}, {}, endpoint_role::kEmpty};
  version_ = 0;
  fence_ = 0;
  request_ends_.clear();
  sessions_ = 0;
}

auto fake_engine::Preload(const engine_order& state) -> void {
  state_ = state;
}

auto fake_engine::Report() const -> engine_report {
  auto report = engine_report{};
  report.models = state_.models;
  report.adapters = state_.adapters;
  report.role = state_.role;
  report.version = version_;
  report.fence = fence_;
  for (const auto& item : transfers_) {
    report.loading.insert(item.name);
  }
  report.running = request_ends_.size();
  report.sessions = sessions_;
  return report;
}

auto fake_engine::Serves(const model_id& model) const -> bool {
  return is_reachable && state_.role == endpoint_role::kServing &&
         state_.models.contains(model);
}

auto fake_engine::IsEmpty() const -> bool {
  return migration::IsEmpty(Report());
}

}  // namespace daisywind::testing
