#include "migration/order_planner.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "migration/routing_rules.h"

namespace daisywind::migration {
namespace {

using name_counts = std::map<std::string, std::uint32_t>;

// An order that keeps everything loaded and sets the given role.
auto KeepLoaded(const engine_report& report, endpoint_role role)
    -> engine_order {
  return {report.models, report.adapters, role};
}

// Whether the endpoint has been idle for so long that no VM sends to it any
// more, and its sessions are released or past their grace period.
auto IsDrained(const endpoint_row& row, const migration_options& options)
    -> bool {
  if (!row.idle_since) {
    return false;
  }
  const auto idle = row.observed->asked_at - *row.idle_since;
  const auto is_released = row.observed->report.sessions == 0;
  return idle >=
         (is_released ? options.drain_idle_period : options.session_grace);
}

// Whether the order has a model or adapter that the engine neither has in that
// version nor is loading.
auto NeedsLoad(const engine_report& report, const engine_order& order) -> bool {
  const auto is_missing_model = std::any_of(
      order.models.begin(), order.models.end(), [&](const auto& item) {
        const auto found = report.models.find(item.first);
        return (found == report.models.end() || found->second != item.second) &&
               !report.loading.contains(item.first.value);
      });
  const auto is_missing_adapter = std::any_of(
      order.adapters.begin(), order.adapters.end(), [&](const auto& item) {
        const auto found = report.adapters.find(item.first);
        return (found == report.adapters.end() ||
                found->second != item.second) &&
               !report.loading.contains(item.first.value);
      });
  return is_missing_model || is_missing_adapter;
}

// Names that the engine serves now but not while it executes the order.
auto NamesInterrupted(const endpoint_row& row, const engine_order& order)
    -> std::set<std::string> {
  auto names = NamesServed(row);
  std::erase_if(names, [&](const std::string& name) {
    const auto wanted = order.models.find(model_id{name});
    return wanted != order.models.end() &&
           wanted->second == row.observed->report.models.at(wanted->first);
  });
  return names;
}

// Whether the same order was sent so recently that its effect may not show yet,
// or a different one is still unanswered and could arrive after this one.
auto MustWait(const endpoint_row& row,
              const engine_order& order,
              std::uint64_t fence,
              instant now,
              const migration_options& options) -> bool {
  if (!row.last_order) {
    return false;
  }
  const auto& last = *row.last_order;
  if (last.wanted == order && last.fence == fence) {
    auto wait = options.order_retry_delay;
    for (auto i = std::uint32_t{1};
         i < last.attempts && wait < options.max_order_retry_delay; ++i) {
      wait *= 2;
    }
    return now < last.sent_at + std::min(wait, options.max_order_retry_delay);
  }
  return !last.is_answered && now < last.sent_at + options.order_timeout;
}

auto IsLoadInProgress(const endpoint_row& row,
                      instant now,
                      const migration_options& options) -> bool {
  if (row.loading_since) {
    return now - *row.loading_since < options.slow_load_threshold;
  }
  return row.last_order && row.observed &&
         now < row.last_order->sent_at + options.order_retry_delay &&
         NeedsLoad(row.observed->report, row.last_order->wanted);
}

auto CountServing(const endpoint_table& table, instant now) -> name_counts {
  auto counts = name_counts{};
  for (const auto& [id, row] : table) {
    if (!IsServing(row, now)) {
      continue;
    }
    for (const auto& name : NamesServed(row)) {
      ++counts[name];
    }
  }
  return counts;
}

// Whether one endpoint of each name can stop serving without falling below the
// `need` of a name.
auto CanInterrupt(name_counts& serving,
                  const std::set<std::string>& names,
                  const wanted_state& wanted) -> bool {
  return std::all_of(names.begin(), names.end(), [&](const auto& name) {
    const auto need = wanted.need.find(name);
    return need == wanted.need.end() || serving[name] > need->second;
  });
}

// Subtracts an interrupted endpoint from the serving ones if `need` allows it.
// Returns false, with no effect, when it does not.
auto TryReserveInterruption(name_counts& serving,
                            const std::set<std::string>& names,
                            const wanted_state& wanted) -> bool {
  if (!CanInterrupt(serving, names, wanted)) {
    return false;
  }
  for (const auto& name : names) {
    --serving[name];
  }
  return true;
}

// Distributes load slots evenly among failure domains and models.
class load_queue {
 public:
  load_queue(const endpoint_table& table,
             const wanted_state& wanted,
             instant now,
             const migration_options& options)
      : table_(table),
        wanted_(wanted),
        ready_(CountReady(table, wanted, now, options)) {
    for (const auto& [id, row] : table) {
      if (IsLoadInProgress(row, now, options)) {
        Count(row);
      }
    }
    free_slots_ = options.max_concurrent_loads > used_slots_
                      ? options.max_concurrent_loads - used_slots_
                      : 0;
  }

  // Returns the waiting loads that get a free slot, by ascending rank.
  auto Take(std::vector<planned_order> waiting) -> std::vector<planned_order> {
    auto taken = std::vector<planned_order>{};
    for (; free_slots_ > 0 && !waiting.empty(); --free_slots_) {
      const auto best =
          std::min_element(waiting.begin(), waiting.end(),
                           [&](const planned_order& a, const planned_order& b) {
                             return Rank(a) < Rank(b);
                           });
      Count(table_.at(best->endpoint));
      taken.push_back(*best);
      waiting.erase(best);
    }
    return taken;
  }

 private:
  struct rank {
    bool is_need_met = false;
    std::uint32_t loads_in_domain = 0;
    std::uint32_t loads_of_model = 0;
    endpoint_id endpoint;

    auto operator<=>(const rank&) const = default;
  };

  auto Count(const endpoint_row& row) -> void {
    ++used_slots_;
    ++by_domain_[row.wanted.failure_domain];
    for (const auto& name : ServedNames(row.wanted)) {
      ++by_name_[name];
    }
  }

  auto Rank(const planned_order& order) -> rank {
    const auto& row = table_.at(order.endpoint);
    auto result =
        rank{true, by_domain_[row.wanted.failure_domain], 0, order.endpoint};
    for (const auto& name : ServedNames(row.wanted)) {
      const auto need = wanted_.need.find(name);
      const auto is_met =
          need == wanted_.need.end() || ready_[name] >= need->second;
      result.is_need_met = result.is_need_met && is_met;
      result.loads_of_model = std::max(result.loads_of_model, by_name_[name]);
    }
    return result;
  }

  const endpoint_table& table_;
  const wanted_state& wanted_;
  ready_counts ready_;
  std::uint32_t used_slots_ = 0;
  std::uint32_t free_slots_ = 0;
  std::map<failure_domain_id, std::uint32_t> by_domain_;
  name_counts by_name_;
};

// Whether the last report was requested after the lease grant and after the
// last order. Acting on an older one could revert an order, for instance load
// again what was unloaded.
auto IsCurrent(const endpoint_row& row, const order_authority& authority)
    -> bool {
  const auto asked_at = row.observed->asked_at;
  return asked_at >= authority.granted_at &&
         (!row.last_order || asked_at > row.last_order->sent_at);
}

// The order that one endpoint needs now, if any, regardless of the others.
auto PlanOrder(const endpoint_row& row,
               const wanted_state& wanted,
               const order_authority& authority,
               instant now,
               const migration_options& options)
    -> std::optional<planned_order> {
  if (row.wanted.kind != endpoint_kind::kEngine || !IsFresh(row, now) ||
      !IsCurrent(row, authority)) {
    return std::nullopt;
  }
  const auto& report = row.observed->report;
  // The engine follows a newer configuration than this VM has.
  if (report.version > wanted.version) {
    return std::nullopt;
  }
  const auto order = NextOrder(row, wanted, now, options);
  if (IsInForce(row, order, authority.fence) ||
      MustWait(row, order, authority.fence, now, options)) {
    return std::nullopt;
  }
  const auto interrupted = report.role == endpoint_role::kServing &&
                           order.role == endpoint_role::kServing &&
                           !NamesInterrupted(row, order).empty();
  return planned_order{row.wanted.id, order, NeedsLoad(report, order),
                       interrupted};
}

}  // namespace

auto NextOrder(const endpoint_row& row,
               const wanted_state& wanted,
               instant now,
               const migration_options& options) -> engine_order {
  if (ShouldServe(row)) {
    return OrderFor(wanted, row.wanted, endpoint_role::kServing);
  }
  const auto& report = row.observed->report;
  if (row.is_retained) {
    return KeepLoaded(report, endpoint_role::kServing);
  }
  if (row.wanted.role != endpoint_role::kEmpty) {
    return KeepLoaded(report, endpoint_role::kDraining);
  }
  const auto is_closed = now >= row.closed_since + options.drain_idle_period;
  if (report.role == endpoint_role::kEmpty ||
      (is_closed && IsDrained(row, options))) {
    return engine_order{{}, {}, endpoint_role::kEmpty};
  }
  return KeepLoaded(report, endpoint_role::kDraining);
}

auto IsInForce(const endpoint_row& row,
               const engine_order& order,
               std::uint64_t fence) -> bool {
  const auto& report = row.observed->report;
  if (row.wanted.checks_fencing && report.fence != fence) {
    return false;
  }
  const auto has_surplus =
      std::any_of(report.models.begin(), report.models.end(),
                  [&](const auto& item) {
                    return !order.models.contains(item.first);
                  }) ||
      std::any_of(report.adapters.begin(), report.adapters.end(),
                  [&](const auto& item) {
                    return !order.adapters.contains(item.first);
                  }) ||
      std::any_of(report.loading.begin(), report.loading.end(),
                  [&](const std::string& name) {
                    return !order.models.contains(model_id{name}) &&
                           !order.adapters.contains(adapter_id{name});
                  });
  return report.role == order.role && !has_surplus && !NeedsLoad(report, order);
}

auto PlanOrders(const endpoint_table& table,
                const wanted_state& wanted,
                const order_authority& authority,
                instant now,
                const migration_options& options)
    -> std::vector<planned_order> {
  auto serving = CountServing(table, now);
  auto orders = std::vector<planned_order>{};
  auto loads = std::vector<planned_order>{};
  for (const auto& [id, row] : table) {
    const auto order = PlanOrder(row, wanted, authority, now, options);
    if (!order || (order->is_disruptive &&
                   !CanInterrupt(serving, NamesInterrupted(row, order->wanted),
                                 wanted))) {
      continue;
    }
    (order->is_load ? loads : orders).push_back(*order);
  }
  auto queue = load_queue{table, wanted, now, options};
  for (auto& load : queue.Take(std::move(loads))) {
    orders.push_back(std::move(load));
  }
  std::erase_if(orders, [&](const planned_order& order) {
    if (!order.is_disruptive) {
      return false;
    }
    const auto& row = table.at(order.endpoint);
    return !TryReserveInterruption(serving, NamesInterrupted(row, order.wanted),
                                   wanted);
  });
  return orders;
}

}  // namespace daisywind::migration
