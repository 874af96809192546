#include "process/signals.h"

#include <csignal>
#include <utility>

#include "common/logging.h"

namespace daisywind::process {

signals::signals(boost::asio::io_context& context, signal_handlers handlers)
    : set_(context, SIGTERM, SIGINT), handlers_(std::move(handlers)) {
  // A peer that has closed its connection is found by the failed write.
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
      handlers_.on_reload();
    } else {
      Log(log_events::kProcessStopping, {{"signal", std::int64_t{number}}});
      handlers_.on_stop();
    }
    Wait();
  });
}

}  // namespace daisywind::process
