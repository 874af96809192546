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

// What a command works with. Results go to `output`, complaints to `errors`.
struct command_context {
  boost::asio::io_context* io = nullptr;
  const arguments* given = nullptr;
  admin_client* admin = nullptr;
  std::ostream* output = nullptr;
  std::ostream* errors = nullptr;
};

// Runs the command that the arguments name.
auto RunCommand(command_context context) -> boost::asio::awaitable<exit_code>;

// Sends a patch, again under the same id while its answer is lost.
auto RunPatch(command_context context) -> boost::asio::awaitable<exit_code>;

// Shows versions as they come and the VMs that they have reached.
auto RunWatch(command_context context) -> boost::asio::awaitable<exit_code>;

// Writes version 1 into the key-value service.
auto RunInit(command_context context) -> boost::asio::awaitable<exit_code>;

// Prints an answer in the format asked for, and maps its status.
auto PrintAnswer(const command_context& context, const net::http_result& result)
    -> exit_code;

// Waits, for use between two attempts.
auto Wait(boost::asio::io_context& io, duration time)
    -> boost::asio::awaitable<void>;

// A random name of 32 hexadecimal digits.
auto RandomName() -> std::string;

}  // namespace daisywind::control

#endif  // DAISYWIND_CONTROL_COMMANDS_H_
