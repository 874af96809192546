// Runs one stand-in until it receives SIGINT or SIGTERM.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <utility>

#include "common/logging.h"
#include "options_parser.h"
#include "standin/stand_in.h"

namespace daisywind::standin {
namespace {

auto Fail(const std::string& reason) -> int {
  std::cerr << "daisywind-standin: " << reason << "\n";
  return 1;
}

auto WritePort(const std::string& file, std::uint16_t port) -> void {
  if (!file.empty()) {
    auto out = std::ofstream(file);
    out << port << "\n";
  }
}

auto Run(const command_line& command) -> int {
  auto context = boost::asio::io_context{1};
  auto made = MakeRole(command.role, context, command.options);
  if (made == nullptr) {
    return Fail("--role must be kv, engine, service, weights or vms, got " +
                command.role);
  }
  auto server = stand_in(context, command.role, std::move(made));
  const auto port = server.Listen(command.listen);
  if (port == 0) {
    return Fail("cannot listen on " + net::ToString(command.listen));
  }
  WritePort(command.port_file, port);
  const auto bound_address = net::socket_address{command.listen.host, port};
  std::cout << "listening " << net::ToString(bound_address) << std::endl;
  auto signals = boost::asio::signal_set(context, SIGINT, SIGTERM);
  signals.async_wait([&](auto, auto) { context.stop(); });
  context.run();
  return 0;
}

}  // namespace
}  // namespace daisywind::standin

auto main(int argc, char** argv) -> int {
  using daisywind::standin::command_line;
  using daisywind::standin::early_exit;
  const auto parsed = daisywind::standin::ParseCommandLine(argc, argv);
  if (const auto* ended = std::get_if<early_exit>(&parsed)) {
    (ended->status == 0 ? std::cout : std::cerr) << ended->text;
    return ended->status;
  }
  daisywind::StartLogging(daisywind::log_format::kJson,
                          daisywind::log_level::kInfo);
  return daisywind::standin::Run(std::get<command_line>(parsed));
}
