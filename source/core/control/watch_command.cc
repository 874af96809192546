#include <algorithm>
#include <optional>
#include <utility>

#include "control/commands.h"

namespace daisywind::control {
namespace {

namespace asio = boost::asio;

constexpr auto kOk = 200U;
constexpr auto kLongPollMs = 20'000;
constexpr auto kAnswerTimeout = duration(30s);
constexpr auto kRetryInterval = duration(1s);
constexpr auto kStatusInterval = duration(1s);
// After this many polls the watch stops following a version. The `status`
// command shows the VMs that have not installed it yet.
constexpr auto kMaxStatusPolls = 30;

// How many VMs a version is in force on, and the longest installation time.
struct rollout {
  std::size_t vms = 0;
  std::size_t reached = 0;
  double slowest_seconds = 0;
};

auto RolloutOf(const json::object& status, version_number number) -> rollout {
  auto result = rollout{};
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

auto ReadRollout(command_context context, version_number number)
    -> asio::awaitable<std::optional<rollout>> {
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
  co_return RolloutOf(body->get_object(), number);
}

auto Print(const command_context& context,
           version_number number,
           const rollout& progress) -> void {
  auto& output = *context.output;
  if (context.args->output == output_format::kJson) {
    auto line = json::object{};
    line["version"] = number;
    line["vms"] = progress.vms;
    line["reached"] = progress.reached;
    line["slowest_seconds"] = progress.slowest_seconds;
    output << json::serialize(line) << std::endl;
    return;
  }
  output << "version " << number << ": in force on " << progress.reached
         << " of " << progress.vms << " VMs, slowest "
         << progress.slowest_seconds << " s" << std::endl;
}

// Prints the rollout of a version. Returns true when it is in force on all VMs,
// false when kMaxStatusPolls polls did not show this.
auto FollowRollout(command_context context, version_number number)
    -> asio::awaitable<bool> {
  auto last = std::optional<std::size_t>{};
  for (auto i = 0; i < kMaxStatusPolls; ++i) {
    const auto progress = co_await ReadRollout(context, number);
    if (progress && progress->reached != last) {
      last = progress->reached;
      Print(context, number, *progress);
    }
    if (progress && progress->reached == progress->vms) {
      co_return true;
    }
    co_await Wait(*context.io, kStatusInterval);
  }
  co_return false;
}

auto NextVersion(command_context context, version_number after)
    -> asio::awaitable<std::optional<version_number>> {
  auto target = "/admin/v1/config?after=" + std::to_string(after) +
                "&wait_ms=" + std::to_string(kLongPollMs);
  const auto result =
      co_await context.admin->Get(std::move(target), kAnswerTimeout);
  const auto is_answered = result.outcome == net::http_outcome::kAnswered;
  if (!is_answered || result.response.status >= 500U) {
    co_await Wait(*context.io, kRetryInterval);
    co_return std::nullopt;
  }
  const auto number = VersionFromEtag(result.response);
  co_return number&&* number > after ? number : std::nullopt;
}

}  // namespace

auto RunWatch(command_context context) -> asio::awaitable<exit_code> {
  const auto& args = *context.args;
  const auto until = args.until.value_or(0);
  auto after = args.after.value_or(until > 0 ? until - 1 : 0);
  while (true) {
    const auto number = co_await NextVersion(context, after);
    if (!number) {
      continue;
    }
    after = *number;
    const auto is_everywhere = co_await FollowRollout(context, *number);
    if (args.until && *number >= *args.until && is_everywhere) {
      co_return exit_code::kDone;
    }
    if (args.until && *number >= *args.until) {
      co_return exit_code::kUnavailable;
    }
  }
}

}  // namespace daisywind::control
