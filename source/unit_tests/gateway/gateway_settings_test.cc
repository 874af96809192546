#include "gateway/gateway_settings.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <string>

namespace daisywind::gateway {
namespace {

auto ErrorAfter(const std::string& sample, std::string_view override_text)
    -> std::string {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        auto values = settings(GatewaySchema());
        BOOST_LEAF_CHECK(values.AddFile(sample));
        if (!override_text.empty()) {
          BOOST_LEAF_CHECK(values.AddOverride(override_text));
        }
        BOOST_LEAF_CHECK(values.CheckRequired());
        BOOST_LEAF_CHECK(CheckValues(values));
        return std::string("no error");
      },
      [](const settings_error& error) { return error.key; },
      [] { return std::string("untyped error"); });
}

constexpr auto kChoclo = "samples/choclo/gateway.json";
constexpr auto kInzira = "samples/inzira/gateway.json";

}  // namespace

TEST_CASE("the sample settings are valid") {
  CHECK(ErrorAfter(kChoclo, "") == "no error");
  CHECK(ErrorAfter(kInzira, "") == "no error");
}

TEST_CASE("values are checked beyond their types") {
  CHECK(ErrorAfter(kChoclo, "listen.callers=nowhere") == "listen.callers");
  CHECK(ErrorAfter(kChoclo, "operator.key_digest=abc") ==
        "operator.key_digest");
  CHECK(ErrorAfter(kChoclo, "vm=a.b") == "vm");
  CHECK(ErrorAfter(kChoclo, "log.format=xml") == "log.format");
  CHECK(ErrorAfter(kChoclo, "drain.bound_ms=0") == "drain.bound_ms");
}

}  // namespace daisywind::gateway
