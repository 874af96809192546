#include "history/fact_replica.h"

#include <doctest/doctest.h>

#include <variant>

namespace daisywind::history {
namespace {

auto View(view_number number) -> view {
  return {number,
          {{vm_id("a"), disk_id("1"), "a:1", failure_domain_id(""),
            region_id("")}}};
}

auto Begin(const char* turn, std::uint32_t tokens) -> begin_request {
  return {program_name("p"), turn_id(turn), turn_id(""), tokens, true};
}

TEST_CASE("a begin is to be put on disk before its answer") {
  auto state = fact_replica{};
  const auto effect = state.Handle({1, 0, Begin("t1", 50)}, 1234);
  REQUIRE(effect.to_persist.size() == 1);
  CHECK(effect.to_persist.front().reserved_tokens == 50);
  CHECK(effect.to_persist.front().recorded_ms == 1234);
  CHECK(std::get<begin_reply>(*effect.reply).spent.empty());
}

TEST_CASE("the later of two reservations sees the earlier one") {
  auto state = fact_replica{};
  state.Handle({1, 0, Begin("t1", 50)}, 1);
  const auto effect = state.Handle({2, 0, Begin("t2", 50)}, 1);
  CHECK(std::get<begin_reply>(*effect.reply).spent ==
        std::vector<spending>{{turn_id("t1"), 50}});
}

TEST_CASE("a request of an older view is refused with the newer one") {
  auto state = fact_replica{};
  state.Adopt(View(5));
  const auto effect = state.Handle({1, 4, Begin("t1", 50)}, 1);
  CHECK(effect.to_persist.empty());
  CHECK(std::get<stale_view>(*effect.reply).newest == View(5));
  CHECK(state.facts().size() == 0);
}

TEST_CASE("once a newer view's request was served, an older one's is not") {
  auto state = fact_replica{};
  state.Adopt(View(5));
  CHECK(std::holds_alternative<begin_reply>(
      *state.Handle({1, 6, Begin("t1", 50)}, 1).reply));
  CHECK(std::holds_alternative<stale_view>(
      *state.Handle({2, 5, Begin("t2", 50)}, 1).reply));
}

TEST_CASE("an older view is not adopted") {
  auto state = fact_replica{};
  state.Adopt(View(5));
  state.Adopt(View(4));
  CHECK(state.current().number == 5);
}

TEST_CASE("an incomplete copy says so") {
  auto state = fact_replica{};
  auto effect = state.Handle({1, 0, read_request{turn_id("t")}}, 1);
  CHECK_FALSE(std::get<read_reply>(*effect.reply).is_complete);
  state.SetComplete(1);
  effect = state.Handle({2, 0, read_request{turn_id("t")}}, 1);
  CHECK(std::get<read_reply>(*effect.reply).is_complete);
}

TEST_CASE("a pull is answered in any view") {
  auto state = fact_replica{};
  state.Handle({1, 0, Begin("t1", 50)}, 1);
  state.Adopt(View(5));
  auto effect = state.Handle({2, 3, list_request{}}, 1);
  const auto hashes = std::get<list_reply>(*effect.reply).hashes;
  REQUIRE(hashes.size() == 1);
  effect = state.Handle({3, 3, pull_request{hashes}}, 1);
  CHECK(std::get<pull_reply>(*effect.reply).facts.size() == 1);
}

TEST_CASE("a record that stands for a sync adds no fact") {
  auto state = fact_replica{};
  state.Restore({turn_fact{}});
  CHECK(state.facts().size() == 0);
}

}  // namespace
}  // namespace daisywind::history
