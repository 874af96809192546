#include "policy/cache_view.h"

#include <doctest/doctest.h>

namespace daisywind::policy {
namespace {

const auto prompt = std::vector<prefix_block>{{1, 100}, {2, 200}, {3, 300}};

}  // namespace

TEST_CASE("the endpoint with the longest cached prefix comes first") {
  auto view = cache_view{};
  view.Store(4, std::span{prompt}.first(1), instant{1s});
  view.Store(7, prompt, instant{1s});
  const auto expected = std::vector<cache_holder>{{7, 300.0}, {4, 100.0}};
  CHECK(view.Holders(prompt, 8) == expected);
  CHECK(view.Holders(prompt, 1).size() == 1);
}

TEST_CASE("a removed block is no longer counted") {
  auto view = cache_view{};
  view.Store(7, prompt, instant{1s});
  const auto events =
      std::vector<cache_event>{{1, cache_event_kind::kRemoved, {3}}};
  view.Apply(7, events, instant{2s});
  CHECK(view.Holders(prompt, 8).front() == cache_holder{7, 200.0});
}

TEST_CASE("after a gap in the events older entries count half") {
  auto view = cache_view{};
  view.Store(7, prompt, instant{1s});
  const auto before =
      std::vector<cache_event>{{1, cache_event_kind::kStored, {9}}};
  const auto after =
      std::vector<cache_event>{{5, cache_event_kind::kStored, {10}}};
  view.Apply(7, before, instant{2s});
  CHECK(view.Holders(prompt, 8).front() == cache_holder{7, 300.0});
  view.Apply(7, after, instant{3s});
  CHECK(view.Holders(prompt, 8).front() == cache_holder{7, 150.0});
  view.Store(7, prompt, instant{4s});
  CHECK(view.Holders(prompt, 8).front() == cache_holder{7, 300.0});
}

TEST_CASE("a cleared cache holds nothing") {
  auto view = cache_view{};
  view.Store(7, prompt, instant{1s});
  const auto events =
      std::vector<cache_event>{{1, cache_event_kind::kCleared, {}}};
  view.Apply(7, events, instant{2s});
  CHECK(view.Holders(prompt, 8).empty());
}

}  // namespace daisywind::policy
