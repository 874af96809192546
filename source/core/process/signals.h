// Signals that stop a server program or reload its settings.
#ifndef DAISYWIND_PROCESS_SIGNALS_H_
#define DAISYWIND_PROCESS_SIGNALS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>

#include "common/settings.h"

namespace daisywind::process {

// Callbacks of a program for signals.
struct signal_handlers {
  // Called on SIGTERM and SIGINT.
  std::function<void()> on_stop;
  // Called on SIGHUP. Reads the settings again; returns nothing when they are
  // invalid. RunUntilStopped logs a successful reload, but does not use the
  // returned settings.
  std::function<std::optional<settings>()> reload;
};

// Runs the context and handles signals until the context stops. on_stop must
// make it stop: it stops the context itself or ends the work that keeps it
// running.
auto RunUntilStopped(boost::asio::io_context& context, signal_handlers handlers)
    -> void;

}  // namespace daisywind::process

#endif  // DAISYWIND_PROCESS_SIGNALS_H_
