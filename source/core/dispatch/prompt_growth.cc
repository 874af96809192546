#include "dispatch/prompt_growth.h"

namespace daisywind::dispatch {

auto prompt_growth::Observe(const route_id& route, const prompt_part& last)
    -> void {
  constexpr auto kNewWeight = 1.0 / 16;
  const auto before = lengths_.TokensOf(last.id);
  lengths_.Add(last);
  // A retry sends the same prompt again.
  if (before == 0 || last.tokens <= before) {
    return;
  }
  const auto growth = double(last.tokens - before);
  const auto [mean, is_first] = means_.try_emplace(route, growth);
  mean->second += (growth - mean->second) * kNewWeight;
}

auto prompt_growth::Mean(const route_id& route) const
    -> std::optional<std::uint64_t> {
  const auto found = means_.find(route);
  return found == means_.end()
             ? std::nullopt
             : std::optional(static_cast<std::uint64_t>(found->second));
}

}  // namespace daisywind::dispatch
