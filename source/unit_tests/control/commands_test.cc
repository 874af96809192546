#include "control/commands.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <cstdio>
#include <fstream>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "net/http_server.h"

namespace daisywind::control {
namespace {

namespace asio = boost::asio;

// A file that its destructor removes.
struct temporary_file {
  explicit temporary_file(const std::string& text)
      : path("control_test_" + RandomId() + ".json") {
    std::ofstream(path) << text;
  }
  ~temporary_file() { std::remove(path.c_str()); }

  std::string path;
};

// A VM that responds with the prepared answers in turn and repeats the last
// one. An empty list or an answer of status 0 aborts the connection.
struct fake_vm {
  fake_vm()
      : server(
            context,
            {},
            [this](net::http_exchange& exchange) { return Serve(exchange); }),
        port(server.Listen({"127.0.0.1", 0})) {}

  auto Serve(net::http_exchange& exchange) -> asio::awaitable<void> {
    requests.push_back(exchange.request());
    if (answers.empty() || answers.front().status == 0) {
      exchange.Abort();
    } else {
      auto answer = answers.front();
      co_await exchange.Respond(std::move(answer));
    }
    if (answers.size() > 1) {
      answers.erase(answers.begin());
    }
  }

  auto Run(arguments args) -> exit_code {
    args.key = "operator-key";
    args.admin = {{"127.0.0.1", port}};
    auto admin = admin_client(context, args);
    auto code = exit_code::kUsage;
    const auto command =
        command_context{&context, &args, &admin, &output, &errors};
    asio::co_spawn(context, RunCommand(command),
                   [&](const std::exception_ptr& error, exit_code end) {
                     context.stop();
                     code = end;
                     CHECK_FALSE(error);
                   });
    context.run();
    context.restart();
    return code;
  }

  asio::io_context context;
  net::http_server server;
  std::uint16_t port;
  std::vector<net::http_response> answers;
  std::vector<net::http_request> requests;
  std::ostringstream output;
  std::ostringstream errors;
};

auto PatchArguments(const std::string& path) -> arguments {
  auto args = arguments{};
  args.words = {"config", "patch", path};
  args.if_match = 3;
  args.timeout = 2s;
  return args;
}

constexpr auto kAbortConnection = 0U;

}  // namespace

TEST_CASE("a patch whose response is lost is retried with the same patch id") {
  const auto file = temporary_file(R"([{"op":"remove","path":"/need/x"}])");
  auto vm = fake_vm();
  vm.answers = {{kAbortConnection, {}, ""},
                {503, {}, R"({"outcome":"unknown"})"},
                {200, {}, R"({"number":4})"}};
  auto args = PatchArguments(file.path);
  args.author = "ana";
  CHECK(vm.Run(args) == exit_code::kDone);
  REQUIRE(vm.requests.size() == 3);
  auto ids = std::set<std::string>{};
  for (const auto& request : vm.requests) {
    ids.emplace(request.Header("Patch-Id"));
    CHECK(request.Header("If-Match") == "\"3\"");
    CHECK(request.Header("Patch-Author") == "ana");
    CHECK(request.Header("Content-Type") == "application/json-patch+json");
    CHECK(request.Header("Authorization") == "Bearer operator-key");
  }
  CHECK(ids.size() == 1);
  CHECK(vm.output.str() == "number: 4\n");
}

TEST_CASE("the exit code reports the outcome of a patch") {
  const auto file = temporary_file(R"({"need":{"x":null}})");
  const auto code_of = [&](net::http_response answer) {
    auto vm = fake_vm();
    vm.answers = {std::move(answer)};
    return vm.Run(PatchArguments(file.path));
  };
  CHECK(code_of({409, {}, R"({"current":5})"}) == exit_code::kConflict);
  CHECK(code_of({422, {}, R"({"path":"/need"})"}) == exit_code::kRefused);
  CHECK(code_of({401, {}, ""}) == exit_code::kRefused);
  CHECK(code_of({503, {}, R"({"outcome":"not_run"})"}) ==
        exit_code::kUnavailable);
  CHECK(code_of({503, {}, R"({"outcome":"unknown"})"}) == exit_code::kInDoubt);
  CHECK(code_of({kAbortConnection, {}, ""}) == exit_code::kInDoubt);
}

TEST_CASE("a patch applies to the newest version by default") {
  const auto file = temporary_file("{}");
  auto vm = fake_vm();
  vm.answers = {{200, {{"ETag", "\"9\""}}, "{}"},
                {200, {}, R"({"number":10})"}};
  auto args = PatchArguments(file.path);
  args.if_match.reset();
  CHECK(vm.Run(args) == exit_code::kDone);
  CHECK(vm.requests.back().Header("If-Match") == "\"9\"");
  CHECK(vm.requests.back().Header("Content-Type") ==
        "application/merge-patch+json");
}

TEST_CASE("a watch ends when the version is in force everywhere") {
  auto vm = fake_vm();
  vm.answers = {
      {200, {{"ETag", "\"7\""}}, "{}"},
      {200,
       {},
       R"({"vms":[{"version":7,"seconds_to_install":1.5}],"silent":[]})"}};
  auto args = arguments{};
  args.words = {"config", "watch"};
  args.until = 7;
  CHECK(vm.Run(args) == exit_code::kDone);
  CHECK(vm.requests.front().Query("after") == "6");
  CHECK(vm.output.str() ==
        "version 7: in force on 1 of 1 VMs, slowest 1.5 s\n");
}

TEST_CASE("unknown commands and invalid files are usage errors") {
  auto vm = fake_vm();
  auto args = arguments{};
  args.words = {"config", "destroy"};
  CHECK(vm.Run(args) == exit_code::kUsage);
  CHECK(vm.Run(PatchArguments("no-such-file.json")) == exit_code::kUsage);
  const auto broken = temporary_file("{");
  CHECK(vm.Run(PatchArguments(broken.path)) == exit_code::kUsage);
  args.words = {"config", "init", broken.path};
  CHECK(vm.Run(args) == exit_code::kUsage);
  args.kv = {{"127.0.0.1", vm.port}};
  CHECK(vm.Run(args) == exit_code::kRefused);
  CHECK(vm.requests.empty());
}

constexpr auto kDocument = R"({
  "failure_domains": {"a": {"region": "r"}},
  "services": {"cart": {}},
  "endpoints": {"cart-1": {"address": "127.0.0.1:1", "failure_domain": "a",
                           "kind": "service", "capacity": 1,
                           "role": "serving", "services": ["cart"]}},
  "need": {"cart": 1}
})";

auto CheckArguments(const std::string& path) -> arguments {
  auto args = arguments{};
  args.words = {"config", "check", path};
  args.output = output_format::kJson;
  return args;
}

// Guards against a check that sends something or accepts what a VM refuses.
TEST_CASE("a check reports the error of an invalid configuration") {
  auto text = std::string(kDocument);
  const auto valid = temporary_file(text);
  const auto needs_two = temporary_file(text.replace(text.rfind('1'), 1, "2"));
  const auto broken = temporary_file("{");
  auto vm = fake_vm();
  CHECK(vm.Run(CheckArguments(valid.path)) == exit_code::kDone);
  CHECK(vm.Run(CheckArguments(needs_two.path)) == exit_code::kRefused);
  CHECK(vm.output.str().find("\"/need/cart\"") != std::string::npos);
  CHECK(vm.Run(CheckArguments(broken.path)) == exit_code::kRefused);
  CHECK(vm.Run(CheckArguments("no-such-file.json")) == exit_code::kUsage);
  CHECK(vm.requests.empty());
}

TEST_CASE("a check lists the changes against another file") {
  auto text = std::string(kDocument);
  const auto before = temporary_file(text);
  const auto after = temporary_file(
      text.replace(text.find("\"capacity\": 1"), 13, "\"capacity\": 5"));
  auto vm = fake_vm();
  auto args = CheckArguments(after.path);
  args.against = before.path;
  CHECK(vm.Run(args) == exit_code::kDone);
  const auto report = ParseJson(vm.output.str()).value();
  const auto& changes = report.at("changes").as_array();
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].at("change") == "changed");
  args.output = output_format::kTable;
  CHECK(vm.Run(args) == exit_code::kDone);
  CHECK(vm.output.str().find("/endpoints/cart-1") != std::string::npos);
  args.against = "no-such-file.json";
  CHECK(vm.Run(args) == exit_code::kUsage);
}

}  // namespace daisywind::control
