// Signals that end a server program or change its settings.
#ifndef DAISYWIND_PROCESS_SIGNALS_H_
#define DAISYWIND_PROCESS_SIGNALS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>

#include "common/settings.h"

namespace daisywind::process {

// What a program does on a signal.
struct signal_handlers {
  // SIGTERM and SIGINT.
  std::function<void()> on_stop;
  // SIGHUP: reads the settings again, or returns nothing when they are not
  // valid.
  std::function<std::optional<settings>()> reload;
};

// Runs the context until it is stopped, which on_stop leads to, and handles
// signals meanwhile.
auto RunUntilStopped(boost::asio::io_context& context, signal_handlers handlers)
    -> void;

}  // namespace daisywind::process

#endif  // DAISYWIND_PROCESS_SIGNALS_H_
