#include "policy/quarantine.h"

#include <doctest/doctest.h>

namespace daisywind::policy {
namespace {

const auto culprit = DigestOf("culprit");
const auto innocent = DigestOf("innocent");
const auto other = DigestOf("other");
const auto test_domain = failure_domain_id{"a"};

auto Crash(quarantine& crashes,
           const char* endpoint,
           const std::vector<digest>& bodies,
           instant at) -> void {
  crashes.OnCrash(endpoint_id{endpoint}, test_domain, bodies, at);
}

}  // namespace

TEST_CASE("a single crash quarantines no body") {
  auto crashes = quarantine{};
  Crash(crashes, "e1", {culprit}, instant{1s});
  CHECK_FALSE(crashes.IsQuarantined(culprit));
  CHECK(crashes.IsSuspect(culprit));
}

TEST_CASE("only the body common to two crashes is quarantined") {
  auto crashes = quarantine{};
  Crash(crashes, "e1", {culprit, innocent}, instant{1s});
  Crash(crashes, "e2", {culprit, other}, instant{20s});
  CHECK(crashes.IsQuarantined(culprit));
  CHECK_FALSE(crashes.IsQuarantined(innocent));
  CHECK_FALSE(crashes.IsQuarantined(other));
}

TEST_CASE("a completed call decides between two suspected bodies") {
  auto crashes = quarantine{};
  Crash(crashes, "e1", {culprit, innocent}, instant{1s});
  Crash(crashes, "e2", {culprit, innocent}, instant{20s});
  CHECK_FALSE(crashes.IsQuarantined(innocent));
  CHECK_FALSE(crashes.IsQuarantined(culprit));
  crashes.OnCompleted(innocent);
  CHECK(crashes.IsQuarantined(culprit));
  CHECK_FALSE(crashes.IsSuspect(innocent));
}

TEST_CASE("the failure of a whole domain makes no body suspect") {
  auto crashes = quarantine{};
  Crash(crashes, "e1", {innocent}, instant{1s});
  Crash(crashes, "e2", {other}, instant{1s});
  Crash(crashes, "e3", {culprit}, instant{1s});
  CHECK_FALSE(crashes.IsSuspect(innocent));
  CHECK(crashes.TakeMessage().crashes.empty());
}

TEST_CASE("evidence of two gateways is merged and counts a crash once") {
  auto first = quarantine{};
  auto second = quarantine{};
  Crash(first, "e1", {culprit, innocent}, instant{1s});
  Crash(second, "e1", {other}, instant{1s});
  const auto message = first.TakeMessage();
  second.Merge(message, instant{2s});
  second.Merge(message, instant{3s});
  CHECK_FALSE(second.IsQuarantined(culprit));
  Crash(second, "e2", {culprit}, instant{20s});
  CHECK(second.IsQuarantined(culprit));
  first.Merge(second.TakeMessage(), instant{21s});
  CHECK(first.IsQuarantined(culprit));
  CHECK_FALSE(first.IsQuarantined(innocent));
}

TEST_CASE("a quarantine expires") {
  auto crashes = quarantine{};
  Crash(crashes, "e1", {culprit}, instant{1s});
  Crash(crashes, "e2", {culprit}, instant{20s});
  crashes.Advance(instant{7200s});
  CHECK_FALSE(crashes.IsQuarantined(culprit));
}

}  // namespace daisywind::policy
