#include "history/fact_table.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string>
#include <unordered_set>
#include <utility>

#include "common/digest.h"

namespace daisywind::history {
namespace {

// Estimated memory for the map nodes and strings of a fact, in addition to its
// content, in bytes: four map or vector entries and six strings of their own.
constexpr auto kEntryOverheadBytes = std::size_t{650};

constexpr auto kTurnBits = 32U;

constexpr auto kMaxRetentionMs =
    std::int64_t{std::numeric_limits<std::uint32_t>::max()};

auto SizeOf(const turn_fact& fact) -> std::size_t {
  const auto content =
      fact.content ? fact.content->input.size() + fact.content->output.size()
                   : std::size_t{0};
  return kEntryOverheadBytes + content;
}

// Whether a fact has a part or a larger count that the known one lacks.
auto AddsTo(const turn_fact& known, const turn_fact& fact) -> bool {
  return fact.reserved_tokens > known.reserved_tokens ||
         fact.settled_tokens > known.settled_tokens ||
         fact.retention_ms > known.retention_ms ||
         (fact.content && !known.content);
}

}  // namespace

auto TurnPart(fact_hash hash) -> fact_hash {
  return hash >> kTurnBits;
}

auto FactHash(const turn_fact& fact) -> fact_hash {
  // All that AddsTo compares is appended to the text instead of being the seed,
  // since hashes of short texts collide under small seeds.
  auto text = fact.turn.value;
  const auto turn_hash = PlacementHash(text);
  text += fact.content ? 'c' : '-';
  text += fact.settled_tokens ? std::to_string(*fact.settled_tokens) : "-";
  text.append(" ").append(std::to_string(fact.reserved_tokens));
  text.append(" ").append(std::to_string(fact.retention_ms));
  return (TurnPart(turn_hash) << kTurnBits) | TurnPart(PlacementHash(text));
}

auto turn_bucket::operator()(fact_hash hash) const noexcept -> std::size_t {
  return TurnPart(hash);
}

auto Renewals(const std::vector<turn_fact>& chain,
              const program_name& program,
              std::int64_t now_ms,
              std::uint32_t retention_ms) -> std::vector<turn_fact> {
  auto newest = std::map<program_name, const turn_fact*>{};
  for (const auto& fact : chain) {
    if (fact.program != program) {
      newest[fact.program] = &fact;
    }
  }
  auto renewals = std::vector<turn_fact>{};
  for (const auto& [other, fact] : newest) {
    const auto wanted_ms = now_ms - fact->recorded_ms + retention_ms;
    const auto is_kept =
        fact->retention_ms + kRetentionSlackMs / 2 >= wanted_ms;
    if (is_kept || fact->retention_ms == 0) {
      continue;
    }
    auto renewed = *fact;
    renewed.content.reset();
    renewed.retention_ms = static_cast<std::uint32_t>(
        std::min<std::int64_t>(wanted_ms, kMaxRetentionMs));
    renewals.push_back(std::move(renewed));
  }
  return renewals;
}

auto LifetimeMs(const turn_fact& fact, std::int64_t default_lifetime_ms)
    -> std::int64_t {
  return fact.retention_ms == 0 ? default_lifetime_ms
                                : fact.retention_ms + kRetentionSlackMs;
}

auto fact_table::Apply(const turn_fact& fact) -> bool {
  const auto [found, is_new] = facts_.try_emplace(fact.turn, fact);
  auto& known = found->second;
  if (is_new) {
    by_program_[fact.program].turns.push_back(fact.turn);
  } else {
    if (!AddsTo(known, fact)) {
      return false;
    }
    bytes_ -= SizeOf(known);
    by_hash_.erase(FactHash(known));
    known = Merge(std::move(known), fact);
  }
  bytes_ += SizeOf(known);
  by_hash_.emplace(FactHash(known), known.turn);
  return true;
}

auto fact_table::Spending(const program_name& program) const
    -> std::vector<spending> {
  auto list = std::vector<spending>{};
  const auto found = by_program_.find(program);
  if (found == by_program_.end()) {
    return list;
  }
  for (const auto& turn : found->second.turns) {
    const auto& fact = facts_.at(turn);
    list.push_back({turn, fact.settled_tokens.value_or(fact.reserved_tokens)});
  }
  return list;
}

auto fact_table::Chain(const turn_id& newest, std::size_t max_bytes) const
    -> turn_chain {
  auto chain = turn_chain{};
  auto turn = newest;
  auto bytes = std::size_t{0};
  auto seen = std::unordered_set<turn_id>{};
  while (!turn.empty()) {
    const auto found = facts_.find(turn);
    // A turn that was sent again under its own id may name itself.
    const auto is_cycle = !seen.insert(turn).second;
    if (is_cycle || found == facts_.end() || !found->second.content) {
      chain.state = chain_state::kMissing;
      chain.missing = turn;
      break;
    }
    bytes += SizeOf(found->second);
    if (bytes > max_bytes && !chain.turns.empty()) {
      chain.state = chain_state::kPartial;
      chain.missing = turn;
      break;
    }
    chain.turns.push_back(found->second);
    chain.state = chain_state::kComplete;
    turn = found->second.content->parent;
  }
  std::reverse(chain.turns.begin(), chain.turns.end());
  return chain;
}

auto fact_table::FindByHashes(const std::vector<fact_hash>& hashes) const
    -> std::vector<turn_fact> {
  return FindBatch(hashes, kAnySize).facts;
}

auto fact_table::FindBatch(const std::vector<fact_hash>& hashes,
                           std::size_t max_bytes) const -> fact_batch {
  auto batch = fact_batch{};
  auto bytes = std::size_t{0};
  auto found = std::vector<const turn_fact*>{};
  for (const auto hash : hashes) {
    found.clear();
    Find(hash, found);
    for (const auto* fact : found) {
      bytes += SizeOf(*fact);
    }
    if (bytes > max_bytes && !batch.facts.empty()) {
      break;
    }
    for (const auto* fact : found) {
      batch.facts.push_back(*fact);
    }
    ++batch.examined;
  }
  return batch;
}

auto fact_table::Find(fact_hash hash,
                      std::vector<const turn_fact*>& found) const -> void {
  if (const auto exact = by_hash_.find(hash); exact != by_hash_.end()) {
    found.push_back(&facts_.at(exact->second));
    return;
  }
  if (by_hash_.empty()) {
    return;
  }
  const auto bucket = by_hash_.bucket(hash);
  for (auto item = by_hash_.begin(bucket); item != by_hash_.end(bucket);
       ++item) {
    if (TurnPart(item->first) == TurnPart(hash)) {
      found.push_back(&facts_.at(item->second));
    }
  }
}

auto fact_table::Hashes() const -> std::vector<fact_hash> {
  auto hashes = std::vector<fact_hash>{};
  hashes.reserve(by_hash_.size());
  for (const auto& [hash, turn] : by_hash_) {
    hashes.push_back(hash);
  }
  return hashes;
}

auto fact_table::RecordedBefore(std::int64_t cutoff_ms,
                                const std::unordered_set<fact_hash>& excluded)
    const -> std::vector<turn_id> {
  auto turns = std::vector<turn_id>{};
  for (const auto& [turn, known] : facts_) {
    if (known.recorded_ms < cutoff_ms &&
        (excluded.empty() || !excluded.contains(FactHash(known)))) {
      turns.push_back(turn);
    }
  }
  return turns;
}

auto fact_table::TakeBatch(std::vector<turn_id>& turns,
                           std::size_t max_bytes) const
    -> std::vector<turn_fact> {
  auto facts = std::vector<turn_fact>{};
  auto bytes = std::size_t{0};
  while (!turns.empty()) {
    if (const auto found = facts_.find(turns.back()); found != facts_.end()) {
      bytes += SizeOf(found->second);
      if (bytes > max_bytes && !facts.empty()) {
        break;
      }
      facts.push_back(found->second);
    }
    turns.pop_back();
  }
  return facts;
}

auto fact_table::EndOfLifeMs(const program_entry& entry,
                             std::int64_t default_lifetime_ms) const
    -> std::int64_t {
  auto end_ms = std::numeric_limits<std::int64_t>::min();
  for (const auto& turn : entry.turns) {
    const auto& fact = facts_.at(turn);
    end_ms = std::max(end_ms,
                      fact.recorded_ms + LifetimeMs(fact, default_lifetime_ms));
  }
  return end_ms;
}

auto fact_table::Outlived(std::int64_t now_ms,
                          std::int64_t default_lifetime_ms) const
    -> std::vector<program_name> {
  auto outlived = std::vector<program_name>{};
  for (const auto& [program, entry] : by_program_) {
    if (entry.kept_until_ms < now_ms &&
        EndOfLifeMs(entry, default_lifetime_ms) < now_ms) {
      outlived.push_back(program);
    }
  }
  return outlived;
}

auto fact_table::IsOutlived(const program_name& program,
                            std::int64_t now_ms,
                            std::int64_t default_lifetime_ms) const -> bool {
  const auto found = by_program_.find(program);
  return found == by_program_.end() ||
         (found->second.kept_until_ms < now_ms &&
          EndOfLifeMs(found->second, default_lifetime_ms) < now_ms);
}

auto fact_table::LifetimeLeftMs(const program_name& program,
                                std::int64_t now_ms,
                                std::int64_t default_lifetime_ms) const
    -> std::int64_t {
  const auto found = by_program_.find(program);
  if (found == by_program_.end()) {
    return 0;
  }
  const auto end_ms = EndOfLifeMs(found->second, default_lifetime_ms);
  return end_ms > now_ms ? end_ms - now_ms : 0;
}

auto fact_table::Keep(const program_name& program, std::int64_t until_ms)
    -> void {
  if (const auto found = by_program_.find(program);
      found != by_program_.end()) {
    found->second.kept_until_ms =
        std::max(found->second.kept_until_ms, until_ms);
  }
}

auto fact_table::Remove(const std::vector<program_name>& programs)
    -> std::size_t {
  auto removed = std::size_t{0};
  for (const auto& program : programs) {
    const auto found = by_program_.find(program);
    if (found == by_program_.end()) {
      continue;
    }
    const auto turns = found->second.turns;
    for (const auto& turn : turns) {
      Erase(turn);
    }
    removed += turns.size();
  }
  return removed;
}

auto fact_table::LongestLifetimeMs(std::int64_t default_lifetime_ms) const
    -> std::int64_t {
  auto longest = std::int64_t{0};
  for (const auto& [turn, known] : facts_) {
    longest = std::max(longest, LifetimeMs(known, default_lifetime_ms));
  }
  return facts_.empty() ? default_lifetime_ms : longest;
}

auto fact_table::Erase(const turn_id& turn) -> void {
  const auto found = facts_.find(turn);
  bytes_ -= SizeOf(found->second);
  by_hash_.erase(FactHash(found->second));
  const auto program = by_program_.find(found->second.program);
  std::erase(program->second.turns, turn);
  if (program->second.turns.empty()) {
    by_program_.erase(program);
  }
  facts_.erase(found);
}

}  // namespace daisywind::history
