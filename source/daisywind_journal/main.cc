// daisywind-journal: stores turns and budgets durably on one VM's disk.
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <optional>

#include "common/logging.h"
#include "journal/journal_node.h"
#include "journal/journal_settings.h"
#include "journal/view_manager.h"
#include "net/http_server.h"
#include "platform/directory_json.h"
#include "platform/store_client.h"
#include "process/process_main.h"
#include "process/signals.h"

namespace daisywind::journal {
namespace {

constexpr auto kFlushInterval = std::chrono::milliseconds(100);

auto FlushRegularly(boost::asio::steady_timer& timer) -> void {
  FlushLogs();
  timer.expires_after(kFlushInterval);
  timer.async_wait([&timer](const boost::system::error_code& error) {
    if (!error) {
      FlushRegularly(timer);
    }
  });
}

// Returns nothing if the journal could not start.
auto Attempt(const settings& values,
             const std::function<std::optional<settings>()>& reload)
    -> std::optional<int> {
  auto context = boost::asio::io_context(1);
  auto store =
      platform::store_client(context,
                             net::ParseSocketAddress(values.Get(kStoreAddress))
                                 .value_or(net::socket_address{}),
                             {});
  auto view_options = view_manager_options{};
  view_options.tolerated_losses =
      static_cast<std::size_t>(values.Get(kToleratedDiskLosses));
  view_options.watch = kv::RelayingWatchOptionsFor(ChangeTimeLimit(values));
  view_options.mirror =
      history::MirroredStoreOptionsFor(ChangeTimeLimit(values));
  if (const auto lifetime = KeyProofLifetime(values)) {
    view_options.watch = kv::WithMaxAge(view_options.watch, *lifetime);
  }
  view_options.retire = platform::RetireKeys();
  auto node = journal_node(context, values, store, view_options);
  auto metrics = net::http_server(
      context, net::ProbeLimits(),
      [&](net::http_exchange& exchange) -> boost::asio::awaitable<void> {
        co_await exchange.Respond(net::TextResponse(node.RenderMetrics()));
      });
  metrics.SetMemory(std::make_shared<byte_budget>(net::kProbeMemory));
  metrics.SetUnsentMemory(std::make_shared<byte_budget>(MessageMemory(values)));
  const auto address = net::ParseSocketAddress(values.Get(kMetricsAddress));
  if ((address && metrics.Listen(*address) == 0) || !node.Start()) {
    return std::nullopt;
  }
  auto timer = boost::asio::steady_timer(context);
  FlushRegularly(timer);
  process::RunUntilStopped(context, {[&] {
                                       node.Stop();
                                       context.stop();
                                     },
                                     reload});
  FlushLogs();
  return EXIT_SUCCESS;
}

auto Run(const settings& values,
         const std::function<std::optional<settings>()>& reload) -> int {
  process::StartLog("daisywind-journal", values);
  return process::StartUntilDone([&] { return Attempt(values, reload); });
}

}  // namespace
}  // namespace daisywind::journal

auto main(int argc, char** argv) -> int {
  return daisywind::process::Main(
      {"daisywind-journal", "Keeps turns and budgets on one VM with a disk",
       daisywind::journal::JournalSchema(), nullptr, daisywind::journal::Run},
      argc, argv);
}
