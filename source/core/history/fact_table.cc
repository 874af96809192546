#include "history/fact_table.h"

#include <algorithm>
#include <utility>

#include "common/digest.h"

namespace daisywind::history {
namespace {

// Share of a fact that its maps and strings take beside its content, in bytes.
constexpr auto kEntryBytes = std::size_t{400};

auto SizeOf(const turn_fact& fact) -> std::size_t {
  const auto content =
      fact.content ? fact.content->input.size() + fact.content->output.size()
                   : std::size_t{0};
  return kEntryBytes + content;
}

}  // namespace

auto FactHash(const turn_fact& fact) -> std::uint64_t {
  const auto seed = (fact.content ? 2U : 0U) + (fact.settled_tokens ? 1U : 0U);
  return PlacementHash(fact.turn.value, seed);
}

auto fact_table::Apply(const turn_fact& fact) -> bool {
  auto [found, is_new] = facts_.try_emplace(fact.turn);
  auto& known = found->second;
  if (is_new) {
    known.fact = fact;
    by_program_[fact.program].push_back(fact.turn);
  } else {
    auto merged = Merge(known.fact, fact);
    if (merged == known.fact) {
      return false;
    }
    bytes_ -= SizeOf(known.fact);
    known.fact = std::move(merged);
    by_sequence_.erase(known.sequence);
  }
  bytes_ += SizeOf(known.fact);
  known.sequence = ++last_;
  by_sequence_.emplace(known.sequence, fact.turn);
  return true;
}

auto fact_table::Spending(const program_name& program) const
    -> std::vector<spending> {
  auto list = std::vector<spending>{};
  const auto found = by_program_.find(program);
  if (found == by_program_.end()) {
    return list;
  }
  for (const auto& turn : found->second) {
    const auto& fact = facts_.at(turn).fact;
    list.push_back({turn, fact.settled_tokens.value_or(fact.reserved_tokens)});
  }
  return list;
}

auto fact_table::Chain(const turn_id& newest) const -> turn_chain {
  auto chain = turn_chain{};
  auto turn = newest;
  while (!turn.empty()) {
    const auto found = facts_.find(turn);
    if (found == facts_.end() || !found->second.fact.content) {
      chain.state = chain_state::kMissing;
      chain.missing = turn;
      break;
    }
    chain.turns.push_back(found->second.fact);
    chain.state = chain_state::kWhole;
    turn = found->second.fact.content->parent;
  }
  std::reverse(chain.turns.begin(), chain.turns.end());
  return chain;
}

auto fact_table::After(fact_sequence after,
                       const std::set<std::uint64_t>& known,
                       std::size_t max_bytes) const -> fact_page {
  auto page = fact_page{{}, after, false};
  auto size = std::size_t{0};
  for (auto next = by_sequence_.upper_bound(after); next != by_sequence_.end();
       ++next) {
    if (size >= max_bytes) {
      page.has_more = true;
      break;
    }
    page.next = next->first;
    const auto& fact = facts_.at(next->second).fact;
    if (!known.contains(FactHash(fact))) {
      size += SizeOf(fact);
      page.facts.push_back(fact);
    }
  }
  return page;
}

auto fact_table::Hashes() const -> std::vector<std::uint64_t> {
  auto hashes = std::vector<std::uint64_t>{};
  hashes.reserve(facts_.size());
  for (const auto& [turn, known] : facts_) {
    hashes.push_back(FactHash(known.fact));
  }
  return hashes;
}

auto fact_table::RecordedBefore(std::int64_t recorded_ms) const
    -> std::vector<turn_fact> {
  auto facts = std::vector<turn_fact>{};
  for (const auto& [turn, known] : facts_) {
    if (known.fact.recorded_ms < recorded_ms) {
      facts.push_back(known.fact);
    }
  }
  return facts;
}

auto fact_table::ForgetBefore(std::int64_t recorded_ms) -> std::size_t {
  auto old = std::vector<turn_id>{};
  for (const auto& [program, turns] : by_program_) {
    const auto is_recent = [&](const turn_id& turn) {
      return facts_.at(turn).fact.recorded_ms >= recorded_ms;
    };
    if (std::none_of(turns.begin(), turns.end(), is_recent)) {
      old.insert(old.end(), turns.begin(), turns.end());
    }
  }
  for (const auto& turn : old) {
    Forget(turn);
  }
  return old.size();
}

auto fact_table::Forget(const turn_id& turn) -> void {
  const auto found = facts_.find(turn);
  bytes_ -= SizeOf(found->second.fact);
  by_sequence_.erase(found->second.sequence);
  const auto program = by_program_.find(found->second.fact.program);
  std::erase(program->second, turn);
  if (program->second.empty()) {
    by_program_.erase(program);
  }
  facts_.erase(found);
}

}  // namespace daisywind::history
