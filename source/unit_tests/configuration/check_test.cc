#include "configuration/check.h"

#include <doctest/doctest.h>

#include "sample_document.h"

namespace daisywind::configuration {
namespace {

auto Check(const document& value) -> std::string {
  return ErrorOf([&] { return CheckDocument(value); });
}

}  // namespace

TEST_CASE("a valid document passes validation") {
  CHECK(Check(SampleDocument()).empty());
}

TEST_CASE("a document with fewer serving endpoints than needed is rejected") {
  for (const auto role : {endpoint_role::kDraining, endpoint_role::kEmpty}) {
    auto value = SampleDocument();
    value.endpoints.at(endpoint_id("agent-1")).role = role;
    CHECK(Check(value) ==
          "/need/agent: requires at least 1 serving endpoints, but the "
          "document has 0");
  }
  auto value = SampleDocument();
  value.endpoints.erase(endpoint_id("cart-1"));
  CHECK(Check(value) ==
        "/need/cart: requires at least 1 serving endpoints, but the document "
        "has 0");
}

TEST_CASE("references to undefined members are rejected") {
  auto value = SampleDocument();
  auto& engine = value.endpoints.at(endpoint_id("agent-1"));
  engine.domain = failure_domain_id("huye-a");
  CHECK(
      Check(value) ==
      "/endpoints/agent-1/failure_domain: refers to a failure domain that this "
      "document does not define");
  engine.domain = failure_domain_id("cordoba-a");
  engine.models.insert(model_id("planner"));
  CHECK(Check(value) ==
        "/endpoints/agent-1/models: refers to 'planner', which this document "
        "does not define");
  value = SampleDocument();
  value.adapters.at(adapter_id("combos")).base = model_id("planner");
  CHECK(Check(value) ==
        "/adapters/combos/model: refers to a model that this document does not "
        "define");
  value = SampleDocument();
  value.need["planner"] = 0;
  CHECK(Check(value) ==
        "/need/planner: refers to a model or service that this document does "
        "not define");
  value = SampleDocument();
  value.endpoints.at(endpoint_id("cart-1")).models.insert(model_id("agent"));
  CHECK(Check(value) ==
        "/endpoints/cart-1/models: must be empty for an endpoint of kind "
        "'service'");
}

}  // namespace daisywind::configuration
