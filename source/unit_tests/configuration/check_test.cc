#include "configuration/check.h"

#include <doctest/doctest.h>

#include "sample_document.h"

namespace daisywind::configuration {
namespace {

auto Check(const document& value) -> std::string {
  return ErrorOf([&] { return CheckDocument(value); });
}

}  // namespace

TEST_CASE("a sound document passes") {
  CHECK(Check(SampleDocument()).empty());
}

TEST_CASE("capacity never falls under what is needed") {
  for (const auto role : {endpoint_role::kDraining, endpoint_role::kEmpty}) {
    auto value = SampleDocument();
    value.endpoints.at(endpoint_id("agent-1")).role = role;
    CHECK(Check(value) ==
          "/need/agent: needs 1 serving endpoints, the document has 0");
  }
  auto value = SampleDocument();
  value.endpoints.erase(endpoint_id("cart-1"));
  CHECK(Check(value) ==
        "/need/cart: needs 1 serving endpoints, the document has 0");
}

TEST_CASE("references lead to what the document has") {
  auto value = SampleDocument();
  auto& engine = value.endpoints.at(endpoint_id("agent-1"));
  engine.domain = failure_domain_id("huye-a");
  CHECK(Check(value) ==
        "/endpoints/agent-1/failure_domain: names no failure "
        "domain of this document");
  engine.domain = failure_domain_id("cordoba-a");
  engine.models.insert(model_id("planner"));
  CHECK(Check(value) ==
        "/endpoints/agent-1/models: names 'planner', which is "
        "not in this document");
  value = SampleDocument();
  value.adapters.at(adapter_id("combos")).base = model_id("planner");
  CHECK(Check(value) ==
        "/adapters/combos/model: names no model of this document");
  value = SampleDocument();
  value.need["planner"] = 0;
  CHECK(Check(value) ==
        "/need/planner: names no model or service of this "
        "document");
  value = SampleDocument();
  value.endpoints.at(endpoint_id("cart-1")).models.insert(model_id("agent"));
  CHECK(Check(value) == "/endpoints/cart-1/models: a service has no models");
}

}  // namespace daisywind::configuration
