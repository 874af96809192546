#include "standin/engine_batch.h"

#include <doctest/doctest.h>

namespace daisywind::standin {
namespace {

constexpr auto kOptions = batch_options{1, 10us, 1ms, 1s};

auto Request(std::string id, std::int64_t priority) -> engine_request {
  auto request = engine_request{};
  request.id = std::move(id);
  request.model = "agent";
  request.prompt = std::string(128, 'x');
  request.answer = {"one", " two"};
  request.priority = priority;
  return request;
}

struct fixture {
  // Ticks every 100 us until the given time.
  auto RunUntil(instant end) -> void {
    while (now < end) {
      now += 100us;
      batch.Tick(now);
    }
  }

  prefix_cache cache = prefix_cache(100, true);
  engine_batch batch = engine_batch(kOptions, cache);
  instant now;
};

}  // namespace

TEST_CASE("a batch of capacity 1 runs the lowest priority value first") {
  auto engine = fixture();
  engine.batch.Submit(Request("late", 5), engine.now);
  engine.batch.Submit(Request("early", 1), engine.now);
  engine.batch.Tick(engine.now);
  CHECK(engine.batch.Find("early")->state == run_state::kPrefilling);
  CHECK(engine.batch.Find("late")->state == run_state::kWaiting);
  engine.RunUntil(instant(10ms));
  CHECK(engine.batch.Find("late")->state == run_state::kFinished);
}

TEST_CASE("a repeated prompt uses its cached blocks") {
  auto engine = fixture();
  engine.batch.Submit(Request("first", 0), engine.now);
  engine.RunUntil(instant(10ms));
  engine.batch.Submit(Request("second", 0), engine.now);
  engine.RunUntil(instant(20ms));
  CHECK(engine.batch.Find("first")->cached_tokens == 0);
  CHECK(engine.batch.Find("second")->cached_tokens == 32);
  CHECK(engine.batch.totals() == token_totals{64, 32});
}

TEST_CASE("a request without a reader is cancelled after the grace period") {
  auto engine = fixture();
  auto request = Request("left", 0);
  request.answer.assign(10'000, "word");
  engine.batch.Submit(std::move(request), engine.now);
  engine.batch.Attach("left");
  engine.RunUntil(instant(1500ms));
  CHECK(engine.batch.Find("left")->IsActive());
  engine.batch.Detach("left", engine.now);
  engine.RunUntil(instant(2400ms));
  CHECK(engine.batch.Find("left")->IsActive());
  engine.RunUntil(instant(2600ms));
  CHECK(engine.batch.Find("left")->state == run_state::kCancelled);
  engine.RunUntil(instant(3700ms));
  CHECK(engine.batch.Find("left") == nullptr);
}

TEST_CASE("a request with a known id starts no second run") {
  auto engine = fixture();
  engine.batch.Submit(Request("same", 0), engine.now);
  engine.batch.Tick(engine.now);
  engine.batch.Submit(Request("same", 0), engine.now);
  CHECK(engine.batch.RunningCount() + engine.batch.WaitingCount() == 1);
}

}  // namespace daisywind::standin
