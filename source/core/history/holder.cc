#include "history/holder.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace daisywind::history {

auto holder::Restore(const std::vector<turn_fact>& facts) -> void {
  for (const auto& fact : facts) {
    // A record without a turn stands for the sync of those before it.
    if (!fact.turn.empty()) {
      facts_.Apply(fact);
    }
  }
}

auto holder::Adopt(const view& newest) -> void {
  newest_seen_ = std::max(newest_seen_, newest.number);
  if (newest.number > view_.number) {
    view_ = newest;
  }
}

auto holder::IsStale(const message& request) -> bool {
  const auto is_for_any_view =
      std::holds_alternative<adopt_request>(request.body) ||
      std::holds_alternative<list_request>(request.body) ||
      std::holds_alternative<pull_request>(request.body);
  if (is_for_any_view) {
    return false;
  }
  // Once a request of a newer view was served, one of an older view must not be
  // counted by its sender.
  newest_seen_ = std::max(newest_seen_, request.view);
  return request.view < newest_seen_;
}

auto holder::Handle(const message& request, std::int64_t now_ms)
    -> holder_effect {
  if (IsStale(request)) {
    return {{}, stale_view{view_}};
  }
  return std::visit([&](const auto& body) { return Answer(body, now_ms); },
                    request.body);
}

auto holder::Answer(const begin_request& request, std::int64_t now_ms)
    -> holder_effect {
  auto fact = turn_fact{};
  fact.program = request.program;
  fact.turn = request.turn;
  fact.reserved_tokens = request.reserved_tokens;
  fact.recorded_ms = now_ms;
  auto effect = holder_effect{};
  auto reply = begin_reply{};
  reply.is_complete = IsComplete();
  reply.spent = facts_.Spending(request.program);
  if (request.wants_chain) {
    reply.chain = facts_.Chain(request.parent);
  }
  if (facts_.Apply(fact)) {
    effect.to_persist.push_back(std::move(fact));
  }
  effect.reply = std::move(reply);
  return effect;
}

auto holder::Answer(const record_request& request, std::int64_t now_ms)
    -> holder_effect {
  auto effect = holder_effect{};
  for (auto fact : request.facts) {
    if (fact.recorded_ms == 0) {
      fact.recorded_ms = now_ms;
    }
    if (facts_.Apply(fact)) {
      effect.to_persist.push_back(std::move(fact));
    }
  }
  effect.reply = record_reply{true};
  return effect;
}

auto holder::Answer(const read_request& request, std::int64_t /*now_ms*/)
    -> holder_effect {
  return {{}, read_reply{IsComplete(), facts_.Chain(request.turn)}};
}

auto holder::Answer(const adopt_request& request, std::int64_t /*now_ms*/)
    -> holder_effect {
  Adopt(request.newest);
  return {{}, adopt_reply{IsComplete()}};
}

auto holder::Answer(const list_request& /*request*/, std::int64_t /*now_ms*/)
    -> holder_effect {
  return {{}, list_reply{IsComplete(), facts_.Hashes()}};
}

auto holder::Answer(const pull_request& request, std::int64_t /*now_ms*/)
    -> holder_effect {
  return {{}, pull_reply{facts_.OfHashes(request.hashes)}};
}

auto holder::TakeIn(const std::vector<turn_fact>& facts)
    -> std::vector<turn_fact> {
  auto fresh = std::vector<turn_fact>{};
  for (const auto& fact : facts) {
    if (facts_.Apply(fact)) {
      fresh.push_back(fact);
    }
  }
  return fresh;
}

auto holder::ForgetBefore(std::int64_t recorded_ms) -> std::size_t {
  return facts_.ForgetBefore(recorded_ms);
}

}  // namespace daisywind::history
