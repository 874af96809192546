#include "process/signals.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
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
  // A write to a connection that the peer has closed then fails with an error
  // instead of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
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
  context.run();
  Log(log_events::kProcessStopped);
}

}  // namespace daisywind::process
