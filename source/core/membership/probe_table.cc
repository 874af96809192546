#include "membership/probe_table.h"

#include <utility>

namespace daisywind::membership {

auto probe_table::Add(probe item) -> std::uint64_t {
  item.sequence = ++last_sequence_;
  probes_.emplace(item.sequence, std::move(item));
  return last_sequence_;
}

auto probe_table::Take(std::uint64_t sequence) -> std::optional<probe> {
  auto node = probes_.extract(sequence);
  if (node.empty()) {
    return std::nullopt;
  }
  return std::move(node.mapped());
}

auto probe_table::MarkDueForRelay(instant sent_by) -> std::vector<probe> {
  auto taken = std::vector<probe>{};
  for (auto& [sequence, item] : probes_) {
    if (item.sent_at > sent_by || item.relays_requested || item.requester) {
      continue;
    }
    item.relays_requested = true;
    taken.push_back(item);
  }
  return taken;
}

auto probe_table::TakeExpired(instant sent_by) -> std::vector<probe> {
  auto taken = std::vector<probe>{};
  std::erase_if(probes_, [&](const auto& entry) {
    if (entry.second.sent_at > sent_by) {
      return false;
    }
    taken.push_back(entry.second);
    return true;
  });
  return taken;
}

}  // namespace daisywind::membership
