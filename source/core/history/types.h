// Facts: the records about turns of agent programs. A stored fact gains parts
// by merging and never loses one, so replicas on several VMs merge by union.
#ifndef DAISYWIND_HISTORY_TYPES_H_
#define DAISYWIND_HISTORY_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"

namespace daisywind::history {

// Name that the caller gives a program.
using program_name = strong_name<struct program_name_tag>;

// Identifies one attempt of a caller at a turn.
using turn_id = strong_name<struct turn_tag>;

// Random identity of a disk, generated when the disk is first used.
using disk_id = strong_name<struct disk_tag>;

// Version of the set of VMs that store facts.
using view_number = std::uint64_t;

// Input and output of a completed turn.
struct turn_content {
  // The turn that this one continues from; empty at the start of a chain.
  turn_id parent;
  std::string input;
  std::string output;
  // The endpoint that ran it and has its chain cached.
  endpoint_id endpoint;
  // Prompt tokens that the endpoint processed for it, including the chain
  // before.
  std::uint32_t prompt_tokens = 0;
  // The organisation of the turn's caller; empty without one, and in facts of
  // earlier versions.
  organisation_id organisation = {};

  auto operator<=>(const turn_content&) const = default;
};

// All that is known of one turn.
struct turn_fact {
  program_name program;
  turn_id turn;
  // Maximum number of tokens that the turn may generate.
  std::uint32_t reserved_tokens = 0;
  // Tokens delivered to the caller; set once the turn has ended.
  std::optional<std::uint32_t> settled_tokens;
  // Present once the turn is complete.
  std::optional<turn_content> content;
  // Unix time of the first record, in milliseconds.
  std::int64_t recorded_ms = 0;
  // How long to keep the fact after it was recorded, in milliseconds; zero when
  // its sender did not say.
  std::uint32_t retention_ms = 0;

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
  kComplete,
  // A turn of the chain has no content here: it is unknown or only reserved.
  kMissing,
  // The chain goes on before the turns that are present; they are as many as
  // fit into one message.
  kPartial,
};

// A chain of turns, the oldest first.
struct turn_chain {
  chain_state state = chain_state::kNone;
  // The newest turn of the chain that has no content here, or that is to be
  // asked for next.
  turn_id missing;
  std::vector<turn_fact> turns;

  auto operator<=>(const turn_chain&) const = default;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_TYPES_H_
