// daisywind-gateway: schedules calls of agent programs on one entry VM.
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <functional>
#include <optional>
#include <string>

#include "common/logging.h"
#include "gateway/gateway_settings.h"
#include "gateway/node.h"
#include "process/process_main.h"
#include "process/signals.h"

namespace daisywind::gateway {
namespace {

// Returns nothing if the gateway could not start.
auto Attempt(const settings& values,
             const std::function<std::optional<settings>()>& reload)
    -> std::optional<int> {
  auto context = boost::asio::io_context(1);
  auto self = node(context, values);
  if (!self.Start()) {
    return std::nullopt;
  }
  const auto vm = values.Get(kVm);
  Log(log_events::kProcessStarted,
      {{"vm", std::string_view(vm)}, {"version", DAISYWIND_VERSION}});
  process::RunUntilStopped(
      context, {[&] { self.Stop([&] { context.stop(); }); }, reload});
  return EXIT_SUCCESS;
}

auto Run(const settings& values,
         const std::function<std::optional<settings>()>& reload) -> int {
  StartLogging(
      values.Get(kLogFormat) == "json" ? log_format::kJson : log_format::kText,
      process::ParseLogLevel(values.Get(kLogLevel)));
  return process::StartUntilDone([&] { return Attempt(values, reload); });
}

}  // namespace
}  // namespace daisywind::gateway

auto main(int argc, char** argv) -> int {
  return daisywind::process::Main(
      {"daisywind-gateway", "Carries calls of agent programs on one entry VM",
       daisywind::gateway::GatewaySchema(), daisywind::gateway::CheckValues,
       daisywind::gateway::Run},
      argc, argv);
}
