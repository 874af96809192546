#include "configuration/document.h"

#include <doctest/doctest.h>

#include <string>

#include "sample_document.h"

namespace daisywind::configuration {
namespace {

auto ErrorOfText(std::string text,
                 const std::string& from,
                 const std::string& to) -> std::string {
  text.replace(text.find(from), from.size(), to);
  return ErrorOf([&]() -> leaf::result<void> {
    BOOST_LEAF_CHECK(ParseDocument(text));
    return {};
  });
}

auto ErrorOfSample(const std::string& from, const std::string& to)
    -> std::string {
  return ErrorOfText(SampleText(), from, to);
}

}  // namespace

TEST_CASE("a document round-trips through JSON") {
  const auto value = SampleDocument();
  CHECK(ParseDocument(Serialize(value)).value() == value);
  CHECK(value.endpoints.at(endpoint_id("agent-1")).checks_fencing);
  CHECK(value.organisations.at(organisation_id("choclo")).budget->tokens ==
        500000);
  CHECK(Serialize(ParseDocument(Serialize(value)).value()) == Serialize(value));
}

TEST_CASE("every error contains the path of the member") {
  CHECK(ErrorOfSample(R"("serving")", R"("servng")") ==
        "/endpoints/agent-1/role: must be one of serving, draining, empty");
  CHECK(ErrorOfSample(R"("capacity": 8)", R"("capacity": 0)")
            .starts_with("/endpoints/agent-1/capacity: must be from 1"));
  CHECK(ErrorOfSample(R"("capacity": 8)", R"("capacity": 1.5)") ==
        "/endpoints/agent-1/capacity: must be an integer");
  CHECK(ErrorOfSample(R"("capacity": 8,)", R"("capcity": 8,)") ==
        "/endpoints/agent-1/capcity: is an unknown member");
  CHECK(ErrorOfSample(R"("share": 1.0)", R"("share": 0)") ==
        "/organisations/choclo/share: must be greater than zero");
  CHECK(ErrorOfSample(R"("0123456789abcdef)", R"("x123456789abcdef)") ==
        "/organisations/choclo/key_digest: must be 64 lower-case hexadecimal "
        "digits");
  CHECK(ErrorOfSample(R"(["agent"])", R"(["agent", "agent"])") ==
        "/endpoints/agent-1/models/1: is a duplicate entry");
  CHECK(ErrorOfSample(R"("cart-1")", R"("cart/1~")") == "");
  CHECK(ErrorOfSample(R"("cart-1": {"address)", R"("c/1~": {"adress)") ==
        "/endpoints/c~11~0/adress: is an unknown member");
  CHECK(ErrorOfSample(R"("cart": 1)", R"("cart": -1)") ==
        "/need/cart: must be an integer greater than or equal to zero");
  CHECK(ErrorOfText("[]", "[]", "[]") == ": must be an object");
}

}  // namespace daisywind::configuration
