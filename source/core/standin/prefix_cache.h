// The prefix cache of a stand-in engine.
#ifndef DAISYWIND_STANDIN_PREFIX_CACHE_H_
#define DAISYWIND_STANDIN_PREFIX_CACHE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.h"

namespace daisywind::standin {

using block_names = std::vector<std::string>;

// What happened to blocks of the cache.
enum class cache_event_type : std::uint8_t { kStored, kRemoved, kCleared };

// One change of the cache.
struct cache_event {
  std::int64_t sequence = 0;
  cache_event_type type = cache_event_type::kStored;
  block_names blocks;
  instant at;

  auto operator<=>(const cache_event&) const = default;
};

// Outcome of a pin.
enum class pin_outcome : std::uint8_t { kPinned, kStaleFence };

// Blocks in limited memory. The block used least recently goes first, unless a
// session pins it.
class prefix_cache {
 public:
  // The number of events kept.
  static constexpr std::size_t kMaxEvents = 10'000;

  // Holds up to `capacity` blocks. With `checks_fencing`, pins that carry an
  // older number than the last one of their program are refused.
  prefix_cache(std::size_t capacity, bool checks_fencing)
      : capacity_(capacity), checks_fencing_(checks_fencing) {}

  // Number of leading blocks that are in the cache. They count as used.
  auto Match(const block_names& blocks) -> std::size_t;

  // Stores blocks as far as memory that is not pinned suffices.
  auto Insert(const block_names& blocks, instant now) -> void;

  // Removes all blocks, whether pinned or not. Sessions stay.
  auto Clear(instant now) -> void;

  // Pins those of the blocks that are in the cache for a program.
  auto Pin(const std::string& program,
           const block_names& blocks,
           std::int64_t fence) -> pin_outcome;

  // Releases all pins of a program. Returns false when it holds none.
  auto Release(const std::string& program) -> bool;

  // Number of blocks that each program pins.
  [[nodiscard]] auto Sessions() const -> std::map<std::string, std::size_t>;

  [[nodiscard]] auto SessionCount() const -> std::size_t {
    return sessions_.size();
  }

  [[nodiscard]] auto Contains(const std::string& block) const -> bool {
    return blocks_.contains(block);
  }

  // Fraction of the memory in use, in [0, 1].
  [[nodiscard]] auto Usage() const -> double;

  [[nodiscard]] auto events() const -> const std::deque<cache_event>& {
    return events_;
  }

 private:
  struct block_state {
    std::uint64_t last_use = 0;
    std::size_t pins = 0;
  };

  auto Touch(const std::string& name, block_state& block) -> void;
  auto EvictOne(instant now) -> bool;
  auto Record(cache_event_type type, block_names blocks, instant now) -> void;

  std::size_t capacity_;
  bool checks_fencing_;
  std::map<std::string, block_state> blocks_;
  // Blocks without pins by their last use.
  std::map<std::uint64_t, std::string> unpinned_;
  std::map<std::string, std::set<std::string>> sessions_;
  std::map<std::string, std::int64_t> fences_;
  std::deque<cache_event> events_;
  std::uint64_t uses_ = 0;
  std::int64_t last_sequence_ = 0;
};

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_PREFIX_CACHE_H_
