#include "migration/reconciler_lease.h"

#include <doctest/doctest.h>

namespace daisywind::migration {

TEST_CASE("orders end at the margin before the lease does") {
  const auto options = migration_options{};
  auto lease = reconciler_lease{options};
  lease.On(lease_granted{7, instant{15s}}, instant{});
  CHECK(lease.MayOrder(instant{0s}));
  CHECK(lease.MayOrder(instant{15s} - options.lease_margin - 1us));
  CHECK_FALSE(lease.MayOrder(instant{15s} - options.lease_margin));
}

TEST_CASE("a late answer neither shortens nor revives a lease") {
  auto lease = reconciler_lease{{}};
  auto commands = std::vector<command>{};
  lease.On(lease_granted{7, instant{20s}}, instant{});
  lease.On(lease_granted{7, instant{15s}}, instant{});
  CHECK(lease.MayOrder(instant{12s}));
  lease.Tick(instant{20s}, commands);
  CHECK(lease.fence() == 0);
  lease.On(lease_granted{7, instant{30s}}, instant{});
  CHECK_FALSE(lease.MayOrder(instant{21s}));
  lease.On(lease_granted{9, instant{40s}}, instant{});
  CHECK(lease.MayOrder(instant{21s}));
}

TEST_CASE("a lost answer changes nothing until the lease ends") {
  auto lease = reconciler_lease{{}};
  lease.On(lease_granted{7, instant{15s}}, instant{});
  lease.On(lease_outcome_unknown{});
  CHECK(lease.MayOrder(instant{10s}));
}

TEST_CASE("a greater fencing number ends the lease") {
  auto lease = reconciler_lease{{}};
  lease.On(lease_granted{7, instant{15s}}, instant{});
  lease.OnGreaterFence(6);
  CHECK(lease.MayOrder(instant{1s}));
  lease.OnGreaterFence(8);
  CHECK_FALSE(lease.MayOrder(instant{1s}));
}

TEST_CASE("few VMs of a large fleet try to acquire the lease") {
  auto input = members{};
  for (auto i = 0; i < 100; ++i) {
    input.live.emplace_back("vm-" + std::to_string(i));
  }
  auto candidates = 0;
  for (const auto& vm : input.live) {
    auto lease = reconciler_lease{{}};
    auto commands = std::vector<command>{};
    input.self = vm;
    lease.On(input);
    lease.Tick(instant{1s}, commands);
    candidates += static_cast<int>(commands.size());
  }
  CHECK(candidates == 3);
}

TEST_CASE("a stopped VM gives the lease back and does not take it again") {
  auto lease = reconciler_lease{{}};
  auto commands = std::vector<command>{};
  lease.On(lease_granted{7, instant{15s}}, instant{});
  lease.Stop(commands);
  CHECK(commands == std::vector<command>{release_lease{7}});
  commands.clear();
  lease.Tick(instant{60s}, commands);
  lease.On(lease_granted{9, instant{90s}}, instant{});
  CHECK(commands.empty());
  CHECK_FALSE(lease.MayOrder(instant{61s}));
}

}  // namespace daisywind::migration
