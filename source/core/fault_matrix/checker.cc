#include "fault_matrix/checker.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

namespace daisywind::fault_matrix {
namespace {

using program::outcome;
using program::refusal_reason;

using turn_key = std::pair<branch_id, program::turn_number>;

// When one request of a caller was sent, and whether it was refused as not run.
struct request_outcome {
  instant sent{};
  bool is_not_run = false;
};

using violations = std::vector<violation>;

auto FormatTurn(const turn_key& turn) -> std::string {
  return turn.first.value + "/" + std::to_string(turn.second);
}

auto CheckAtMostOnce(const case_history& history, violations& found) -> void {
  auto runs = std::map<std::string, int>{};
  for (const auto& event : history.events) {
    const auto is_counted = event.kind == observed_event_kind::kRunStarted &&
                            !event.is_chat && !event.key.empty();
    if (is_counted && ++runs[event.key] > 1) {
      found.push_back(
          {guarantee_kind::kAtMostOnce, event.key + " ran more than once"});
    }
  }
}

auto OutcomesByTurn(const case_history& history)
    -> std::map<turn_key, std::map<std::uint64_t, request_outcome>> {
  auto outcomes =
      std::map<turn_key, std::map<std::uint64_t, request_outcome>>{};
  for (const auto& event : history.events) {
    auto& requests = outcomes[{event.branch, event.turn}];
    if (event.kind == observed_event_kind::kRequestSent) {
      requests[event.request].sent = event.at;
    }
    const auto is_not_run = event.kind == observed_event_kind::kRefused &&
                            event.result == outcome::kNotRun;
    if (is_not_run) {
      requests[event.request].is_not_run = true;
    }
  }
  return outcomes;
}

// Each run of a service call belongs to a request that was sent before it. If
// all of these were refused as not run, at least one refusal was wrong.
auto CheckTruthfulRefusals(const case_history& history, violations& found)
    -> void {
  const auto outcomes = OutcomesByTurn(history);
  for (const auto& event : history.events) {
    const auto is_counted =
        event.kind == observed_event_kind::kRunStarted && !event.is_chat;
    const auto requests = outcomes.find({event.branch, event.turn});
    if (!is_counted || requests == outcomes.end()) {
      continue;
    }
    const auto has_matching_request = std::any_of(
        requests->second.begin(), requests->second.end(),
        [&event](const auto& entry) {
          return entry.second.sent <= event.at && !entry.second.is_not_run;
        });
    if (!has_matching_request) {
      found.push_back(
          {guarantee_kind::kTruthfulRefusal,
           event.key + " ran although its requests were refused as not run"});
    }
  }
}

auto CheckWholeAnswers(const case_history& history, violations& found) -> void {
  auto texts = std::set<std::pair<turn_key, std::string>>{};
  for (const auto& event : history.events) {
    const auto turn = turn_key{event.branch, event.turn};
    if (event.kind == observed_event_kind::kRunStarted) {
      texts.emplace(turn, event.text);
    }
    const auto is_wrong = event.kind == observed_event_kind::kAnswered &&
                          texts.count({turn, event.text}) == 0;
    if (is_wrong) {
      found.push_back(
          {guarantee_kind::kWholeAnswer,
           FormatTurn(turn) +
               " was answered with a text that no run produced: \"" +
               event.text + "\""});
    }
  }
}

auto CheckNoMismatchRefusals(const case_history& history, violations& found)
    -> void {
  static constexpr auto kMismatchReasons = std::to_array<refusal_reason>(
      {refusal_reason::kHistoryMismatch, refusal_reason::kTurnConflict,
       refusal_reason::kKeyReused, refusal_reason::kBranchNotFound,
       refusal_reason::kWrongOrganisation, refusal_reason::kBranchEnded});
  for (const auto& event : history.events) {
    const auto is_wrong =
        event.kind == observed_event_kind::kRefused &&
        std::find(kMismatchReasons.begin(), kMismatchReasons.end(),
                  event.reason) != kMismatchReasons.end();
    if (is_wrong) {
      found.push_back({guarantee_kind::kHistory,
                       FormatTurn({event.branch, event.turn}) + ": " +
                           std::string{NameOf(event.reason)}});
    }
  }
}

auto CheckBudget(const case_history& history, violations& found) -> void {
  auto tokens = std::int64_t{0};
  auto calls = std::int64_t{0};
  for (const auto& event : history.events) {
    if (event.kind == observed_event_kind::kRunStarted) {
      tokens += event.tokens;
      ++calls;
    }
  }
  if (tokens > history.limits.tokens || calls > history.limits.calls) {
    found.push_back({guarantee_kind::kBudget,
                     std::to_string(tokens) + " tokens and " +
                         std::to_string(calls) + " calls were used"});
  }
}

// The first run of a turn must start after a run of the previous turn has
// finished. The previous turn is exempt if its caller was told that it may have
// run, because it may still run late.
auto CheckTurnOrder(const case_history& history, violations& found) -> void {
  auto first_start = std::map<turn_key, instant>{};
  auto first_finish = std::map<turn_key, instant>{};
  auto in_doubt = std::set<turn_key>{};
  for (const auto& event : history.events) {
    const auto turn = turn_key{event.branch, event.turn};
    if (event.kind == observed_event_kind::kRunStarted) {
      first_start.emplace(turn, event.at);
    }
    if (event.kind == observed_event_kind::kRunFinished) {
      first_finish.emplace(turn, event.at);
    }
    const auto is_in_doubt = event.kind == observed_event_kind::kRefused &&
                             event.result != outcome::kNotRun;
    if (is_in_doubt) {
      in_doubt.insert(turn);
    }
    const auto is_previous_in_doubt =
        event.kind == observed_event_kind::kRefused &&
        event.reason == refusal_reason::kPreviousInDoubt;
    if (is_previous_in_doubt) {
      in_doubt.insert({event.branch, event.turn - 1});
    }
  }
  for (const auto& [turn, start] : first_start) {
    const auto before = turn_key{turn.first, turn.second - 1};
    const auto finish = first_finish.find(before);
    const auto has_begun = first_start.count(before) != 0;
    const auto is_excused = turn.second <= 1 || in_doubt.count(before) != 0;
    const auto is_before_previous =
        !has_begun || finish == first_finish.end() || finish->second > start;
    if (!is_excused && is_before_previous) {
      found.push_back(
          {guarantee_kind::kTurnOrder,
           FormatTurn(turn) + " ran before the end of " + FormatTurn(before)});
    }
  }
}

auto CheckEndState(const case_history& history, violations& found) -> void {
  if (history.held_sessions != 0) {
    found.push_back(
        {guarantee_kind::kMemoryReleased,
         std::to_string(history.held_sessions) + " sessions are still held"});
  }
  const auto has = [&history](observed_event_kind kind) {
    return std::any_of(
        history.events.begin(), history.events.end(),
        [kind](const observed_event& event) { return event.kind == kind; });
  };
  const auto is_ended = has(observed_event_kind::kProgramEnded);
  const auto is_refused = has(observed_event_kind::kProgramRefused);
  if (!is_ended && (history.must_finish || !is_refused)) {
    auto detail = std::string{"the program did not finish"};
    for (const auto& event : history.events) {
      if (event.kind == observed_event_kind::kProgramRefused) {
        detail += ": " + std::string{NameOf(event.reason)};
      }
    }
    found.push_back({guarantee_kind::kFinishes, detail});
  }
}

// Counts calls whose outcome stayed unknown. Refusals that were followed by an
// answer do not count.
auto CheckFewUnknown(const case_history& history, violations& found) -> void {
  if (!history.must_finish) {
    return;
  }
  auto unknown = std::set<turn_key>{};
  for (const auto& event : history.events) {
    const auto turn = turn_key{event.branch, event.turn};
    const auto is_unknown = event.kind == observed_event_kind::kRefused &&
                            event.result == outcome::kUnknown;
    if (is_unknown) {
      unknown.insert(turn);
    }
    if (event.kind == observed_event_kind::kAnswered) {
      unknown.erase(turn);
    }
  }
  if (unknown.size() > history.allowed_unknown) {
    found.push_back({guarantee_kind::kFewUnknown,
                     std::to_string(unknown.size()) +
                         " calls ended with an unknown outcome"});
  }
}

}  // namespace

auto NameOf(guarantee_kind guarantee) -> std::string_view {
  static constexpr auto kNames = std::to_array<std::string_view>(
      {"at_most_once", "truthful_refusal", "whole_answer", "history", "budget",
       "turn_order", "memory_released", "finishes", "few_unknown"});
  return kNames.at(static_cast<std::size_t>(guarantee));
}

auto CheckHistory(const case_history& history) -> std::vector<violation> {
  auto found = violations{};
  CheckAtMostOnce(history, found);
  CheckTruthfulRefusals(history, found);
  CheckWholeAnswers(history, found);
  CheckNoMismatchRefusals(history, found);
  CheckBudget(history, found);
  CheckTurnOrder(history, found);
  CheckEndState(history, found);
  CheckFewUnknown(history, found);
  return found;
}

}  // namespace daisywind::fault_matrix
