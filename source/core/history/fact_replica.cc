#include "history/fact_replica.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace daisywind::history {
namespace {

// Clients that know no partial chains get as much as fits into one frame.
constexpr auto kMaxChainBytes = std::size_t{12} * 1024 * 1024;

auto ChainBytes(std::uint64_t wanted) -> std::size_t {
  return wanted == 0 ? kMaxChainBytes
                     : std::min<std::size_t>(wanted, kMaxChainBytes);
}

}  // namespace

auto fact_replica::Restore(const std::vector<turn_fact>& facts) -> void {
  for (const auto& fact : facts) {
    // A record without a turn only marks that the records before it were
    // synced.
    if (!fact.turn.empty()) {
      facts_.Apply(fact);
    }
  }
}

auto fact_replica::Adopt(const view& newest) -> void {
  newest_view_seen_ = std::max(newest_view_seen_, newest.number);
  if (newest.number > view_.number) {
    view_ = newest;
  }
}

auto fact_replica::SetComplete(view_number since) -> void {
  complete_since_ = since;
  newest_view_seen_ = std::max(newest_view_seen_, since);
}

auto fact_replica::IsStale(const message& request) -> bool {
  const auto is_for_any_view =
      std::holds_alternative<adopt_request>(request.body) ||
      std::holds_alternative<list_request>(request.body) ||
      std::holds_alternative<pull_request>(request.body);
  if (is_for_any_view) {
    return false;
  }
  // Once a request from a newer view was served, the sender of one from an
  // older view must not count this replica towards its quorum.
  newest_view_seen_ = std::max(newest_view_seen_, request.view);
  return request.view < newest_view_seen_;
}

auto fact_replica::Handle(const message& request, std::int64_t now_ms)
    -> replica_effect {
  if (IsStale(request)) {
    return {{}, stale_view{view_}};
  }
  return std::visit([&](const auto& body) { return Answer(body, now_ms); },
                    request.body);
}

auto fact_replica::Answer(const begin_request& request, std::int64_t now_ms)
    -> replica_effect {
  auto fact = turn_fact{};
  fact.program = request.program;
  fact.turn = request.turn;
  fact.reserved_tokens = request.reserved_tokens;
  fact.recorded_ms = now_ms;
  fact.retention_ms = request.retention_ms;
  auto effect = replica_effect{};
  auto reply = begin_reply{};
  reply.is_complete = IsComplete();
  reply.spent = facts_.Spending(request.program);
  if (request.wants_chain) {
    reply.chain =
        facts_.Chain(request.parent, ChainBytes(request.max_chain_bytes));
  }
  if (facts_.Apply(fact)) {
    effect.to_persist.push_back(std::move(fact));
  }
  effect.reply = std::move(reply);
  return effect;
}

auto fact_replica::Answer(const record_request& request, std::int64_t now_ms)
    -> replica_effect {
  auto effect = replica_effect{};
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

auto fact_replica::Answer(const read_request& request, std::int64_t /*now_ms*/)
    -> replica_effect {
  return {{},
          read_reply{
              IsComplete(),
              facts_.Chain(request.turn, ChainBytes(request.max_chain_bytes))}};
}

auto fact_replica::Answer(const adopt_request& request, std::int64_t /*now_ms*/)
    -> replica_effect {
  Adopt(request.newest);
  return {{}, adopt_reply{IsComplete()}};
}

auto fact_replica::Answer(const list_request& /*request*/,
                          std::int64_t /*now_ms*/) -> replica_effect {
  return {{}, list_reply{IsComplete(), facts_.Hashes()}};
}

auto fact_replica::Answer(const pull_request& request, std::int64_t /*now_ms*/)
    -> replica_effect {
  auto batch = facts_.FindBatch(
      request.hashes, request.max_bytes == 0 ? kAnySize : request.max_bytes);
  return {{}, pull_reply{std::move(batch.facts), batch.examined}};
}

auto fact_replica::Answer(const lifetimes_request& request, std::int64_t now_ms)
    -> replica_effect {
  auto reply = lifetimes_reply{IsComplete(), {}};
  reply.left_ms.reserve(request.programs.size());
  for (const auto& program : request.programs) {
    reply.left_ms.push_back(
        facts_.LifetimeLeftMs(program, now_ms, default_lifetime_ms_));
  }
  return {{}, std::move(reply)};
}

auto fact_replica::MergeFacts(const std::vector<turn_fact>& facts)
    -> std::vector<turn_fact> {
  auto added = std::vector<turn_fact>{};
  for (const auto& fact : facts) {
    if (facts_.Apply(fact)) {
      added.push_back(fact);
    }
  }
  return added;
}

}  // namespace daisywind::history
