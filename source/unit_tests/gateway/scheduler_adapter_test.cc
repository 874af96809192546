#include "gateway/scheduler_adapter.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace daisywind::gateway {
namespace {

auto Endpoint(const std::string& name) -> policy::endpoint_info {
  auto endpoint = policy::endpoint_info{};
  endpoint.id = endpoint_id(name);
  endpoint.models = {model_id("agent")};
  endpoint.capacity = 8;
  return endpoint;
}

auto Wanted(program::turn_number turn) -> program::acquire_endpoint {
  auto wanted = program::acquire_endpoint{};
  wanted.call = {{1, 2}, branch_id("main"), turn};
  wanted.organisation = organisation_id("t");
  wanted.service_class = class_id("c");
  wanted.target = "agent";
  wanted.is_idempotent = true;
  wanted.prompt_tokens = 10;
  wanted.max_tokens = 10;
  return wanted;
}

// A scheduler with two engines, and the events that its adapter submits.
struct fixture {
  fixture()
      : scheduler({}, 1), adapter(scheduler, [this](program::event event) {
          submitted.push_back(std::move(event));
        }) {
    scheduler.SetEndpoints({Endpoint("a"), Endpoint("b")}, now);
    auto organisation = policy::organisation_policy{};
    organisation.id = organisation_id("t");
    scheduler.SetOrganisations({organisation}, {});
  }

  // Ticks until an event has been submitted, for at most one second.
  auto TickUntilSubmitted() -> void {
    for (auto i = 0; i < 100 && submitted.empty(); ++i) {
      now += 10ms;
      adapter.Tick(now);
    }
  }

  // Returns the endpoint granted by the only submitted event.
  auto TakeGrant() -> endpoint_id {
    REQUIRE(submitted.size() == 1);
    const auto* grant =
        std::get_if<program::endpoint_granted>(&submitted.front());
    REQUIRE(grant != nullptr);
    auto endpoint = grant->endpoint;
    submitted.clear();
    return endpoint;
  }

  // Sends a call to an endpoint and ends its attempt with an unknown result.
  auto FailAttempt(const program::acquire_endpoint& wanted) -> endpoint_id {
    adapter.Acquire(wanted, now);
    TickUntilSubmitted();
    auto endpoint = TakeGrant();
    adapter.OnSent(wanted.call, now);
    adapter.Release({wanted.call, endpoint, program::attempt_result::kUnknown},
                    now);
    return endpoint;
  }

  instant now{10s};
  policy::scheduler scheduler;
  std::vector<program::event> submitted;
  scheduler_adapter adapter;
};

}  // namespace

TEST_CASE(
    "a call repeated by its caller does not count against the retry budget") {
  // The failed attempts would exhaust the retry budget. Each call that its
  // caller repeats must still be granted an endpoint.
  auto subject = fixture();
  for (auto turn = program::turn_number{1}; turn <= 20; ++turn) {
    subject.FailAttempt(Wanted(turn));
    subject.now += 5s;
    subject.adapter.Acquire(Wanted(turn), subject.now);
    subject.TickUntilSubmitted();
    const auto endpoint = subject.TakeGrant();
    CHECK(!endpoint.empty());
    subject.adapter.Release(
        {Wanted(turn).call, endpoint, program::attempt_result::kAnswered},
        subject.now);
  }
}

TEST_CASE(
    "a failed call counts as running at its endpoint for a limited time") {
  auto subject = fixture();
  auto wanted = Wanted(1);
  wanted.body_digest = DigestOf("body");
  const auto endpoint = subject.FailAttempt(wanted);
  CHECK(subject.adapter.RunningBodies(endpoint) ==
        std::vector<digest>{DigestOf("body")});
  subject.now += 10s;
  subject.adapter.Tick(subject.now);
  CHECK(subject.adapter.RunningBodies(endpoint).empty());
}

TEST_CASE("a retry goes to another endpoint after its backoff") {
  auto subject = fixture();
  auto wanted = Wanted(1);
  const auto first = subject.FailAttempt(wanted);
  wanted.excluded = {first};
  subject.adapter.Acquire(wanted, subject.now);
  subject.TickUntilSubmitted();
  CHECK(subject.TakeGrant() != first);
}

}  // namespace daisywind::gateway
