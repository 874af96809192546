// Rules of routing and of orders, on endpoint tables built by hand.
#include <doctest/doctest.h>

#include <string>

#include "migration/migration_system.h"
#include "migration/order_planner.h"
#include "migration/routing_rules.h"

namespace daisywind::migration {
namespace {

constexpr auto kNow = instant{100s};
constexpr auto kAuthority = order_authority{7, instant{50s}};

auto Agent() -> model_id {
  return model_id{"agent"};
}

auto Endpoint(const std::string& name, endpoint_role role) -> wanted_endpoint {
  auto endpoint = wanted_endpoint{};
  endpoint.id = endpoint_id{name};
  endpoint.failure_domain = failure_domain_id{"cordoba-a"};
  endpoint.role = role;
  endpoint.models = {Agent()};
  return endpoint;
}

struct fixture {
  wanted_state wanted;
  endpoint_table table;
  migration_options options;

  auto SetWanted(const std::vector<wanted_endpoint>& endpoints) -> void {
    ++wanted.version;
    wanted.model_versions = {{Agent(), "1"}};
    wanted.endpoints = endpoints;
    ApplyWanted(table, wanted, instant{});
  }

  auto Report(const std::string& name, const engine_report& report, instant at)
      -> void {
    ApplyReport(table.at(endpoint_id{name}), {endpoint_id{name}, report, at},
                options);
  }

  auto Routing(const std::string& name) -> routing_reason {
    MarkRetainedEndpoints(table, wanted, kNow, options);
    return DecideRouting(table.at(endpoint_id{name}), kNow, options).reason;
  }

  auto Plan() -> std::vector<planned_order> {
    MarkRetainedEndpoints(table, wanted, kNow, options);
    return PlanOrders(table, wanted, kAuthority, kNow, options);
  }
};

auto Loaded(const std::string& version, endpoint_role role) -> engine_report {
  auto report = engine_report{};
  report.models = {{Agent(), version}};
  report.role = role;
  return report;
}

}  // namespace

TEST_CASE("any sign of leaving closes an endpoint to new work") {
  auto f = fixture{};
  f.SetWanted({Endpoint("a", endpoint_role::kServing)});
  CHECK(f.Routing("a") == routing_reason::kNotSeen);
  f.Report("a", Loaded("1", endpoint_role::kServing), kNow);
  CHECK(f.Routing("a") == routing_reason::kOpen);
  f.table.at(endpoint_id{"a"}).refused_at = kNow;
  CHECK(f.Routing("a") == routing_reason::kLeavingByRefusal);
  f.Report("a", Loaded("1", endpoint_role::kServing), kNow + 1s);
  CHECK(f.Routing("a") == routing_reason::kOpen);
  f.Report("a", Loaded("1", endpoint_role::kDraining), kNow + 2s);
  CHECK(f.Routing("a") == routing_reason::kLeavingByRefusal);
  ApplyVmList(f.table, {{endpoint_id{"a"}}});
  CHECK(f.Routing("a") == routing_reason::kLeavingByVmList);
  f.SetWanted({});
  CHECK(f.Routing("a") == routing_reason::kNotConfigured);
}

TEST_CASE("a late report does not replace a newer one") {
  auto f = fixture{};
  f.SetWanted({Endpoint("a", endpoint_role::kEmpty)});
  f.Report("a", Loaded("1", endpoint_role::kServing), kNow);
  f.Report("a", engine_report{}, kNow - 1s);
  CHECK_FALSE(IsEmpty(f.table.at(endpoint_id{"a"}).observed->report));
}

TEST_CASE("a new model version is loaded without falling below the need") {
  auto f = fixture{};
  f.SetWanted({Endpoint("a", endpoint_role::kServing),
               Endpoint("b", endpoint_role::kServing),
               Endpoint("c", endpoint_role::kServing)});
  f.wanted.need = {{"agent", 2}};
  f.wanted.model_versions = {{Agent(), "2"}};
  for (const auto* name : {"a", "b", "c"}) {
    f.Report(name, Loaded("1", endpoint_role::kServing), kNow);
  }
  const auto orders = f.Plan();
  REQUIRE(orders.size() == 1);
  CHECK(orders.front().is_disruptive);
  CHECK(f.Routing("a") == routing_reason::kOpen);
}

TEST_CASE("loads are distributed among failure domains") {
  auto f = fixture{};
  auto endpoints = std::vector<wanted_endpoint>{};
  for (const auto* name : {"a", "b", "c", "d", "e", "f"}) {
    endpoints.push_back(Endpoint(name, endpoint_role::kServing));
  }
  endpoints[4].failure_domain = failure_domain_id{"rosario-a"};
  endpoints[5].failure_domain = failure_domain_id{"rosario-a"};
  f.SetWanted(endpoints);
  auto empty = engine_report{};
  empty.role = endpoint_role::kEmpty;
  for (const auto& endpoint : endpoints) {
    f.Report(endpoint.id.value, empty, kNow);
  }
  const auto orders = f.Plan();
  REQUIRE(orders.size() == f.options.max_concurrent_loads);
  auto names = std::string{};
  for (const auto& order : orders) {
    names += order.endpoint.value;
  }
  CHECK(names == "aebf");
}

TEST_CASE("a reconciler with an older configuration sends no orders") {
  auto f = fixture{};
  f.SetWanted({Endpoint("a", endpoint_role::kServing)});
  auto report = Loaded("2", endpoint_role::kDraining);
  report.version = f.wanted.version + 1;
  f.Report("a", report, kNow);
  CHECK(f.Plan().empty());
}

TEST_CASE("reports from before the lease grant are not acted on") {
  auto f = fixture{};
  f.SetWanted({Endpoint("a", endpoint_role::kServing)});
  f.table.at(endpoint_id{"a"}).read_interval = 100s;
  f.Report("a", Loaded("2", endpoint_role::kServing), instant{49s});
  CHECK(f.Plan().empty());
  f.Report("a", Loaded("2", endpoint_role::kServing), instant{51s});
  CHECK(f.Plan().size() == 1);
}

TEST_CASE("the effect of another reconciler's order is corrected") {
  auto f = fixture{};
  f.SetWanted({Endpoint("a", endpoint_role::kServing)});
  auto report = Loaded("1", endpoint_role::kServing);
  f.Report("a", report, kNow);
  CHECK(f.Plan().empty());
  report.role = endpoint_role::kEmpty;
  f.Report("a", report, kNow);
  REQUIRE(f.Plan().size() == 1);
  CHECK(f.Plan().front().wanted.role == endpoint_role::kServing);
}

TEST_CASE("an engine that checks fencing gets a new fencing number at once") {
  auto f = fixture{};
  auto endpoint = Endpoint("a", endpoint_role::kServing);
  endpoint.checks_fencing = true;
  f.SetWanted({endpoint});
  auto report = Loaded("1", endpoint_role::kServing);
  report.fence = kAuthority.fence - 1;
  f.Report("a", report, kNow);
  CHECK(f.Plan().size() == 1);
  report.fence = kAuthority.fence;
  f.Report("a", report, kNow);
  CHECK(f.Plan().empty());
}

TEST_CASE("the configured role draining is not reverted to meet the need") {
  auto f = fixture{};
  f.SetWanted({Endpoint("a", endpoint_role::kDraining)});
  f.wanted.need = {{"agent", 1}};
  f.Report("a", Loaded("1", endpoint_role::kServing), kNow);
  CHECK(f.Routing("a") == routing_reason::kOpen);
  f.Report("a", Loaded("1", endpoint_role::kDraining), kNow);
  CHECK(f.Routing("a") == routing_reason::kLeavingByConfiguration);
  CHECK(f.Plan().empty());
}

TEST_CASE("an older configuration version is ignored") {
  auto system = migration_system{{}};
  auto wanted = wanted_state{};
  wanted.version = 5;
  system.Handle(wanted_changed{wanted, {}}, kNow);
  wanted.version = 4;
  wanted.endpoints = {Endpoint("a", endpoint_role::kEmpty)};
  system.Handle(wanted_changed{wanted, {}}, kNow);
  CHECK(system.Progress(kNow).version == 5);
  CHECK(system.Progress(kNow).endpoints.empty());
}

TEST_CASE("a plain service is shown to be empty without orders") {
  auto system = migration_system{{}};
  auto wanted = wanted_state{};
  wanted.version = 1;
  auto cart = wanted_endpoint{};
  cart.id = endpoint_id{"cart-1"};
  cart.kind = endpoint_kind::kService;
  cart.role = endpoint_role::kEmpty;
  cart.services = {"cart"};
  wanted.endpoints = {cart};
  system.Handle(wanted_changed{wanted, {}}, kNow);
  system.Tick(kNow);
  auto report = engine_report{};
  report.running = 1;
  system.Handle(engine_state{cart.id, report, kNow + 4s}, kNow + 4s);
  CHECK_FALSE(system.Progress(kNow + 4s).is_evacuation_complete);
  report.running = 0;
  system.Handle(engine_state{cart.id, report, kNow + 5s}, kNow + 5s);
  CHECK(system.Progress(kNow + 5s).is_evacuation_complete);
  CHECK_FALSE(system.Progress(kNow + 60s).is_evacuation_complete);
}

}  // namespace daisywind::migration
