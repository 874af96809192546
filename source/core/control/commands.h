// The commands of daisywind-ctl.
#ifndef DAISYWIND_CONTROL_COMMANDS_H_
#define DAISYWIND_CONTROL_COMMANDS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <ostream>
#include <string>

#include "control/admin_client.h"
#include "control/arguments.h"
#include "control/exit_code.h"

namespace daisywind::control {

// The inputs of a command. Results go to `output`, error messages to `errors`.
struct command_context {
  boost::asio::io_context* io = nullptr;
  const arguments* args = nullptr;
  admin_client* admin = nullptr;
  std::ostream* output = nullptr;
  std::ostream* errors = nullptr;
};

// Runs the command that the arguments select. An unknown command or a missing
// --admin is a usage error.
auto RunCommand(command_context context) -> boost::asio::awaitable<exit_code>;

// Sends a patch. While the outcome is unknown or the VM is unavailable, it is
// retried under the same patch id until the timeout of the command expires.
auto RunPatch(command_context context) -> boost::asio::awaitable<exit_code>;

// Prints new versions and how many VMs each is in force on.
auto RunWatch(command_context context) -> boost::asio::awaitable<exit_code>;

// Writes version 1 to the key-value service. Reports a conflict when there
// already is a version that another patch id wrote.
auto RunInit(command_context context) -> boost::asio::awaitable<exit_code>;

// Checks a configuration file as the processes would, without sending it, and
// prints errors, entries without effect and the changes against another file.
auto RunCheck(command_context context) -> boost::asio::awaitable<exit_code>;

// Prints a response in the requested output format and maps its status to an
// exit code.
auto PrintAnswer(const command_context& context, const net::http_result& result)
    -> exit_code;

// Suspends the calling coroutine.
auto Wait(boost::asio::io_context& io, duration time)
    -> boost::asio::awaitable<void>;

// A random identifier of 32 hexadecimal digits.
auto RandomId() -> std::string;

}  // namespace daisywind::control

#endif  // DAISYWIND_CONTROL_COMMANDS_H_
