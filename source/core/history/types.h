// Facts about turns of agent programs. A fact only ever gains parts, so copies
// on several VMs merge by union.
#ifndef DAISYWIND_HISTORY_TYPES_H_
#define DAISYWIND_HISTORY_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"

namespace daisywind::history {

// A program as its caller names it.
using program_name = strong_name<struct program_name_tag>;

// One attempt of a caller at a turn.
using turn_id = strong_name<struct turn_tag>;

// Identity of a disk, drawn when it is first used.
using disk_id = strong_name<struct disk_tag>;

// Counts the changes of the set of VMs that hold facts.
using view_number = std::uint64_t;

// What a whole turn read and wrote.
struct turn_content {
  // The turn that this one continues from; empty at the start of a chain.
  turn_id parent;
  std::string input;
  std::string output;
  // The endpoint that ran it, whose cache holds its chain.
  endpoint_id endpoint;
  // Tokens that the endpoint read for it, the chain before included.
  std::uint32_t prompt_tokens = 0;

  auto operator<=>(const turn_content&) const = default;
};

// All that is known of one turn.
struct turn_fact {
  program_name program;
  turn_id turn;
  // The most tokens that the turn may generate.
  std::uint32_t reserved_tokens = 0;
  // The tokens handed to the caller, once the turn is over.
  std::optional<std::uint32_t> settled_tokens;
  // Present once the turn is whole.
  std::optional<turn_content> content;
  // Wall-clock time of the first record, in milliseconds since 1970.
  std::int64_t recorded_ms = 0;

  auto operator<=>(const turn_fact&) const = default;
};

// The union of two facts about one turn.
auto Merge(turn_fact known, const turn_fact& other) -> turn_fact;

// Tokens that one turn counts against its program's budget.
struct spending {
  turn_id turn;
  std::uint32_t tokens = 0;

  auto operator<=>(const spending&) const = default;
};

// How far a chain of turns could be followed.
enum class chain_state : std::uint8_t {
  // No parent was named.
  kNone,
  // Every turn of the chain is present.
  kWhole,
  // A turn of the chain is not known here.
  kMissing,
};

// A chain of turns, the oldest first.
struct turn_chain {
  chain_state state = chain_state::kNone;
  // The first turn, from the newest on, that is not known here.
  turn_id missing;
  std::vector<turn_fact> turns;

  auto operator<=>(const turn_chain&) const = default;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_TYPES_H_
