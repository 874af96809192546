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

using block_hashes = std::vector<std::string>;

enum class cache_event_type : std::uint8_t { kStored, kRemoved, kCleared };

// A change of the cache.
struct cache_event {
  std::int64_t sequence = 0;
  cache_event_type type = cache_event_type::kStored;
  block_hashes blocks;
  instant at;

  auto operator<=>(const cache_event&) const = default;
};

enum class pin_outcome : std::uint8_t { kPinned, kStaleFence };

// An LRU cache of prompt blocks. Blocks pinned by a session are not evicted. A
// session belongs to a program and begins with its first pin.
class prefix_cache {
 public:
  // Maximum number of retained events; the oldest are dropped.
  static constexpr std::size_t kMaxEvents = 10'000;

  // Holds up to `capacity` blocks. With `checks_fencing`, a pin is rejected
  // when its fencing number is lower than the highest one of its program.
  prefix_cache(std::size_t capacity, bool checks_fencing)
      : capacity_(capacity), checks_fencing_(checks_fencing) {}

  // Returns the number of leading blocks that are cached and marks them as
  // used.
  auto Match(const block_hashes& blocks) -> std::size_t;

  // Stores blocks, evicting unpinned ones as needed. Stops at the first block
  // for which no space can be freed.
  auto Insert(const block_hashes& blocks, instant now) -> void;

  // Removes all blocks, including pinned ones. Sessions remain, without blocks.
  auto Clear(instant now) -> void;

  // Pins the given blocks for a program; those not cached are skipped.
  auto Pin(const std::string& program,
           const block_hashes& blocks,
           std::int64_t fence) -> pin_outcome;

  // Ends the session of a program and releases its pins. Returns false when the
  // program has no session.
  auto Release(const std::string& program) -> bool;

  // Number of pinned blocks by program.
  [[nodiscard]] auto Sessions() const -> std::map<std::string, std::size_t>;

  [[nodiscard]] auto SessionCount() const -> std::size_t {
    return sessions_.size();
  }

  [[nodiscard]] auto Contains(const std::string& block) const -> bool {
    return blocks_.contains(block);
  }

  // Fraction of the capacity in use, in [0, 1].
  [[nodiscard]] auto Usage() const -> double;

  [[nodiscard]] auto events() const -> const std::deque<cache_event>& {
    return events_;
  }

 private:
  struct block_state {
    std::uint64_t last_use = 0;
    std::size_t pins = 0;
  };

  auto Touch(const std::string& hash, block_state& block) -> void;
  auto EvictOne(instant now) -> bool;
  auto Record(cache_event_type type, block_hashes blocks, instant now) -> void;

  std::size_t capacity_;
  bool checks_fencing_;
  std::map<std::string, block_state> blocks_;
  // Unpinned blocks by last use, so that the first is evicted next.
  std::map<std::uint64_t, std::string> unpinned_;
  // Pinned blocks by program.
  std::map<std::string, std::set<std::string>> sessions_;
  // Highest fencing number by program.
  std::map<std::string, std::int64_t> fences_;
  std::deque<cache_event> events_;
  std::uint64_t uses_ = 0;
  std::int64_t last_sequence_ = 0;
};

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_PREFIX_CACHE_H_
