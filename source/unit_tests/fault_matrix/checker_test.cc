#include "fault_matrix/checker.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>

namespace daisywind::fault_matrix {
namespace {

auto Event(observed_event_kind kind, program::turn_number turn, int at)
    -> observed_event {
  auto event = observed_event{};
  event.at = instant{duration{at}};
  event.kind = kind;
  event.branch = branch_id{"main"};
  event.turn = turn;
  event.key = "payout-" + std::to_string(turn);
  event.request = static_cast<std::uint64_t>(at);
  return event;
}

auto Ended(case_history history) -> case_history {
  history.limits = program::budget{100, 10, duration{1s}};
  history.events.push_back(Event(observed_event_kind::kProgramEnded, 0, 1000));
  return history;
}

auto Violates(const case_history& history, guarantee_kind guarantee) -> bool {
  const auto found = CheckHistory(history);
  return std::any_of(found.begin(), found.end(),
                     [guarantee](const violation& item) {
                       return item.guarantee == guarantee;
                     });
}

}  // namespace

TEST_CASE("a history without faults violates no guarantee") {
  auto history = case_history{};
  history.events = {Event(observed_event_kind::kRequestSent, 1, 1),
                    Event(observed_event_kind::kRunStarted, 1, 2),
                    Event(observed_event_kind::kRunFinished, 1, 3),
                    Event(observed_event_kind::kAnswered, 1, 4)};
  CHECK(CheckHistory(Ended(history)).empty());
}

TEST_CASE("two runs with the same idempotency key are reported") {
  auto history = case_history{};
  history.events = {Event(observed_event_kind::kRequestSent, 1, 1),
                    Event(observed_event_kind::kRunStarted, 1, 2),
                    Event(observed_event_kind::kRunStarted, 1, 3)};
  CHECK(Violates(Ended(history), guarantee_kind::kAtMostOnce));
}

TEST_CASE("a run whose only request was refused as not run is reported") {
  auto refusal = Event(observed_event_kind::kRefused, 1, 1);
  refusal.result = program::outcome::kNotRun;
  auto history = case_history{};
  history.events = {Event(observed_event_kind::kRequestSent, 1, 1), refusal,
                    Event(observed_event_kind::kRunStarted, 1, 9)};
  CHECK(Violates(Ended(history), guarantee_kind::kTruthfulRefusal));
  history.events.insert(history.events.begin() + 2,
                        Event(observed_event_kind::kRequestSent, 1, 5));
  CHECK_FALSE(Violates(Ended(history), guarantee_kind::kTruthfulRefusal));
}

TEST_CASE("an answer that no run produced is reported") {
  auto run = Event(observed_event_kind::kRunStarted, 1, 2);
  run.text = "first second";
  auto answer = Event(observed_event_kind::kAnswered, 1, 4);
  answer.text = "first sekond";
  auto history = case_history{};
  history.events = {Event(observed_event_kind::kRequestSent, 1, 1), run,
                    answer};
  CHECK(Violates(Ended(history), guarantee_kind::kWholeAnswer));
}

TEST_CASE("use beyond the budget is reported") {
  auto run = Event(observed_event_kind::kRunStarted, 1, 2);
  run.tokens = 101;
  auto history = case_history{};
  history.events = {Event(observed_event_kind::kRequestSent, 1, 1), run};
  CHECK(Violates(Ended(history), guarantee_kind::kBudget));
}

TEST_CASE("a turn that runs before the previous one has finished is reported") {
  auto history = case_history{};
  history.events = {Event(observed_event_kind::kRequestSent, 1, 1),
                    Event(observed_event_kind::kRequestSent, 2, 1),
                    Event(observed_event_kind::kRunStarted, 2, 2),
                    Event(observed_event_kind::kRunStarted, 1, 3),
                    Event(observed_event_kind::kRunFinished, 1, 4)};
  CHECK(Violates(Ended(history), guarantee_kind::kTurnOrder));
}

TEST_CASE(
    "held memory, an unfinished program and too many unknown outcomes are "
    "reported") {
  auto refusal = Event(observed_event_kind::kRefused, 1, 2);
  refusal.result = program::outcome::kUnknown;
  auto history = case_history{};
  history.must_finish = true;
  history.held_sessions = 1;
  history.events = {Event(observed_event_kind::kRequestSent, 1, 1), refusal};
  CHECK(Violates(history, guarantee_kind::kFinishes));
  CHECK(Violates(history, guarantee_kind::kMemoryReleased));
  CHECK(Violates(history, guarantee_kind::kFewUnknown));
}

}  // namespace daisywind::fault_matrix
