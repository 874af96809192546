// daisywind-front: serves the callers of agent programs on one entry VM.
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <functional>
#include <optional>

#include "common/logging.h"
#include "front/front_node.h"
#include "front/front_settings.h"
#include "platform/contracts.h"
#include "platform/directory_json.h"
#include "platform/http_request_codec.h"
#include "platform/store_client.h"
#include "process/process_main.h"
#include "process/signals.h"

namespace daisywind::front {
namespace {

// Returns nothing if the front could not start.
auto Attempt(const settings& values,
             const std::function<std::optional<settings>()>& reload)
    -> std::optional<int> {
  auto context = boost::asio::io_context(1);
  const auto request_codec = platform::http_request_codec();
  const auto directory_codec = platform::directory_json();
  auto store =
      platform::store_client(context,
                             net::ParseSocketAddress(values.Get(kStoreAddress))
                                 .value_or(net::socket_address{}),
                             {});
  auto node =
      front_node(context, values,
                 {request_codec, directory_codec, store,
                  platform::EnginesCrashWhenFull(values.GetList(kContracts))});
  if (!node.Start()) {
    return std::nullopt;
  }
  process::RunUntilStopped(
      context, {[&] { node.Stop([&] { context.stop(); }); }, reload});
  FlushLogs();
  return EXIT_SUCCESS;
}

auto Run(const settings& values,
         const std::function<std::optional<settings>()>& reload) -> int {
  process::StartLog("daisywind-front", values);
  return process::StartUntilDone([&] { return Attempt(values, reload); });
}

}  // namespace
}  // namespace daisywind::front

auto main(int argc, char** argv) -> int {
  return daisywind::process::Main(
      {"daisywind-front", "Serves callers of agent programs on one entry VM",
       daisywind::front::FrontSchema(), nullptr, daisywind::front::Run},
      argc, argv);
}
