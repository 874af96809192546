// daisywind-ctl: the command-line client for operators.
#include <boost/asio.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <exception>
#include <iostream>

#include "control/admin_client.h"
#include "control/arguments.h"
#include "control/commands.h"
#include "control/exit_code.h"

namespace daisywind::control {
namespace {

auto Run(const arguments& args) -> exit_code {
  if (args.wants_help) {
    std::cout << HelpText();
    return exit_code::kDone;
  }
  if (args.wants_version) {
    std::cout << "daisywind-ctl " << DAISYWIND_VERSION << "\n";
    return exit_code::kDone;
  }
  auto io = boost::asio::io_context();
  auto admin = admin_client(io, args);
  const auto context =
      command_context{&io, &args, &admin, &std::cout, &std::cerr};
  auto code = exit_code::kUnavailable;
  boost::asio::co_spawn(io, RunCommand(context),
                        [&](const std::exception_ptr& error, exit_code end) {
                          code = error ? exit_code::kUnavailable : end;
                          io.stop();
                        });
  io.run();
  return code;
}

auto ParseAndRun(int count, const char* const* values) -> exit_code {
  return leaf::try_handle_all(
      [&]() -> leaf::result<exit_code> {
        BOOST_LEAF_AUTO(args, ParseArguments(count, values));
        return Run(args);
      },
      [](const usage_error& error) {
        std::cerr << error.reason << "\n";
        return exit_code::kUsage;
      },
      [] { return exit_code::kUsage; });
}

}  // namespace
}  // namespace daisywind::control

auto main(int argc, char** argv) -> int {
  return static_cast<int>(daisywind::control::ParseAndRun(argc, argv));
}
