#include "history/quorum.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace daisywind::history {

budget_decision::budget_decision(turn_id turn,
                                 std::uint32_t reserved_tokens,
                                 std::optional<std::uint64_t> budget,
                                 quorum_sizes sizes)
    : turn_(std::move(turn)),
      reserved_tokens_(reserved_tokens),
      budget_(budget),
      sizes_(sizes) {}

auto budget_decision::Add(const vm_id& vm,
                          bool is_complete,
                          const std::vector<spending>& spent) -> void {
  for (const auto& item : spent) {
    // A settlement is never more than the reservation that it replaces.
    const auto [known, is_new] = spent_.try_emplace(item.turn, item.tokens);
    known->second = std::min(known->second, item.tokens);
  }
  if (is_complete) {
    complete_members_.insert(vm);
  }
}

auto budget_decision::state() const -> decision_state {
  // Two concurrent reservations see each other only at a member that is in both
  // quorums, so the budget needs as many complete answers as a write.
  if (complete_members_.size() < std::max(sizes_.write, sizes_.read)) {
    return decision_state::kOpen;
  }
  const auto is_over = budget_ && SpentByOthers() + reserved_tokens_ > *budget_;
  return is_over ? decision_state::kNo : decision_state::kYes;
}

auto budget_decision::SpentByOthers() const -> std::uint64_t {
  auto sum = std::uint64_t{0};
  for (const auto& [turn, tokens] : spent_) {
    sum += turn == turn_ ? 0 : tokens;
  }
  return sum;
}

chain_decision::chain_decision(turn_id newest, quorum_sizes sizes)
    : next_wanted_(std::move(newest)),
      sizes_(sizes),
      has_complete_chain_(next_wanted_.empty()) {}

auto chain_decision::Add(const vm_id& vm, bool is_complete, turn_chain chain)
    -> void {
  if (has_complete_chain_ || chain.state == chain_state::kNone) {
    return;
  }
  for (const auto& turn : chain.turns) {
    has_cycle_ = has_cycle_ || !seen_.insert(turn.turn).second;
    bytes_ += turn.content
                  ? turn.content->input.size() + turn.content->output.size()
                  : 0;
  }
  turns_.insert(turns_.begin(), std::make_move_iterator(chain.turns.begin()),
                std::make_move_iterator(chain.turns.end()));
  if (chain.state == chain_state::kComplete) {
    has_complete_chain_ = true;
    return;
  }
  if (chain.missing != next_wanted_) {
    next_wanted_ = std::move(chain.missing);
    members_without_next_wanted_.clear();
  }
  if (is_complete && chain.state == chain_state::kMissing) {
    members_without_next_wanted_.insert(vm);
  }
}

auto chain_decision::ChangeView(quorum_sizes sizes) -> void {
  sizes_ = sizes;
  members_without_next_wanted_.clear();
}

auto chain_decision::state() const -> decision_state {
  if (has_complete_chain_) {
    return decision_state::kYes;
  }
  if (has_cycle_) {
    return decision_state::kNo;
  }
  return members_without_next_wanted_.size() >= sizes_.read
             ? decision_state::kNo
             : decision_state::kOpen;
}

removal_decision::removal_decision(std::vector<program_name> programs,
                                   quorum_sizes sizes)
    : programs_(std::move(programs)),
      sizes_(sizes),
      left_ms_(programs_.size(), 0) {}

auto removal_decision::Add(const vm_id& vm,
                           bool is_complete,
                           const std::vector<std::int64_t>& left_ms) -> void {
  if (left_ms.size() != programs_.size()) {
    return;
  }
  for (auto i = std::size_t{0}; i < left_ms.size(); ++i) {
    left_ms_[i] = std::max(left_ms_[i], left_ms[i]);
  }
  if (is_complete) {
    complete_members_.insert(vm);
  }
}

auto removal_decision::Removable() const -> std::vector<program_name> {
  auto removable = std::vector<program_name>{};
  for (auto i = std::size_t{0}; HasQuorum() && i < programs_.size(); ++i) {
    if (left_ms_[i] == 0) {
      removable.push_back(programs_[i]);
    }
  }
  return removable;
}

auto removal_decision::Kept() const -> std::vector<kept_program> {
  auto kept = std::vector<kept_program>{};
  for (auto i = std::size_t{0}; i < programs_.size(); ++i) {
    if (left_ms_[i] > 0) {
      kept.push_back({programs_[i], left_ms_[i]});
    }
  }
  return kept;
}

}  // namespace daisywind::history
