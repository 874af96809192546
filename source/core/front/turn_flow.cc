// The part of a request's way that only turns of agent programs go.
#include <algorithm>
#include <boost/asio.hpp>
#include <cstdint>
#include <utility>

#include "common/logging.h"
#include "common/process_clock.h"
#include "front/request_flow.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;

// The journals are asked for this long at the most: four ways to the other
// region and back, and a slow sync. Another front may reach them, so a refusal
// is not kept waiting.
constexpr auto kBeginPatience = duration(600ms);
// Callers that come back reach another front, which may be in contact; if none
// is, a lost journal is back within seconds.
constexpr auto kRetryElsewhere = duration(300ms);
// The end of an answer waits for the journals until the caller's deadline, but
// at least this long: the work is done.
constexpr auto kRecordPatience = duration(2s);

auto OutcomeName(history::begin_outcome outcome) -> std::string_view {
  switch (outcome) {
    case history::begin_outcome::kGranted:
      return "granted";
    case history::begin_outcome::kBudgetSpent:
      return "budget_spent";
    case history::begin_outcome::kUnknownTurn:
      return "unknown_turn";
    case history::begin_outcome::kUnavailable:
      return "unavailable";
  }
  return "unknown";
}

auto ReasonFor(history::begin_outcome outcome) -> refusal_reason {
  switch (outcome) {
    case history::begin_outcome::kBudgetSpent:
      return refusal_reason::kBudgetSpent;
    case history::begin_outcome::kUnknownTurn:
      return refusal_reason::kUnknownTurn;
    case history::begin_outcome::kGranted:
    case history::begin_outcome::kUnavailable:
      break;
  }
  return refusal_reason::kHistoryUnavailable;
}

}  // namespace

auto request_flow::RunTurn() -> asio::awaitable<void> {
  is_turn_ = true;
  if (call_.request_id.empty()) {
    co_await Refuse(refusal_reason::kBadRequest, std::nullopt);
    co_return;
  }
  auto begin = history::turn_begin{history::program_name(call_.program),
                                   history::turn_id(call_.request_id),
                                   history::turn_id(call_.previous_turn),
                                   call_.max_output_tokens, call_.token_budget};
  const auto asked_at = Now();
  auto begun = co_await node_.turns().Begin(
      std::move(begin), std::min(kBeginPatience, TimeLeft()));
  is_reserved_ = begun.was_asked;
  Log(log_events::kTurnDecided,
      {{"request", std::string_view(call_.request_id)},
       {"program", std::string_view(call_.program)},
       {"previous", std::string_view(call_.previous_turn)},
       {"outcome", OutcomeName(begun.outcome)},
       {"view", static_cast<std::int64_t>(begun.view)},
       {"answers", static_cast<std::int64_t>(begun.answers)},
       {"chain", static_cast<std::int64_t>(begun.chain.size())},
       {"reserved", std::int64_t{call_.max_output_tokens}},
       {"spent_by_others", static_cast<std::int64_t>(begun.spent_by_others)},
       {"budget", static_cast<std::int64_t>(call_.token_budget.value_or(0))},
       {"took_us", (Now() - asked_at).count()}});
  if (IsOver()) {
    co_await GiveUp();
  } else if (begun.outcome != history::begin_outcome::kGranted) {
    const auto retry_after =
        begun.outcome == history::begin_outcome::kUnavailable
            ? std::optional<duration>(kRetryElsewhere)
            : std::nullopt;
    co_await Refuse(ReasonFor(begun.outcome), retry_after);
  } else {
    auto body = std::string{};
    for (const auto& turn : begun.chain) {
      body += turn.content->input;
      body += turn.content->output;
    }
    body += exchange_.request().body;
    auto placement = dispatch::placement_request{};
    placement.prompt = call_.prompt;
    placement.prompt_tokens = call_.prompt_tokens;
    for (const auto& turn : begun.chain) {
      const auto kept = std::uint64_t{turn.content->prompt_tokens} +
                        turn.settled_tokens.value_or(0);
      auto& most = placement.cached_tokens[turn.content->endpoint];
      most = std::max(most, kept);
    }
    co_await Dispatch(body, std::move(placement));
  }
  if (is_reserved_) {
    SettleTurn();
  }
}

auto request_flow::RecordTurn(const endpoint_id& endpoint)
    -> asio::awaitable<bool> {
  auto fact = Fact();
  fact.content = history::turn_content{
      history::turn_id(call_.previous_turn), exchange_.request().body,
      std::move(output_), endpoint, call_.prompt_tokens};
  const auto is_recorded = co_await node_.turns().Record(
      std::move(fact), std::max(kRecordPatience, TimeLeft()));
  if (is_recorded) {
    is_reserved_ = false;
    co_return true;
  }
  Log(log_events::kTurnNotRecorded,
      {{"request", std::string_view(call_.request_id)},
       {"what", "content"},
       {"view", static_cast<std::int64_t>(node_.turns().current().number)}});
  co_return false;
}

auto request_flow::SettleTurn() -> void {
  node_.turns().Settle(Fact());
}

auto request_flow::Fact() const -> history::turn_fact {
  auto fact = history::turn_fact{};
  fact.program = history::program_name(call_.program);
  fact.turn = history::turn_id(call_.request_id);
  fact.reserved_tokens = call_.max_output_tokens;
  fact.settled_tokens = events_ * (engine_ ? engine_->event_tokens : 1);
  return fact;
}

}  // namespace daisywind::front
