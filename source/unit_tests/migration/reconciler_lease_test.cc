#include "migration/reconciler_lease.h"

#include <doctest/doctest.h>

namespace daisywind::migration {

TEST_CASE("no order may be sent in the margin before the lease ends") {
  const auto options = migration_options{};
  auto lease = reconciler_lease{options};
  lease.On(lease_granted{7, instant{15s}}, instant{});
  CHECK(lease.CanSendOrders(instant{0s}));
  CHECK(lease.CanSendOrders(instant{15s} - options.lease_margin - 1us));
  CHECK_FALSE(lease.CanSendOrders(instant{15s} - options.lease_margin));
}

TEST_CASE("a late response neither shortens nor revives a lease") {
  auto lease = reconciler_lease{{}};
  auto commands = std::vector<command>{};
  lease.On(lease_granted{7, instant{20s}}, instant{});
  lease.On(lease_granted{7, instant{15s}}, instant{});
  CHECK(lease.CanSendOrders(instant{12s}));
  lease.Tick(instant{20s}, commands);
  CHECK(lease.fence() == 0);
  lease.On(lease_granted{7, instant{30s}}, instant{});
  CHECK_FALSE(lease.CanSendOrders(instant{21s}));
  lease.On(lease_granted{9, instant{40s}}, instant{});
  CHECK(lease.CanSendOrders(instant{21s}));
}

TEST_CASE("an unknown outcome leaves the lease in force until its end") {
  auto lease = reconciler_lease{{}};
  lease.On(lease_granted{7, instant{15s}}, instant{});
  lease.On(lease_outcome_unknown{});
  CHECK(lease.CanSendOrders(instant{10s}));
}

TEST_CASE("a greater fencing number ends the lease") {
  auto lease = reconciler_lease{{}};
  lease.On(lease_granted{7, instant{15s}}, instant{});
  lease.OnFenceSeen(6);
  CHECK(lease.CanSendOrders(instant{1s}));
  lease.OnFenceSeen(8);
  CHECK_FALSE(lease.CanSendOrders(instant{1s}));
}

TEST_CASE("only three VMs of a large fleet try to acquire the lease") {
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

TEST_CASE("a stopped VM releases the lease and does not acquire it again") {
  auto lease = reconciler_lease{{}};
  auto commands = std::vector<command>{};
  lease.On(lease_granted{7, instant{15s}}, instant{});
  lease.Stop(commands);
  CHECK(commands == std::vector<command>{release_lease{7}});
  commands.clear();
  lease.Tick(instant{60s}, commands);
  lease.On(lease_granted{9, instant{90s}}, instant{});
  CHECK(commands.empty());
  CHECK_FALSE(lease.CanSendOrders(instant{61s}));
}

}  // namespace daisywind::migration
