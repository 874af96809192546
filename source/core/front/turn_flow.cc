// Steps of a request that only turns of agent programs take: reserving the turn
// at the journals, reading its chain, and recording or settling it.
#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <limits>
#include <utility>

#include "common/logging.h"
#include "common/process_clock.h"
#include "front/request_flow.h"
#include "net/message_limits.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;

// Longest time for reserving a turn at the journals: four round trips to the
// other region and a slow disk sync. Another front may reach the journals, so
// the caller is refused early rather than kept waiting.
constexpr auto kReserveTimeout = duration(600ms);
// For a turn that is refused because too few journals replied. A retry may
// reach another front that has a quorum of journals. If none has, a failed
// journal is back within seconds.
constexpr auto kRetryAfterJournalsUnavailable = duration(300ms);
// Requests end within seconds, and another front may have the memory now.
constexpr auto kRetryAfterMemoryUsedUp = duration(300ms);
// The end of a response waits until the journals have recorded the turn, up to
// the caller's deadline but at least this long, because the endpoint's work is
// done already.
constexpr auto kMinRecordTimeout = duration(2s);

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

auto request_flow::IsTurn() const -> bool {
  if (route_->stores_turns) {
    return true;
  }
  // A budget is that of a program, whichever routes its turns take.
  return route_->kind == dispatch::route_kind::kStream &&
         call_.token_budget.has_value() && !call_.program.empty();
}

auto request_flow::ProgramName() const -> history::program_name {
  // Neither an organisation's name nor a header's value contains a line end, so
  // programs of different organisations never get the same name.
  return history::program_name(
      organisation_ != nullptr && !call_.program.empty()
          ? organisation_->id.value + '\n' + call_.program
          : call_.program);
}

auto request_flow::MayContinue(const history::turn_fact& turn) const -> bool {
  const auto& owner = turn.content->organisation;
  return owner.empty() ||
         (organisation_ != nullptr && organisation_->id == owner);
}

auto request_flow::RunTurn() -> asio::awaitable<void> {
  if (call_.request_id.empty()) {
    co_await Refuse(refusal_reason::kBadRequest, std::nullopt);
    co_return;
  }
  // The id of a turn is that of its request.
  auto begin = history::turn_begin{
      ProgramName(),
      history::turn_id(call_.request_id),
      history::turn_id(route_->stores_turns ? call_.previous_turn
                                            : std::string()),
      call_.max_output_tokens,
      call_.token_budget,
      RetentionMs()};
  const auto requested_at = Now();
  auto begun = co_await node_.turns().Begin(
      std::move(begin), std::min(kReserveTimeout, TimeLeft()));
  // A journal may have reserved the tokens even if the turn was not granted.
  needs_settling_ = begun.was_sent;
  // "request" is also the id of the turn. "answers" counts the complete
  // replies of journals; a "budget" of zero stands for none.
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
       {"took_us", (Now() - requested_at).count()}});
  if (IsOver()) {
    co_await GiveUp();
  } else if (!begun.chain.empty() && !MayContinue(begun.chain.back())) {
    co_await Refuse(refusal_reason::kUnknownTurn, std::nullopt);
  } else if (begun.outcome != history::begin_outcome::kGranted) {
    const auto retry_after =
        begun.outcome == history::begin_outcome::kUnavailable
            ? std::optional<duration>(kRetryAfterJournalsUnavailable)
            : std::nullopt;
    co_await Refuse(ReasonFor(begun.outcome), retry_after);
  } else {
    for (auto& fact : history::Renewals(begun.chain, ProgramName(), UnixMs(),
                                        RetentionMs())) {
      node_.turns().Settle(std::move(fact));
    }
    auto body = std::string{};
    if (!MakeBody(begun.chain, body)) {
      co_await Refuse(refusal_reason::kOverloaded, kRetryAfterMemoryUsedUp);
      SettleTurn();
      co_return;
    }
    auto placement = MakePlacement();
    for (const auto& turn : begun.chain) {
      const auto cached = std::uint64_t{turn.content->prompt_tokens} +
                          turn.settled_tokens.value_or(0);
      auto& max_cached = placement.cached_tokens[turn.content->endpoint];
      max_cached = std::max(max_cached, cached);
    }
    begun.chain = {};
    co_await Dispatch(body, std::move(placement));
  }
  if (needs_settling_) {
    SettleTurn();
  }
}

auto request_flow::MakeBody(const std::vector<history::turn_fact>& chain,
                            std::string& body) -> bool {
  auto size = exchange_.request().body.size();
  for (const auto& turn : chain) {
    size += turn.content->input.size() + turn.content->output.size();
  }
  if (!body_memory_.Resize(size)) {
    net::ReportOversized("caller", "memory for requests used up by a chain");
    return false;
  }
  body.reserve(size);
  for (const auto& turn : chain) {
    body += turn.content->input;
    body += turn.content->output;
  }
  body += exchange_.request().body;
  return true;
}

auto request_flow::RecordTurn(const endpoint_id& endpoint)
    -> asio::awaitable<bool> {
  if (!route_->stores_turns) {
    // The caller does not wait for it: until it is stored, the reservation
    // counts, which is no less.
    needs_settling_ = false;
    SettleTurn();
    co_return true;
  }
  auto fact = MakeTurnFact();
  fact.content = history::turn_content{history::turn_id(call_.previous_turn),
                                       exchange_.request().body,
                                       std::move(output_),
                                       endpoint,
                                       call_.prompt_tokens,
                                       Owner()};
  const auto is_recorded = co_await node_.turns().Record(
      std::move(fact), std::max(kMinRecordTimeout, TimeLeft()));
  if (is_recorded) {
    needs_settling_ = false;
    co_return true;
  }
  Log(log_events::kTurnNotRecorded,
      {{"request", std::string_view(call_.request_id)},
       {"what", "content"},
       {"view", static_cast<std::int64_t>(node_.turns().current().number)}});
  co_return false;
}

auto request_flow::SettleTurn() -> void {
  node_.turns().Settle(MakeTurnFact());
}

// Journals count from the reservation, the route's retention from the end of
// the turn, which may come as late as the route's timeout.
auto request_flow::RetentionMs() const -> std::uint32_t {
  constexpr auto kMax = std::int64_t{std::numeric_limits<std::uint32_t>::max()};
  const auto time = std::chrono::ceil<std::chrono::milliseconds>(
      route_->retention + route_->timeout);
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(time.count(), 0, kMax));
}

auto request_flow::MakeTurnFact() const -> history::turn_fact {
  auto fact = history::turn_fact{};
  fact.program = ProgramName();
  fact.turn = history::turn_id(call_.request_id);
  fact.reserved_tokens = call_.max_output_tokens;
  fact.retention_ms = RetentionMs();
  // Without an engine profile, each event counts as one token.
  fact.settled_tokens = events_ * (engine_ ? engine_->event_tokens : 1);
  return fact;
}

}  // namespace daisywind::front
