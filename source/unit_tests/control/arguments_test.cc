#include "control/arguments.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <vector>

namespace daisywind::control {
namespace {

auto Parse(std::vector<const char*> values) -> leaf::result<arguments> {
  values.insert(values.begin(), "daisywind-ctl");
  return ParseArguments(static_cast<int>(values.size()), values.data());
}

auto ErrorOf(std::vector<const char*> values) -> std::string {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(Parse(std::move(values)));
        return std::string();
      },
      [](const usage_error& error) { return error.reason; },
      [] { return std::string("untyped error"); });
}

}  // namespace

TEST_CASE("a command line is parsed") {
  const auto args =
      Parse({"--admin", "http://127.0.0.1:1", "--admin", "127.0.0.1:2", "--key",
             "k", "config", "patch", "f.json", "--if-match", "7", "--output",
             "json", "--timeout-s", "5"})
          .value();
  CHECK(args.words == std::vector<std::string>{"config", "patch", "f.json"});
  CHECK(args.admin.size() == 2);
  CHECK(args.admin[0] == net::socket_address{"127.0.0.1", 1});
  CHECK(args.if_match == 7);
  CHECK(args.key == "k");
  CHECK(args.output == output_format::kJson);
  CHECK(args.timeout == 5s);
}

TEST_CASE("an invalid command line is rejected") {
  CHECK(ErrorOf({"--admin", "nowhere"}) ==
        "--admin: expected http://IP:PORT, got 'nowhere'");
  CHECK(ErrorOf({"--output", "xml"}) ==
        "--output: expected table or json, got 'xml'");
  CHECK_FALSE(ErrorOf({"--no-such"}).empty());
  CHECK_FALSE(ErrorOf({"--if-match", "x"}).empty());
  CHECK(ErrorOf({"--key-file", "/no/such/file"}) ==
        "/no/such/file: expected a readable file, could not open it");
  CHECK(HelpText().find("config init FILE") != std::string::npos);
}

}  // namespace daisywind::control
