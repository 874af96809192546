#include "dispatch/prompt_growth.h"

#include <doctest/doctest.h>

#include <string>

namespace daisywind::dispatch {
namespace {

auto Part(const std::string& id, std::uint32_t tokens) -> prompt_part {
  return {prompt_part_id(id), tokens};
}

auto Route(const char* id) -> route_id {
  return route_id(id);
}

TEST_CASE("the growth is unknown until a session has two turns") {
  auto growth = prompt_growth();
  CHECK_FALSE(growth.Mean(Route("r")));
  growth.Observe(Route("r"), Part("a", 500));
  growth.Observe(Route("r"), Part("b", 900));
  CHECK_FALSE(growth.Mean(Route("r")));
  growth.Observe(Route("r"), Part("a", 1100));
  CHECK(growth.Mean(Route("r")) == 600U);
  CHECK_FALSE(growth.Mean(Route("other")));
}

// Guards against retries that pull the mean towards zero, which would have a
// home taken to have more of a prompt cached than it has.
TEST_CASE("a repeated or shorter prompt is no growth") {
  auto growth = prompt_growth();
  growth.Observe(Route("r"), Part("a", 500));
  growth.Observe(Route("r"), Part("a", 1100));
  for (auto i = 0; i < 100; ++i) {
    growth.Observe(Route("r"), Part("a", 1100));
    growth.Observe(Route("r"), Part("a", 300));
  }
  CHECK(growth.Mean(Route("r")) == 600U);
}

// Guards against a mean that stays at what the first sessions did.
TEST_CASE("the mean follows the traffic and no single turn") {
  auto growth = prompt_growth();
  const auto observe = [&](int session, std::uint32_t added) {
    const auto id = std::to_string(session);
    growth.Observe(Route("r"), Part(id, 100));
    growth.Observe(Route("r"), Part(id, 100 + added));
  };
  auto session = 0;
  observe(session++, 1000);
  observe(session++, 200);
  CHECK(*growth.Mean(Route("r")) > 900);
  for (auto i = 0; i < 200; ++i) {
    observe(session++, 200);
  }
  CHECK(*growth.Mean(Route("r")) >= 200);
  CHECK(*growth.Mean(Route("r")) < 210);
}

// Guards against memory that grows with the number of sessions.
TEST_CASE("sessions that were not seen for long are forgotten") {
  auto growth = prompt_growth();
  growth.Observe(Route("r"), Part("old", 500));
  for (auto i = std::size_t{0}; i < prompt_growth::kMaxSessions; ++i) {
    growth.Observe(Route("r"), Part("s" + std::to_string(i), 500));
  }
  growth.Observe(Route("r"), Part("old", 900));
  CHECK_FALSE(growth.Mean(Route("r")));
}

}  // namespace
}  // namespace daisywind::dispatch
