#include "process/signals.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <string>
#include <utility>

#include "common/logging.h"

namespace daisywind::process {
namespace {

// Handles signals during its lifetime.
class signals {
 public:
  signals(boost::asio::io_context& context, signal_handlers handlers);

 private:
  auto Wait() -> void;

  boost::asio::signal_set set_;
  signal_handlers handlers_;
};

signals::signals(boost::asio::io_context& context, signal_handlers handlers)
    : set_(context, SIGTERM, SIGINT), handlers_(std::move(handlers)) {
  set_.add(SIGHUP);
  Wait();
}

auto signals::Wait() -> void {
  set_.async_wait([this](const boost::system::error_code& error, int number) {
    if (error) {
      return;
    }
    if (number == SIGHUP) {
      if (handlers_.reload()) {
        Log(log_events::kSettingsReloaded);
      }
    } else {
      Log(log_events::kProcessStopping, {{"signal", std::int64_t{number}}});
      handlers_.on_stop();
    }
    Wait();
  });
}

}  // namespace

auto RunUntilStopped(boost::asio::io_context& context, signal_handlers handlers)
    -> void {
  const auto on_signal = signals(context, std::move(handlers));
  auto has_ended = false;
  while (!has_ended) {
    try {
      context.run();
      has_ended = true;
    } catch (const std::exception& error) {
      // Ends the exchange whose handler threw; the others go on.
      const auto reason = std::string(error.what());
      Log(log_events::kHandlerFailed, {{"reason", std::string_view(reason)}});
    }
  }
  Log(log_events::kProcessStopped);
}

}  // namespace daisywind::process
