// Learns by how much the prompts of a route grow from turn to turn.
#ifndef DAISYWIND_DISPATCH_PROMPT_GROWTH_H_
#define DAISYWIND_DISPATCH_PROMPT_GROWTH_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "dispatch/prompt_part_cache.h"
#include "dispatch/types.h"

namespace daisywind::dispatch {

// The last part of a prompt belongs to one session and grows under one id. Each
// VM sees some turns of a session in a row, which is enough for the mean.
class prompt_growth {
 public:
  // Number of sessions whose last length is remembered.
  static constexpr auto kMaxSessions = std::size_t{4096};

  // Records the last part of a request's prompt.
  auto Observe(const route_id& route, const prompt_part& last) -> void;

  // Mean number of tokens that a turn adds; empty until one has been observed.
  [[nodiscard]] auto Mean(const route_id& route) const
      -> std::optional<std::uint64_t>;

 private:
  prompt_part_cache lengths_{kMaxSessions};
  std::unordered_map<route_id, double> means_;
};

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_PROMPT_GROWTH_H_
