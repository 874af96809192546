#include "control/commands.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string_view>
#include <utility>

#include "common/random.h"
#include "control/table.h"

namespace daisywind::control {
namespace {

namespace asio = boost::asio;

using command_function = asio::awaitable<exit_code> (*)(command_context);

constexpr auto kConflict = 409U;
constexpr auto kMinErrorStatus = 400U;
constexpr auto kMinServerErrorStatus = 500U;

auto ExitCodeOf(unsigned status) -> exit_code {
  if (status < kMinErrorStatus) {
    return exit_code::kDone;
  }
  if (status == kConflict) {
    return exit_code::kConflict;
  }
  return status < kMinServerErrorStatus ? exit_code::kRefused
                                        : exit_code::kUnavailable;
}

auto GetAndPrint(command_context context, std::string target)
    -> asio::awaitable<exit_code> {
  const auto result =
      co_await context.admin->Get(std::move(target), context.args->timeout);
  co_return PrintAnswer(context, result);
}

auto RunGet(command_context context) -> asio::awaitable<exit_code> {
  auto target = std::string("/admin/v1/config");
  if (context.args->version) {
    target += "?version=" + std::to_string(*context.args->version);
  }
  const auto result =
      co_await context.admin->Get(std::move(target), context.args->timeout);
  const auto number = VersionFromEtag(result.response);
  if (number && context.args->output == output_format::kTable) {
    *context.errors << "version " << *number << "\n";
  }
  co_return PrintAnswer(context, result);
}

auto RunHistory(command_context context) -> asio::awaitable<exit_code> {
  return GetAndPrint(context, "/admin/v1/config/history");
}

auto RunStatus(command_context context) -> asio::awaitable<exit_code> {
  return GetAndPrint(context, "/admin/v1/status");
}

auto RunPrograms(command_context context) -> asio::awaitable<exit_code> {
  return GetAndPrint(context, "/admin/v1/programs");
}

auto RunEndpoints(command_context context) -> asio::awaitable<exit_code> {
  return GetAndPrint(context, "/admin/v1/endpoints");
}

auto RunMigration(command_context context) -> asio::awaitable<exit_code> {
  return GetAndPrint(context, "/admin/v1/migration");
}

auto RunDrain(command_context context) -> asio::awaitable<exit_code> {
  auto request = net::http_request{};
  request.method = "POST";
  request.target = "/admin/v1/drain";
  const auto result =
      co_await context.admin->Call(std::move(request), context.args->timeout);
  if (result.outcome == net::http_outcome::kNoAnswer) {
    *context.errors
        << "the VM did not respond to the drain request; it may be draining\n";
    co_return exit_code::kInDoubt;
  }
  co_return PrintAnswer(context, result);
}

struct command_entry {
  std::string_view first;
  std::string_view second;
  std::size_t words;
  bool needs_admin;
  command_function run;
};

constexpr auto kCommands = std::to_array<command_entry>({
    {"config", "get", 2, true, RunGet},
    {"config", "patch", 3, true, RunPatch},
    {"config", "watch", 2, true, RunWatch},
    {"config", "history", 2, true, RunHistory},
    {"config", "init", 3, false, RunInit},
    {"config", "check", 3, false, RunCheck},
    {"status", "", 1, true, RunStatus},
    {"programs", "", 1, true, RunPrograms},
    {"endpoints", "", 1, true, RunEndpoints},
    {"migration", "", 1, true, RunMigration},
    {"drain", "", 1, true, RunDrain},
});

auto FindCommand(const arguments& args) -> const command_entry* {
  for (const auto& entry : kCommands) {
    const auto is_second =
        entry.second.empty() || entry.second == args.WordAt(1);
    if (entry.first == args.WordAt(0) && is_second &&
        entry.words == args.words.size()) {
      return &entry;
    }
  }
  return nullptr;
}

auto PrintProblem(const command_context& context,
                  const net::http_result& result) -> void {
  *context.errors << "status " << result.response.status << "\n";
  const auto body = ParseJson(result.response.body);
  *context.errors << (body ? RenderTable(*body) : result.response.body);
}

}  // namespace

auto RunCommand(command_context context) -> asio::awaitable<exit_code> {
  const auto* entry = FindCommand(*context.args);
  if (entry == nullptr) {
    *context.errors
        << "unknown command or wrong number of operands; see --help\n";
    co_return exit_code::kUsage;
  }
  if (entry->needs_admin && context.args->admin.empty()) {
    *context.errors
        << "--admin is required: expected http://IP:PORT, got none\n";
    co_return exit_code::kUsage;
  }
  co_return co_await entry->run(context);
}

auto PrintAnswer(const command_context& context, const net::http_result& result)
    -> exit_code {
  if (result.outcome != net::http_outcome::kAnswered) {
    *context.errors << "no response from the admin API: " << result.error
                    << "\n";
    return exit_code::kUnavailable;
  }
  const auto code = ExitCodeOf(result.response.status);
  if (code != exit_code::kDone) {
    PrintProblem(context, result);
    return code;
  }
  const auto body = ParseJson(result.response.body);
  if (!body) {
    *context.output << result.response.body;
    return code;
  }
  const auto is_table = context.args->output == output_format::kTable;
  *context.output << (is_table ? RenderTable(*body) : RenderIndented(*body));
  return code;
}

auto Wait(asio::io_context& io, duration time) -> asio::awaitable<void> {
  auto timer = asio::steady_timer(io, time);
  co_await timer.async_wait(asio::use_awaitable);
}

auto RandomId() -> std::string {
  return ToString(program_id{SystemSeed(), SystemSeed()});
}

}  // namespace daisywind::control
