// Order of requests that wait for an engine with room.
#ifndef DAISYWIND_DISPATCH_WAITING_LINE_H_
#define DAISYWIND_DISPATCH_WAITING_LINE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

#include "common/time.h"

namespace daisywind::dispatch {

// Position of a waiting request; lower values go first.
struct waiting_order {
  // 0 comes first.
  std::uint32_t priority = 0;
  // The request with the least time left goes first.
  instant deadline{};
  // Order of arrival, set by the line.
  std::uint64_t sequence = 0;

  auto operator<=>(const waiting_order&) const = default;
};

class waiting_line {
 public:
  // Number of requests that may wait. Later ones are refused: with more, most
  // would wait in vain.
  static constexpr auto kMaxWaiting = std::size_t{64};

  // Adds a request. Returns its position, or nothing when the line is full.
  auto Join(waiting_order order) -> std::optional<waiting_order>;
  auto Leave(const waiting_order& position) -> void;

  // Whether no other request goes before the given position, of a request that
  // waits or of a new one.
  [[nodiscard]] auto IsNext(const waiting_order& position) const -> bool;

  [[nodiscard]] auto First() const -> std::optional<waiting_order>;
  [[nodiscard]] auto size() const -> std::size_t { return waiting_.size(); }

 private:
  std::set<waiting_order> waiting_;
  std::uint64_t last_sequence_ = 0;
};

// How long a request may wait: a quarter of its route's objective, and no more
// than a third of its remaining time, so that a retry is possible after it.
auto LongestWait(duration objective, duration time_left) -> duration;

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_WAITING_LINE_H_
