#include "dispatch/program_starts.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

namespace daisywind::dispatch {
namespace {

constexpr auto kNow = instant(100s);
constexpr auto kTurnTokens = std::uint64_t{700};

auto Stream() -> route {
  auto item = route{};
  item.kind = route_kind::kStream;
  return item;
}

// A request whose prompt has the shared part and one of its own.
auto Request(std::uint32_t own_tokens) -> call {
  auto request = call{};
  request.prompt = {{prompt_part_id("shared"), 2560},
                    {prompt_part_id("own"), own_tokens}};
  return request;
}

auto IsStart(const program_starts& starts,
             const call& request,
             const route& from = Stream(),
             std::string_view program = "p") -> bool {
  return starts.IsStart(request, from, program, kTurnTokens);
}

TEST_CASE("the first turn of a program is its start") {
  auto starts = program_starts();
  CHECK(IsStart(starts, Request(600)));
  CHECK(IsStart(starts, call{}));
  starts.OnRequest("p", true, kNow);
  CHECK_FALSE(IsStart(starts, Request(600)));
  CHECK(IsStart(starts, Request(600), Stream(), "q"));
}

// Guards against programs that are refused half-way because their earlier
// turns went through other fronts.
TEST_CASE("a turn of a program that began elsewhere is no start") {
  const auto starts = program_starts();
  CHECK_FALSE(IsStart(starts, Request(2 * kTurnTokens + 1)));
  // A second turn of a short first one.
  CHECK_FALSE(IsStart(starts, Request(3 * kTurnTokens / 2)));
  auto continuing = Request(600);
  continuing.previous_turn = "t";
  CHECK_FALSE(IsStart(starts, continuing));
  // A sub-agent's prompt contains its parent's.
  auto sub_agent = Request(600);
  sub_agent.prompt.push_back({prompt_part_id("sub"), 100});
  CHECK_FALSE(IsStart(starts, sub_agent));
}

TEST_CASE("without a mean growth a turn's length says nothing") {
  const auto starts = program_starts();
  CHECK(starts.IsStart(Request(99'999), Stream(), "p", std::nullopt));
  auto stored = Stream();
  stored.stores_turns = true;
  CHECK(IsStart(starts, Request(99'999), stored));
}

TEST_CASE("calls and requests without a program start none") {
  const auto starts = program_starts();
  auto call_route = route{};
  for (const auto kind : {route_kind::kOnce, route_kind::kIdempotent}) {
    call_route.kind = kind;
    CHECK_FALSE(IsStart(starts, Request(600), call_route));
  }
  CHECK_FALSE(IsStart(starts, Request(600), Stream(), ""));
}

TEST_CASE("the requests of a program are averaged over the last minutes") {
  auto starts = program_starts();
  CHECK(starts.RequestsPerProgram() == 1.0);
  auto now = kNow;
  const auto run = [&](int programs, int requests) {
    for (auto program = 0; program < programs; ++program) {
      for (auto i = 0; i < requests; ++i) {
        now += 10ms;
        starts.OnRequest("p" + std::to_string(program), i == 0, now);
      }
    }
  };
  run(100, 5);
  CHECK(starts.RequestsPerProgram() == doctest::Approx(5).epsilon(0.1));
  now += 600s;
  run(100, 2);
  CHECK(starts.RequestsPerProgram() == doctest::Approx(2).epsilon(0.1));
}

// Guards against requests without a program, which would lower the number of
// programs that are let in.
TEST_CASE("requests without a program don't count") {
  auto starts = program_starts();
  starts.OnRequest("p", true, kNow);
  for (auto i = 0; i < 100; ++i) {
    starts.OnRequest("", false, kNow);
  }
  CHECK(starts.RequestsPerProgram() == 1.0);
}

// Guards against memory that grows with the number of programs.
TEST_CASE("programs that were not seen for long are forgotten") {
  auto starts = program_starts();
  starts.OnRequest("old", true, kNow);
  starts.OnRequest("kept", true, kNow);
  for (auto i = std::size_t{1}; i < program_starts::kMaxPrograms; ++i) {
    starts.OnRequest("kept", false, kNow);
    starts.OnRequest("p" + std::to_string(i), true, kNow);
  }
  CHECK(IsStart(starts, Request(600), Stream(), "old"));
  CHECK_FALSE(IsStart(starts, Request(600), Stream(), "kept"));
}

// Guards against a limit below what the programs that are let in need.
TEST_CASE("as many programs are let in as the request limit lets finish") {
  auto of = organisation{};
  of.requests_per_second = 50;
  of.burst = 100;
  const auto limit = ProgramLimit(of, 5.0);
  CHECK(limit.per_second >= 10);
  CHECK(limit.per_second < 15);
  CHECK(limit.burst >= 20);
  CHECK(limit.burst < 30);
}

}  // namespace
}  // namespace daisywind::dispatch
