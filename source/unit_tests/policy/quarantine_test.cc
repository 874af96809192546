#include "policy/quarantine.h"

#include <doctest/doctest.h>

namespace daisywind::policy {
namespace {

const auto kCulprit = DigestOf("culprit");
const auto kInnocent = DigestOf("innocent");
const auto kOther = DigestOf("other");
const auto kDomain = failure_domain_id{"a"};

auto Crash(quarantine& crashes,
           const char* endpoint,
           const std::vector<digest>& bodies,
           instant at) -> void {
  crashes.OnCrash(endpoint_id{endpoint}, kDomain, bodies, at);
}

}  // namespace

TEST_CASE("one crash is no evidence") {
  auto crashes = quarantine{};
  Crash(crashes, "e1", {kCulprit}, instant{1s});
  CHECK_FALSE(crashes.IsQuarantined(kCulprit));
  CHECK(crashes.IsSuspect(kCulprit));
}

TEST_CASE("the body common to two crashes is quarantined, its neighbours not") {
  auto crashes = quarantine{};
  Crash(crashes, "e1", {kCulprit, kInnocent}, instant{1s});
  Crash(crashes, "e2", {kCulprit, kOther}, instant{20s});
  CHECK(crashes.IsQuarantined(kCulprit));
  CHECK_FALSE(crashes.IsQuarantined(kInnocent));
  CHECK_FALSE(crashes.IsQuarantined(kOther));
}

TEST_CASE("two bodies that ran in the same crashes are not told apart") {
  auto crashes = quarantine{};
  Crash(crashes, "e1", {kCulprit, kInnocent}, instant{1s});
  Crash(crashes, "e2", {kCulprit, kInnocent}, instant{20s});
  CHECK_FALSE(crashes.IsQuarantined(kInnocent));
  CHECK_FALSE(crashes.IsQuarantined(kCulprit));
  crashes.OnCompleted(kInnocent);
  CHECK(crashes.IsQuarantined(kCulprit));
  CHECK_FALSE(crashes.IsSuspect(kInnocent));
}

TEST_CASE("the loss of a failure domain accuses no body") {
  auto crashes = quarantine{};
  Crash(crashes, "e1", {kInnocent}, instant{1s});
  Crash(crashes, "e2", {kOther}, instant{1s});
  Crash(crashes, "e3", {kCulprit}, instant{1s});
  CHECK_FALSE(crashes.IsSuspect(kInnocent));
  CHECK(crashes.TakeMessage().crashes.empty());
}

TEST_CASE("evidence of two gateways adds up and counts one crash once") {
  auto first = quarantine{};
  auto second = quarantine{};
  Crash(first, "e1", {kCulprit, kInnocent}, instant{1s});
  Crash(second, "e1", {kOther}, instant{1s});
  const auto message = first.TakeMessage();
  second.Merge(message, instant{2s});
  second.Merge(message, instant{3s});
  CHECK_FALSE(second.IsQuarantined(kCulprit));
  Crash(second, "e2", {kCulprit}, instant{20s});
  CHECK(second.IsQuarantined(kCulprit));
  first.Merge(second.TakeMessage(), instant{21s});
  CHECK(first.IsQuarantined(kCulprit));
  CHECK_FALSE(first.IsQuarantined(kInnocent));
}

TEST_CASE("a quarantine lapses") {
  auto crashes = quarantine{};
  Crash(crashes, "e1", {kCulprit}, instant{1s});
  Crash(crashes, "e2", {kCulprit}, instant{20s});
  crashes.Advance(instant{7200s});
  CHECK_FALSE(crashes.IsQuarantined(kCulprit));
}

}  // namespace daisywind::policy
