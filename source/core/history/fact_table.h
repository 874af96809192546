// In-memory table of the facts that one VM stores.
#ifndef DAISYWIND_HISTORY_FACT_TABLE_H_
#define DAISYWIND_HISTORY_FACT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "history/types.h"

namespace daisywind::history {

// Identifies a fact together with all that a merge can change in it; the same
// on every VM. The upper half depends on the turn alone.
using fact_hash = std::uint64_t;

auto FactHash(const turn_fact& fact) -> fact_hash;

// The part of a hash that depends on the turn alone.
auto TurnPart(fact_hash hash) -> fact_hash;

// Hashes the upper half only, so that all hashes of a turn are in one bucket.
struct turn_bucket {
  auto operator()(fact_hash hash) const noexcept -> std::size_t;
};

// Time that facts are kept beyond their retention, in milliseconds, because the
// clocks of VMs differ and step.
inline constexpr auto kRetentionSlackMs = std::int64_t{15'000};

// How long a fact is kept after it was recorded, in milliseconds.
auto LifetimeMs(const turn_fact& fact, std::int64_t default_lifetime_ms)
    -> std::int64_t;

// A turn may continue a turn of another program, whose chain is then needed for
// as long as the new turn. Returns the facts to record, without their content,
// so that each other program in the chain, oldest turn first, is kept for the
// retention from now on. Times are in milliseconds, `now_ms` since 1970.
auto Renewals(const std::vector<turn_fact>& chain,
              const program_name& program,
              std::int64_t now_ms,
              std::uint32_t retention_ms) -> std::vector<turn_fact>;

inline constexpr auto kAnySize = std::numeric_limits<std::size_t>::max();

// Facts for one message.
struct fact_batch {
  std::vector<turn_fact> facts;
  // Number of hashes, from the first, that the facts answer.
  std::size_t examined = 0;
};

// Facts by turn and by program. Does no I/O and reads no clock.
class fact_table {
 public:
  // Merges a fact into the table. Returns false when it adds nothing new.
  auto Apply(const turn_fact& fact) -> bool;

  // Tokens that each turn of the program counts against its budget.
  [[nodiscard]] auto Spending(const program_name& program) const
      -> std::vector<spending>;

  // Whether any turn of the program is known.
  [[nodiscard]] auto HasProgram(const program_name& program) const -> bool {
    return by_program_.contains(program);
  }

  // Returns the chain that ends with a turn, as far back as it is known and as
  // fits into a size in bytes; at least one turn.
  [[nodiscard]] auto Chain(const turn_id& newest,
                           std::size_t max_bytes = kAnySize) const
      -> turn_chain;

  // Returns the facts with the given hashes. A hash that a fact had before it
  // was merged with another one finds the fact as it is now, since a copy of
  // that is a copy of what was listed. Unknown hashes are skipped.
  [[nodiscard]] auto FindByHashes(const std::vector<fact_hash>& hashes) const
      -> std::vector<turn_fact>;

  // Likewise, but only as many as fit into a size in bytes; at least one.
  [[nodiscard]] auto FindBatch(const std::vector<fact_hash>& hashes,
                               std::size_t max_bytes) const -> fact_batch;

  // Turns recorded before a Unix time in milliseconds, without those whose
  // facts have one of the hashes.
  [[nodiscard]] auto RecordedBefore(
      std::int64_t cutoff_ms,
      const std::unordered_set<fact_hash>& excluded = {}) const
      -> std::vector<turn_id>;

  // Takes turns from the end of a list and returns their facts, as many as fit
  // into a size in bytes and at least one. Skips unknown turns.
  [[nodiscard]] auto TakeBatch(std::vector<turn_id>& turns,
                               std::size_t max_bytes) const
      -> std::vector<turn_fact>;

  // Hashes of all facts.
  [[nodiscard]] auto Hashes() const -> std::vector<fact_hash>;

  // Programs of which every fact in the table has outlived its lifetime at a
  // Unix time in milliseconds, and that Keep does not extend. Other members may
  // hold newer facts of them. The default lifetime, in milliseconds, is that of
  // facts that name no retention.
  [[nodiscard]] auto Outlived(std::int64_t now_ms,
                              std::int64_t default_lifetime_ms) const
      -> std::vector<program_name>;

  // Whether the program is one of the outlived ones, or unknown.
  [[nodiscard]] auto IsOutlived(const program_name& program,
                                std::int64_t now_ms,
                                std::int64_t default_lifetime_ms) const -> bool;

  // Time until the program is outlived by the facts in the table, in
  // milliseconds; zero when it is already, or when the program is unknown. Keep
  // does not count, so that no two members keep a program for each other.
  [[nodiscard]] auto LifetimeLeftMs(const program_name& program,
                                    std::int64_t now_ms,
                                    std::int64_t default_lifetime_ms) const
      -> std::int64_t;

  // Keeps a program until a Unix time in milliseconds, although its facts in
  // the table may be outlived before.
  auto Keep(const program_name& program, std::int64_t until_ms) -> void;

  // Removes all facts of the programs. Returns their number.
  auto Remove(const std::vector<program_name>& programs) -> std::size_t;

  // Removes the outlived programs. Returns the number of removed facts.
  auto Expire(std::int64_t now_ms, std::int64_t default_lifetime_ms)
      -> std::size_t {
    return Remove(Outlived(now_ms, default_lifetime_ms));
  }

  // The longest lifetime of a fact in the table, in milliseconds; the default
  // one when the table is empty.
  [[nodiscard]] auto LongestLifetimeMs(std::int64_t default_lifetime_ms) const
      -> std::int64_t;

  [[nodiscard]] auto size() const -> std::size_t { return facts_.size(); }
  [[nodiscard]] auto bytes() const -> std::size_t { return bytes_; }

 private:
  struct program_entry {
    std::vector<turn_id> turns;
    std::int64_t kept_until_ms = 0;
  };

  // Unix time in milliseconds until which the program's facts are kept.
  [[nodiscard]] auto EndOfLifeMs(const program_entry& entry,
                                 std::int64_t default_lifetime_ms) const
      -> std::int64_t;
  auto Erase(const turn_id& turn) -> void;
  // Appends the fact with the hash, or those of turns whose hashes have the
  // same upper half.
  auto Find(fact_hash hash, std::vector<const turn_fact*>& found) const -> void;

  std::unordered_map<turn_id, turn_fact> facts_;
  std::unordered_map<program_name, program_entry> by_program_;
  std::unordered_map<fact_hash, turn_id, turn_bucket> by_hash_;
  std::size_t bytes_ = 0;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_FACT_TABLE_H_
