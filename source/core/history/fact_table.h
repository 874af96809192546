// The facts that one VM holds.
#ifndef DAISYWIND_HISTORY_FACT_TABLE_H_
#define DAISYWIND_HISTORY_FACT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "history/types.h"

namespace daisywind::history {

// Names a fact and how far it is known, the same on every VM.
using fact_hash = std::uint64_t;

auto FactHash(const turn_fact& fact) -> fact_hash;

// Facts by turn and by program, without I/O or clock.
class fact_table {
 public:
  // Takes in a fact. Returns false when it told nothing new.
  auto Apply(const turn_fact& fact) -> bool;

  // What the program's turns count against its budget.
  [[nodiscard]] auto Spending(const program_name& program) const
      -> std::vector<spending>;

  // Follows a chain back from its newest turn.
  [[nodiscard]] auto Chain(const turn_id& newest) const -> turn_chain;

  // The facts of some hashes. Those that are not known are left out.
  [[nodiscard]] auto FindByHashes(const std::vector<fact_hash>& hashes) const
      -> std::vector<turn_fact>;

  // Facts recorded before a wall-clock time in milliseconds.
  [[nodiscard]] auto RecordedBefore(std::int64_t recorded_ms) const
      -> std::vector<turn_fact>;

  // Hashes of all facts.
  [[nodiscard]] auto Hashes() const -> std::vector<fact_hash>;

  // Forgets programs whose newest fact was recorded before a wall-clock time in
  // milliseconds. A chain is kept as long as its newest turn.
  auto ExpireBefore(std::int64_t recorded_ms) -> std::size_t;

  [[nodiscard]] auto size() const -> std::size_t { return facts_.size(); }
  [[nodiscard]] auto bytes() const -> std::size_t { return bytes_; }

 private:
  auto Forget(const turn_id& turn) -> void;

  std::unordered_map<turn_id, turn_fact> facts_;
  std::unordered_map<program_name, std::vector<turn_id>> by_program_;
  std::unordered_map<fact_hash, turn_id> by_hash_;
  std::size_t bytes_ = 0;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_FACT_TABLE_H_
