// The facts that one VM holds.
#ifndef DAISYWIND_HISTORY_FACT_TABLE_H_
#define DAISYWIND_HISTORY_FACT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "history/types.h"

namespace daisywind::history {

// Position in the order in which facts were last changed at one VM.
using fact_sequence = std::uint64_t;

// Some of the facts of a table, in the order of their sequence.
struct fact_page {
  std::vector<turn_fact> facts;
  fact_sequence next = 0;
  bool has_more = false;

  auto operator<=>(const fact_page&) const = default;
};

// A hash that names a fact and how far it is known, the same on every VM.
auto FactHash(const turn_fact& fact) -> std::uint64_t;

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

  // Facts changed after a position, up to about max_bytes, without those whose
  // hash is known.
  [[nodiscard]] auto After(fact_sequence after,
                           const std::set<std::uint64_t>& known,
                           std::size_t max_bytes) const -> fact_page;

  // Facts recorded before a wall-clock time in milliseconds.
  [[nodiscard]] auto RecordedBefore(std::int64_t recorded_ms) const
      -> std::vector<turn_fact>;

  // Hashes of all facts.
  [[nodiscard]] auto Hashes() const -> std::vector<std::uint64_t>;

  // Forgets programs whose newest fact was recorded before a wall-clock time in
  // milliseconds. A chain is kept as long as its newest turn.
  auto ForgetBefore(std::int64_t recorded_ms) -> std::size_t;

  [[nodiscard]] auto size() const -> std::size_t { return facts_.size(); }
  [[nodiscard]] auto bytes() const -> std::size_t { return bytes_; }

 private:
  struct entry {
    turn_fact fact;
    fact_sequence sequence = 0;
  };

  auto Forget(const turn_id& turn) -> void;

  std::unordered_map<turn_id, entry> facts_;
  std::unordered_map<program_name, std::vector<turn_id>> by_program_;
  std::map<fact_sequence, turn_id> by_sequence_;
  fact_sequence last_ = 0;
  std::size_t bytes_ = 0;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_FACT_TABLE_H_
