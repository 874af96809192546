#include <doctest/doctest.h>

#include <string>

#include "test_cluster.h"

namespace daisywind::program {
namespace {

constexpr auto kLimits = budget{1000, 20, duration{3600s}};

auto LastRefusal(const test_cluster& cluster) -> problem {
  return cluster.Last<reply_problem>()->refusal;
}

auto Refusal(outcome result, refusal_reason reason) -> problem {
  return problem{result, reason, std::string{NameOf(reason)}, {}};
}

}  // namespace

TEST_CASE(
    "a duplicate waits for the running call and a retry gets the same answer") {
  auto cluster = test_cluster{};
  const auto handle = cluster.Open(kLimits);
  cluster.Deliver(0, ServiceCall(10, handle, 1, "k"));
  const auto attempt = cluster.Grant();
  cluster.Deliver(1, ServiceCall(11, handle, 1, "k"));
  cluster.Answer(attempt, "paid");
  CHECK(cluster.Count<reply_end>() == 2);
  cluster.Deliver(2, ServiceCall(12, handle, 1, "k"));
  CHECK(BytesOf(cluster.Last<reply_end>()->answer.body) == "paid");
  CHECK(cluster.Count<start_attempt>() == 1);
}

TEST_CASE(
    "a key of an earlier turn returns its answer, but not for another body") {
  auto cluster = test_cluster{};
  const auto handle = cluster.Open(kLimits);
  cluster.Deliver(0, ServiceCall(10, handle, 1, "k"));
  cluster.Answer(cluster.Grant(), "paid");
  cluster.Deliver(0, ServiceCall(11, handle, 2, "k"));
  CHECK(BytesOf(cluster.Last<reply_end>()->answer.body) == "paid");
  auto other = ServiceCall(12, handle, 2, "k");
  other.call.body_digest = DigestOf("something else");
  cluster.Deliver(0, other);
  CHECK(LastRefusal(cluster) ==
        Refusal(outcome::kNotRun, refusal_reason::kKeyReused));
  CHECK(cluster.Count<start_attempt>() == 1);
}

TEST_CASE("a non-idempotent call needs an idempotency key") {
  auto cluster = test_cluster{};
  const auto handle = cluster.Open(kLimits);
  cluster.Deliver(0, ServiceCall(10, handle, 1, ""));
  CHECK(LastRefusal(cluster) ==
        Refusal(outcome::kNotRun, refusal_reason::kKeyMissing));
}

TEST_CASE("a chat call must extend the history of its branch") {
  auto cluster = test_cluster{};
  const auto handle = cluster.Open(kLimits);
  const auto first = ChatCall(10, handle, 1, digest{}, 0);
  cluster.Deliver(0, first);
  cluster.Answer(cluster.Grant(), "hi");
  cluster.Deliver(0, ChatCall(11, handle, 2, DigestOf("other"), 2));
  CHECK(LastRefusal(cluster) ==
        Refusal(outcome::kNotRun, refusal_reason::kHistoryMismatch));
  const auto chain =
      Extend(first.call.history.back(), MessageText("assistant", "hi"));
  cluster.Deliver(0, ChatCall(12, handle, 2, chain, 2));
  CHECK(cluster.Count<acquire_endpoint>() == 2);
}

TEST_CASE("branches share a budget, reserved before the send and then used") {
  auto cluster = test_cluster{};
  const auto handle = cluster.Open(budget{39, 20, duration{3600s}});
  cluster.Deliver(0, control_arrived{9, handle, organisation_id{"choclo"},
                                     control_action::kStart, branch_id{"sub"},
                                     branch_id{"main"}});
  cluster.Deliver(0, ChatCall(10, handle, 1, digest{}, 0));
  const auto attempt = cluster.Grant();
  auto sub = ChatCall(11, handle, 1, digest{}, 0);
  sub.call.branch = branch_id{"sub"};
  cluster.Deliver(0, sub);
  CHECK(LastRefusal(cluster) ==
        Refusal(outcome::kNotRun, refusal_reason::kBudgetExceeded));
  cluster.Answer(attempt, "hi");
  CHECK(cluster.system(0).OwnedPrograms(1).front().used.tokens == 20);
}

TEST_CASE("a call after a missing turn waits, then times out") {
  auto cluster = test_cluster{};
  const auto handle = cluster.Open(kLimits);
  cluster.Deliver(0, ServiceCall(10, handle, 2, "b"));
  CHECK(cluster.Count<acquire_endpoint>() == 0);
  cluster.AdvanceTime(11s);
  CHECK(LastRefusal(cluster) ==
        Refusal(outcome::kNotRun, refusal_reason::kTurnGapTimedOut));
  cluster.Deliver(0, ServiceCall(11, handle, 2, "b"));
  cluster.Deliver(0, ServiceCall(12, handle, 1, "a"));
  cluster.Answer(cluster.Grant(), "first");
  CHECK(cluster.Last<acquire_endpoint>()->call.turn == 2);
}

TEST_CASE(
    "a call in doubt stays unknown on every retry and does not run again") {
  auto cluster = test_cluster{};
  const auto handle = cluster.Open(kLimits);
  cluster.Deliver(0, ServiceCall(10, handle, 1, "k"));
  auto ended = attempt_ended{};
  ended.attempt = cluster.Grant().attempt;
  cluster.Deliver(0, ended);
  for (auto system = std::size_t{0}; system < 3; ++system) {
    cluster.Deliver(system, ServiceCall(20 + system, handle, 1, "k"));
    cluster.AdvanceTime(4s);
    CHECK(LastRefusal(cluster) ==
          Refusal(outcome::kUnknown, refusal_reason::kInDoubt));
  }
  CHECK(cluster.Count<start_attempt>() == 1);
}

TEST_CASE("a lookup at the service settles a call in doubt") {
  auto cluster = test_cluster{};
  const auto handle = cluster.Open(kLimits);
  auto call = ServiceCall(10, handle, 1, "k");
  call.call.has_lookup = true;
  cluster.Deliver(0, call);
  auto ended = attempt_ended{};
  ended.attempt = cluster.Grant().attempt;
  cluster.Deliver(0, ended);
  REQUIRE(cluster.Last<request_lookup>());
  auto result = lookup_result{};
  result.call = cluster.Last<request_lookup>()->call;
  result.status = lookup_status::kRan;
  result.answer.body = MakePayload("paid");
  cluster.Deliver(0, result);
  CHECK(BytesOf(cluster.Last<reply_end>()->answer.body) == "paid");
}

TEST_CASE("an attempt that was not sent is retried, then refused as not run") {
  auto cluster = test_cluster{};
  const auto handle = cluster.Open(kLimits);
  cluster.Deliver(0, ServiceCall(10, handle, 1, "k"));
  for (auto i = 0; i < 4; ++i) {
    auto ended = attempt_ended{};
    ended.attempt = cluster.Grant().attempt;
    ended.result = attempt_result::kNotSent;
    cluster.Deliver(0, ended);
  }
  CHECK(LastRefusal(cluster) ==
        Refusal(outcome::kNotRun, refusal_reason::kEndpointRefused));
}

TEST_CASE("a call that crashes its endpoints is refused permanently") {
  auto cluster = test_cluster{};
  const auto handle = cluster.Open(kLimits);
  for (auto request = request_id{10}; request < 13; ++request) {
    cluster.Deliver(0, ChatCall(request, handle, 1, digest{}, 0));
    while (cluster.Count<reply_problem>() < request - 9) {
      const auto requested = cluster.Count<acquire_endpoint>();
      const auto attempt = requested > cluster.grants
                               ? cluster.Grant()
                               : *cluster.Last<start_attempt>();
      auto ended = attempt_ended{};
      ended.attempt = attempt.attempt;
      cluster.Deliver(0, ended);
    }
    CHECK(LastRefusal(cluster).reason == refusal_reason::kEndpointFailed);
  }
  CHECK(cluster.grants == 4);
}

TEST_CASE("a program of another organisation cannot be used") {
  auto cluster = test_cluster{};
  const auto handle = cluster.Open(kLimits);
  auto call = ServiceCall(10, handle, 1, "k");
  call.organisation = organisation_id{"inzira"};
  cluster.Deliver(0, call);
  CHECK(LastRefusal(cluster) ==
        Refusal(outcome::kNotRun, refusal_reason::kWrongOrganisation));
}

TEST_CASE("an idle program ends, and its release repeats until confirmed") {
  auto cluster = test_cluster{};
  const auto handle = cluster.Open(kLimits);
  cluster.Deliver(0, ChatCall(10, handle, 1, digest{}, 0));
  cluster.Answer(cluster.Grant(), "hi");
  cluster.AdvanceTime(700s);
  CHECK(cluster.Count<release_memory>() > 10);
  CHECK(cluster.system(0).Stats().owned == 1);
  cluster.Deliver(0, release_confirmed{endpoint_id{"agent-1"}, handle.program});
  CHECK(cluster.system(0).Stats().owned == 0);
  for (auto system = std::size_t{0}; system < 3; ++system) {
    CHECK(cluster.system(system).Stats().witnessed == 0);
  }
}

TEST_CASE("a shutdown hands over every program") {
  auto cluster = test_cluster{};
  const auto handle = cluster.Open(kLimits);
  cluster.MarkLeaving(0);
  cluster.Deliver(0, shutdown_requested{});
  cluster.AdvanceTime(3s);
  CHECK(cluster.system(0).Stats().owned == 0);
  CHECK(cluster.system(0).IsDrained());
  cluster.Deliver(1, control_arrived{9,
                                     handle,
                                     organisation_id{"choclo"},
                                     control_action::kQuery,
                                     {},
                                     {}});
  cluster.AdvanceTime(1s);
  CHECK(cluster.Last<reply_view>()->view.handle.replicas.epoch == 2);
}

TEST_CASE("a system opens no more programs than its limit") {
  auto options = program_options{};
  options.max_programs = 1;
  auto cluster = test_cluster{options};
  cluster.Open(kLimits);
  cluster.Deliver(0, open_program{2, organisation_id{"choclo"},
                                  class_id{"vendor"}, kLimits});
  CHECK(LastRefusal(cluster) ==
        Refusal(outcome::kNotRun, refusal_reason::kMemoryBound));
}

}  // namespace daisywind::program
