// Decisions over the answers of several members, without I/O or clock.
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

// What is known of a question that several members answer.
enum class decision_state : std::uint8_t { kOpen, kYes, kNo };

// Decides whether a program's budget holds one more turn.
class budget_decision {
 public:
  // Without a budget the turn is not limited.
  budget_decision(turn_id turn,
                  std::uint32_t reserved_tokens,
                  std::optional<std::uint64_t> budget,
                  quorum_sizes sizes);

  // Takes in the answer of a member that has the reservation on its disk. An
  // incomplete member may lack facts from before it joined.
  auto Add(const vm_id& vm,
           bool is_complete,
           const std::vector<spending>& spent) -> void;

  [[nodiscard]] auto state() const -> decision_state;

  // Tokens that the program's other turns count.
  [[nodiscard]] auto SpentByOthers() const -> std::uint64_t;

 private:
  turn_id turn_;
  std::uint32_t reserved_tokens_;
  std::optional<std::uint64_t> budget_;
  quorum_sizes sizes_;
  std::set<vm_id> complete_;
  std::map<turn_id, std::uint32_t> spent_;
};

// Puts a chain together from the copies of several members.
class chain_decision {
 public:
  chain_decision(turn_id newest, quorum_sizes sizes);

  // Takes in a member's chain from target() back.
  auto Add(const vm_id& vm, bool is_complete, turn_chain chain) -> void;

  // No means that the chain's newest turn, or one before it, does not exist.
  [[nodiscard]] auto state() const -> decision_state;

  // The newest turn that no member has sent yet.
  [[nodiscard]] auto target() const -> const turn_id& { return target_; }

  // The turns so far, the oldest first; the whole chain once decided.
  [[nodiscard]] auto turns() const -> const std::vector<turn_fact>& {
    return turns_;
  }

 private:
  turn_id target_;
  quorum_sizes sizes_;
  std::set<vm_id> misses_;
  std::vector<turn_fact> turns_;
  bool is_whole_ = false;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_QUORUM_H_
