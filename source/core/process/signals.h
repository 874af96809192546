// Signals that end a server program or change its settings.
#ifndef DAISYWIND_PROCESS_SIGNALS_H_
#define DAISYWIND_PROCESS_SIGNALS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

namespace daisywind::process {

// What a program does on a signal.
struct signal_handlers {
  // SIGTERM and SIGINT.
  std::function<void()> on_stop;
  // SIGHUP.
  std::function<void()> on_reload;
};

// Waits for signals as long as it exists.
class signals {
 public:
  signals(boost::asio::io_context& context, signal_handlers handlers);

 private:
  auto Wait() -> void;

  boost::asio::signal_set set_;
  signal_handlers handlers_;
};

}  // namespace daisywind::process

#endif  // DAISYWIND_PROCESS_SIGNALS_H_
