#include <algorithm>
#include <optional>
#include <utility>

#include "control/commands.h"

namespace daisywind::control {
namespace {

namespace asio = boost::asio;

constexpr auto kOk = 200U;
constexpr auto kPollMs = 20'000;
constexpr auto kAnswerTimeout = duration(30s);
constexpr auto kRetryAfter = duration(1s);
constexpr auto kStatusInterval = duration(1s);
// After this many readings the VMs that are behind are left to `status`.
constexpr auto kMaxStatusReadings = 30;

// How far a version has come.
struct coverage {
  std::size_t vms = 0;
  std::size_t reached = 0;
  double slowest_seconds = 0;
};

auto CoverageOf(const json::object& status, version_number number) -> coverage {
  auto result = coverage{};
  if (const auto* silent = ArrayOrNull(status, "silent")) {
    result.vms += silent->size();
  }
  const auto* vms = ArrayOrNull(status, "vms");
  for (const auto& vm : vms == nullptr ? json::array{} : *vms) {
    if (!vm.is_object()) {
      continue;
    }
    result.vms += 1;
    const auto& line = vm.get_object();
    const auto version = IntegerOr(line, "version", 0);
    result.reached += version >= static_cast<std::int64_t>(number) ? 1 : 0;
    const auto* seconds = line.if_contains("seconds_to_install");
    if (seconds != nullptr && seconds->is_double()) {
      result.slowest_seconds =
          std::max(result.slowest_seconds, seconds->get_double());
    }
  }
  return result;
}

auto ReadCoverage(command_context context, version_number number)
    -> asio::awaitable<std::optional<coverage>> {
  auto target = std::string("/admin/v1/status");
  const auto result =
      co_await context.admin->Get(std::move(target), kAnswerTimeout);
  if (result.outcome != net::http_outcome::kAnswered ||
      result.response.status != kOk) {
    co_return std::nullopt;
  }
  const auto body = ParseJson(result.response.body);
  if (!body || !body->is_object()) {
    co_return std::nullopt;
  }
  co_return CoverageOf(body->get_object(), number);
}

auto Print(const command_context& context,
           version_number number,
           const coverage& reached) -> void {
  auto& output = *context.output;
  if (context.given->output == output_format::kJson) {
    auto line = json::object{};
    line["version"] = number;
    line["vms"] = reached.vms;
    line["reached"] = reached.reached;
    line["slowest_seconds"] = reached.slowest_seconds;
    output << json::serialize(line) << std::endl;
    return;
  }
  output << "version " << number << ": in force on " << reached.reached
         << " of " << reached.vms << " VMs, slowest " << reached.slowest_seconds
         << " s" << std::endl;
}

// Returns true when the version is in force everywhere.
auto Follow(command_context context, version_number number)
    -> asio::awaitable<bool> {
  auto last = std::optional<std::size_t>{};
  for (auto i = 0; i < kMaxStatusReadings; ++i) {
    const auto reached = co_await ReadCoverage(context, number);
    if (reached && reached->reached != last) {
      last = reached->reached;
      Print(context, number, *reached);
    }
    if (reached && reached->reached == reached->vms) {
      co_return true;
    }
    co_await Wait(*context.io, kStatusInterval);
  }
  co_return false;
}

auto NextVersion(command_context context, version_number after)
    -> asio::awaitable<std::optional<version_number>> {
  auto target = "/admin/v1/config?after=" + std::to_string(after) +
                "&wait_ms=" + std::to_string(kPollMs);
  const auto result =
      co_await context.admin->Get(std::move(target), kAnswerTimeout);
  const auto is_answered = result.outcome == net::http_outcome::kAnswered;
  if (!is_answered || result.response.status >= 500U) {
    co_await Wait(*context.io, kRetryAfter);
    co_return std::nullopt;
  }
  const auto number = NumberOf(result.response);
  co_return number&&* number > after ? number : std::nullopt;
}

}  // namespace

auto RunWatch(command_context context) -> asio::awaitable<exit_code> {
  const auto& given = *context.given;
  const auto until = given.until.value_or(0);
  auto after = given.after.value_or(until > 0 ? until - 1 : 0);
  while (true) {
    const auto number = co_await NextVersion(context, after);
    if (!number) {
      continue;
    }
    after = *number;
    const auto is_everywhere = co_await Follow(context, *number);
    if (given.until && *number >= *given.until && is_everywhere) {
      co_return exit_code::kDone;
    }
    if (given.until && *number >= *given.until) {
      co_return exit_code::kUnavailable;
    }
  }
}

}  // namespace daisywind::control
