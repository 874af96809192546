#include "experiment/endpoint_fake.h"

#include <doctest/doctest.h>

namespace daisywind::experiment {
namespace {

struct fixture {
  event_queue events;
  block_set ever_cached;
  endpoint_fake engine;
  std::vector<std::uint64_t> finished;
  std::vector<endpoint_result> results;

  fixture()
      : engine(events, {2, 1000.0, 10.0, 4 * kBlockTokens}, ever_cached) {}

  // Submits a call with 100 output tokens, which take one second to decode.
  auto Submit(std::uint64_t id,
              std::int32_t priority,
              std::vector<policy::block_hash> blocks) -> void {
    auto request = endpoint_request{};
    request.id = id;
    request.priority = priority;
    request.prompt_blocks = blocks.size();
    request.prompt_tokens =
        static_cast<std::uint32_t>(blocks.size()) * kBlockTokens;
    request.blocks = std::move(blocks);
    request.output_tokens = 100;
    engine.Submit(request, {[] {}, [] {},
                            [this, id](const endpoint_result& result) {
                              finished.push_back(id);
                              results.push_back(result);
                            }});
  }
};

}  // namespace

TEST_CASE("waiting calls start by priority") {
  auto subject = fixture{};
  subject.Submit(1, 0, {1});
  subject.Submit(2, 0, {2});
  subject.Submit(3, 9, {3});
  subject.Submit(4, 1, {4});
  CHECK(subject.engine.Running() == 2);
  CHECK(subject.engine.Queued() == 2);
  subject.events.RunUntil(instant{20s});
  CHECK(subject.finished == std::vector<std::uint64_t>{1, 2, 4, 3});
}

TEST_CASE("a computed prompt is a cache hit until it is evicted") {
  auto subject = fixture{};
  subject.Submit(1, 0, {1, 2});
  subject.events.RunUntil(instant{5s});
  subject.Submit(2, 0, {1, 2});
  subject.events.RunUntil(instant{10s});
  CHECK(subject.results[0].usage.cached_tokens == 0);
  CHECK(subject.results[1].usage.cached_tokens == 2 * kBlockTokens);
  subject.Submit(3, 0, {5, 6, 7, 8});
  subject.events.RunUntil(instant{15s});
  subject.Submit(4, 0, {1, 2});
  subject.events.RunUntil(instant{20s});
  CHECK(subject.results[3].usage.cached_tokens == 0);
  CHECK(subject.results[3].wasted_tokens == 2 * kBlockTokens);
  CHECK(subject.results[2].wasted_tokens == 0);
}

TEST_CASE("decoding pauses during the prefill of another call") {
  auto subject = fixture{};
  subject.Submit(1, 0, {1});
  subject.events.RunUntil(instant{500ms});
  subject.Submit(2, 0, {2});
  subject.events.RunUntil(instant{1300ms});
  CHECK(subject.finished.empty());
  subject.events.RunUntil(instant{1600ms});
  CHECK(subject.finished == std::vector<std::uint64_t>{1});
}

TEST_CASE(
    "a crash fails running calls and later ones are reported as not run") {
  auto subject = fixture{};
  subject.Submit(1, 0, {1});
  subject.engine.Crash(1ms);
  subject.Submit(2, 0, {2});
  subject.events.RunUntil(instant{1s});
  REQUIRE(subject.results.size() == 2);
  CHECK(subject.results[0].finish == policy::finish_kind::kFailed);
  CHECK(subject.results[1].finish == policy::finish_kind::kNotRun);
  subject.engine.Restore();
  subject.Submit(3, 0, {1});
  subject.events.RunUntil(instant{5s});
  CHECK(subject.results[2].finish == policy::finish_kind::kCompleted);
  CHECK(subject.results[2].usage.cached_tokens == 0);
}

TEST_CASE(
    "an abandoned call frees its slot after the grace period without a "
    "callback") {
  auto subject = fixture{};
  subject.Submit(1, 0, {1});
  subject.engine.Abandon(1);
  CHECK(subject.engine.Running() == 1);
  subject.events.RunUntil(instant{10s});
  CHECK(subject.engine.Running() == 0);
  CHECK(subject.finished.empty());
}

}  // namespace daisywind::experiment
