#include "dispatch/limit_share.h"

#include <doctest/doctest.h>

#include <string>

namespace daisywind::dispatch {
namespace {

auto Senders(int count, const char* domain, const char* region)
    -> std::vector<vm_location> {
  auto senders = std::vector<vm_location>{};
  for (auto i = 0; i < count; ++i) {
    senders.push_back({vm_id(std::string(domain) + std::to_string(i)),
                       failure_domain_id(domain), region_id(region)});
  }
  return senders;
}

auto Place(endpoint_key key) -> endpoint_place {
  return {key, failure_domain_id("d"), region_id("r")};
}

TEST_CASE("the parts of an endpoint's limit add up to the limit") {
  for (const auto count : {1, 2, 3, 4, 9, 50}) {
    const auto senders = Senders(count, "d", "r");
    for (auto key = endpoint_key{1}; key <= 20; ++key) {
      auto total = 0.0;
      auto shares = 0;
      for (const auto& sender : senders) {
        const auto share = LimitShare(Place(key), senders, sender.vm);
        total += share;
        shares += share > 0 ? 1 : 0;
      }
      CHECK(total == doctest::Approx(1.0));
      CHECK(shares <= 4);
    }
  }
}

TEST_CASE("senders close to the endpoint come first") {
  const auto near = Senders(1, "d", "r");
  const auto same_region = Senders(1, "e", "r");
  const auto far = Senders(1, "f", "s");
  auto senders = far;
  CHECK(LimitShare(Place(1), senders, far[0].vm) == 1.0);
  senders.push_back(same_region[0]);
  CHECK(LimitShare(Place(1), senders, far[0].vm) == 0.0);
  CHECK(LimitShare(Place(1), senders, same_region[0].vm) == 1.0);
  senders.push_back(near[0]);
  CHECK(LimitShare(Place(1), senders, same_region[0].vm) == 0.0);
  CHECK(LimitShare(Place(1), senders, near[0].vm) == 1.0);
}

TEST_CASE("a VM that is not among the senders has no part") {
  CHECK(LimitShare(Place(1), Senders(2, "d", "r"), vm_id("x")) == 0.0);
  CHECK(LimitShare(Place(1), {}, vm_id("x")) == 0.0);
}

}  // namespace
}  // namespace daisywind::dispatch
