#include "dispatch/program_starts.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace daisywind::dispatch {

auto ProgramLimit(const organisation& of, double requests_per_program)
    -> program_limit {
  constexpr auto kMargin = 1.2;
  return {kMargin * of.requests_per_second / requests_per_program,
          kMargin * of.burst / requests_per_program};
}

auto program_starts::IsStart(const call& request,
                             const route& from,
                             std::string_view program,
                             std::optional<std::uint64_t> turn_tokens) const
    -> bool {
  if (from.kind != route_kind::kStream || program.empty() ||
      !request.previous_turn.empty() || programs_.contains(program)) {
    return false;
  }
  constexpr auto kMaxFirstParts = std::size_t{2};
  // Second turns are about twice as long as what a turn adds. A long first turn
  // that is taken for one of them is let in, the reverse would refuse a program
  // under way.
  constexpr auto kLongestFirstTurn = 1.25;
  if (request.prompt.size() > kMaxFirstParts) {
    return false;
  }
  return from.stores_turns || request.prompt.empty() || !turn_tokens ||
         double(request.prompt.back().tokens) <=
             kLongestFirstTurn * double(*turn_tokens);
}

auto program_starts::OnRequest(std::string_view program,
                               bool is_start,
                               instant now) -> void {
  if (program.empty()) {
    return;
  }
  constexpr auto kHalfLife = std::chrono::duration<double>(30.0);
  const auto age = std::chrono::duration<double>(now - counted_at_);
  const auto weight = std::exp2(-(age / kHalfLife));
  requests_ = requests_ * weight + 1.0;
  starts_ = starts_ * weight + (is_start ? 1.0 : 0.0);
  counted_at_ = now;
  if (const auto found = programs_.find(program); found != programs_.end()) {
    by_recency_.splice(by_recency_.begin(), by_recency_, found->second);
    return;
  }
  by_recency_.emplace_front(program);
  programs_.emplace(by_recency_.front(), by_recency_.begin());
  if (by_recency_.size() > kMaxPrograms) {
    programs_.erase(by_recency_.back());
    by_recency_.pop_back();
  }
}

auto program_starts::OnStartRefused(std::string_view program) -> void {
  const auto found = programs_.find(program);
  if (found == programs_.end()) {
    return;
  }
  const auto item = found->second;
  programs_.erase(found);
  by_recency_.erase(item);
  requests_ = std::max(0.0, requests_ - 1.0);
  starts_ = std::max(0.0, starts_ - 1.0);
}

auto program_starts::RequestsPerProgram() const -> double {
  return starts_ < 1.0 ? std::max(1.0, requests_)
                       : std::max(1.0, requests_ / starts_);
}

}  // namespace daisywind::dispatch
