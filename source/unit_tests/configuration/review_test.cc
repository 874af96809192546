#include "configuration/review.h"

#include <doctest/doctest.h>

#include "sample_document.h"

namespace daisywind::configuration {

// Guards against warnings on a configuration that is in order.
TEST_CASE("a document without questionable entries has no findings") {
  CHECK(ReviewDocument(SampleDocument()).empty());
}

TEST_CASE("entries without effect are found") {
  auto value = SampleDocument();
  value.models[model_id("planner")] = {"1"};
  value.services[service_id("a/b")] = {};
  value.endpoints.at(endpoint_id("cart-1")).address = "127.0.0.1:9001";
  value.organisations[organisation_id("inzira")] =
      value.organisations.at(organisation_id("choclo"));
  CHECK(ReviewDocument(value) ==
        std::vector<review_finding>{
            {"/endpoints/cart-1/address", "is the address of 'agent-1'"},
            {"/models/planner", "no serving endpoint lists it"},
            {"/organisations/inzira/key_digest", "has the key of 'choclo'"},
            {"/services/a~1b", "no serving endpoint lists it"}});
}

TEST_CASE("limits that contradict each other are found") {
  auto value = SampleDocument();
  auto& item = value.organisations.at(organisation_id("choclo"));
  item.limits->tokens_per_second = 0;
  item.limits->calls_per_second = 0.02;
  CHECK(ReviewDocument(value) ==
        std::vector<review_finding>{
            {"/organisations/choclo/budget/calls",
             "is more than 'calls_per_second' allows in the budget's seconds"},
            {"/organisations/choclo/limits/tokens_per_second",
             "is zero, which means no limit"}});
}

}  // namespace daisywind::configuration
