// Quorum decisions from the answers of several members. Does no I/O and reads
// no clock.
#ifndef DAISYWIND_HISTORY_QUORUM_H_
#define DAISYWIND_HISTORY_QUORUM_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "history/types.h"
#include "history/view.h"

namespace daisywind::history {

// State of a decision; open until enough members have answered.
enum class decision_state : std::uint8_t { kOpen, kYes, kNo };

// Decides whether a program's budget has room for one more turn.
class budget_decision {
 public:
  // Without a budget the turn is not limited.
  budget_decision(turn_id turn,
                  std::uint32_t reserved_tokens,
                  std::optional<std::uint64_t> budget,
                  quorum_sizes sizes);

  // Adds the answer of a member that has stored this turn's reservation on its
  // disk. An incomplete member may lack facts from before it joined.
  auto Add(const vm_id& vm,
           bool is_complete,
           const std::vector<spending>& spent) -> void;

  // kYes means that the budget has room for the turn, kNo that it has none.
  [[nodiscard]] auto state() const -> decision_state;

  // Tokens that the program's other turns count against the budget.
  [[nodiscard]] auto SpentByOthers() const -> std::uint64_t;

 private:
  turn_id turn_;
  std::uint32_t reserved_tokens_;
  std::optional<std::uint64_t> budget_;
  quorum_sizes sizes_;
  std::set<vm_id> complete_members_;
  std::map<turn_id, std::uint32_t> spent_;
};

// Assembles a chain from the replicas of several members.
class chain_decision {
 public:
  chain_decision(turn_id newest, quorum_sizes sizes);

  // Adds a member's chain that ends with next_wanted().
  auto Add(const vm_id& vm, bool is_complete, turn_chain chain) -> void;

  // The next answers are those of another view. That a turn is unknown is
  // decided by the answers of one view only, because facts are copied between
  // members in the meantime.
  auto ChangeView(quorum_sizes sizes) -> void;

  // kNo means that the chain's newest turn, or one before it, does not exist.
  [[nodiscard]] auto state() const -> decision_state;

  // The newest turn of the chain that is still to be received.
  [[nodiscard]] auto next_wanted() const -> const turn_id& {
    return next_wanted_;
  }

  // The turns received so far, oldest first; the complete chain once the state
  // is kYes.
  [[nodiscard]] auto turns() const -> const std::vector<turn_fact>& {
    return turns_;
  }

  // Size of the content of the turns received so far.
  [[nodiscard]] auto bytes() const -> std::size_t { return bytes_; }

 private:
  turn_id next_wanted_;
  quorum_sizes sizes_;
  // Holds only complete members, since an incomplete one may lack facts.
  std::set<vm_id> members_without_next_wanted_;
  std::vector<turn_fact> turns_;
  std::size_t bytes_ = 0;
  std::set<turn_id> seen_;
  bool has_cycle_ = false;
  bool has_complete_chain_ = false;
};

// A program of which a member holds only outlived facts, and how much longer
// others keep theirs.
struct kept_program {
  program_name program;
  std::int64_t left_ms = 0;

  auto operator<=>(const kept_program&) const = default;
};

// Decides which programs a member may remove. A turn is stored by a write
// quorum only, so the newest turns of a program may be on other members than
// its oldest ones.
class removal_decision {
 public:
  removal_decision(std::vector<program_name> programs, quorum_sizes sizes);

  // Adds a member's answer: how much longer it keeps each program, in
  // milliseconds. Ignores an answer for another number of programs.
  auto Add(const vm_id& vm,
           bool is_complete,
           const std::vector<std::int64_t>& left_ms) -> void;

  // Whether enough complete members have answered to know every turn.
  [[nodiscard]] auto HasQuorum() const -> bool {
    return complete_members_.size() >= sizes_.read;
  }

  // Programs that no member keeps any longer; none without a quorum.
  [[nodiscard]] auto Removable() const -> std::vector<program_name>;

  // Programs that some member keeps.
  [[nodiscard]] auto Kept() const -> std::vector<kept_program>;

 private:
  std::vector<program_name> programs_;
  quorum_sizes sizes_;
  std::set<vm_id> complete_members_;
  // The longest answer for each program.
  std::vector<std::int64_t> left_ms_;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_QUORUM_H_
