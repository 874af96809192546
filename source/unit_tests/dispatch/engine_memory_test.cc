#include "dispatch/engine_memory.h"

#include <doctest/doctest.h>

#include <cstdint>

#include "dispatch/placement.h"

namespace daisywind::dispatch {
namespace {

constexpr auto kNow = instant(100s);
constexpr auto kMemory = std::uint64_t{1000};

struct fixture {
  fixture() {
    here.failure_domain = failure_domain_id("near");
    here.region = region_id("r1");
    here.regions = {{failure_domain_id("near"), region_id("r1")}};
    request.service = service_id("s");
    request.is_engine = true;
    request.memory_tokens = kMemory;
  }

  auto Add(const char* id) -> endpoint_id {
    auto entry = endpoint{};
    entry.id = endpoint_id(id);
    entry.service = service_id("s");
    entry.address = "10.0.0.1:80";
    entry.failure_domain = failure_domain_id("near");
    entry.slots = 16;
    table.Put(entry, kNow - 10s);
    return entry.id;
  }

  auto Chosen(std::uint64_t tokens) -> std::string {
    request.tokens = tokens;
    const auto choice = Place(table, request, here, {}, kNow, random);
    return choice ? choice->endpoint.value : "";
  }

  endpoint_table table{endpoint_options{}};
  placement_request request;
  location here;
  random_source random{7};
};

TEST_CASE("a request takes its prompt and the lesser output") {
  auto request = call{};
  request.prompt_tokens = 300;
  request.max_output_tokens = 50;
  CHECK(RequestTokens(request) == 350);
  request.expected_output_tokens = 20;
  CHECK(RequestTokens(request) == 320);
  // A hint above the maximum must not raise the estimate.
  request.expected_output_tokens = 80;
  CHECK(RequestTokens(request) == 350);
}

TEST_CASE("token counts of the largest size do not wrap around") {
  auto request = call{};
  request.prompt_tokens = UINT32_MAX;
  request.max_output_tokens = UINT32_MAX;
  CHECK(RequestTokens(request) == 2 * std::uint64_t{UINT32_MAX});
  CHECK(ExceedsMemory(RequestTokens(request), kMemory));
}

TEST_CASE("only a request above a known memory exceeds it") {
  CHECK_FALSE(ExceedsMemory(kMemory, kMemory));
  CHECK(ExceedsMemory(kMemory + 1, kMemory));
  CHECK_FALSE(ExceedsMemory(kMemory, 0));
}

TEST_CASE_FIXTURE(fixture, "own requests leave out an engine that they fill") {
  const auto id = Add("a");
  for (auto i = 0; i < 3; ++i) {
    CHECK(Chosen(300) == "a");
    table.OnRequestSent(id, kNow, 300);
  }
  CHECK(Chosen(300).empty());
  table.OnRequestEnded(id, 300);
  CHECK(Chosen(300) == "a");
}

TEST_CASE_FIXTURE(fixture, "an engine without memory is passed over") {
  const auto full = Add("full");
  Add("free");
  table.OnRequestSent(full, kNow, 800);
  for (auto i = 0; i < 20; ++i) {
    CHECK(Chosen(200) == "free");
  }
}

TEST_CASE_FIXTURE(fixture, "others' requests count with the mean of own ones") {
  const auto id = Add("a");
  const auto elsewhere = Add("b");
  table.OnRequestSent(elsewhere, kNow, 200);
  // Three requests of other VMs, 600 tokens.
  table.OnReport(id, {2, 1, 16}, kNow);
  CHECK(ExpectedTokens(table, *table.Find(id), 1, 0.0, kNow) ==
        doctest::Approx(600));
  request.excluded.insert(elsewhere);
  CHECK(Chosen(300) == "a");
  CHECK(Chosen(301).empty());
}

TEST_CASE_FIXTURE(fixture, "without own requests the request is the measure") {
  const auto id = Add("a");
  table.OnReport(id, {2, 1, 16}, kNow);
  CHECK(ExpectedTokens(table, *table.Find(id), 150, 0.0, kNow) ==
        doctest::Approx(450));
}

// A memory of zero stands for engines that don't crash, or that state none.
TEST_CASE_FIXTURE(fixture, "without a memory no engine is left out") {
  const auto id = Add("a");
  request.memory_tokens = 0;
  table.OnRequestSent(id, kNow, 5000);
  CHECK(Chosen(5000) == "a");
  CHECK_FALSE(FindMemoryShortage(table, request, kNow));
}

// A tenth of the memory is kept free for errors of the estimate, of which there
// are none at an idle engine.
TEST_CASE_FIXTURE(fixture, "an idle engine takes a request of its whole size") {
  const auto id = Add("a");
  CHECK(Chosen(kMemory) == "a");
  table.OnRequestSent(id, kNow, 10);
  CHECK(Chosen(900).empty());
  CHECK(Chosen(890) == "a");
}

TEST_CASE_FIXTURE(fixture, "full engines are counted as a shortage") {
  const auto full = Add("full");
  const auto fuller = Add("fuller");
  Add("free");
  table.OnRequestSent(full, kNow, 700);
  table.OnRequestSent(fuller, kNow, 900);
  request.tokens = 300;
  const auto shortage = FindMemoryShortage(table, request, kNow);
  REQUIRE(shortage);
  CHECK(shortage->engines == 2);
  CHECK(shortage->least_tokens == doctest::Approx(700));
}

TEST_CASE_FIXTURE(fixture, "a restarted engine starts with an empty memory") {
  const auto id = Add("a");
  table.OnRequestSent(id, kNow, 900);
  auto entry = table.Find(id)->entry;
  entry.started_ms = 2;
  table.Put(entry, kNow);
  CHECK(Chosen(800) == "a");
  // The end of a request to the previous run is not taken off the new one.
  table.OnRequestEnded(id, 900);
  CHECK(table.Find(id)->tokens_in_flight == 0);
}

}  // namespace
}  // namespace daisywind::dispatch
