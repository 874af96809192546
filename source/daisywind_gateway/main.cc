// daisywind-gateway: carries calls on one entry VM.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "common/logging.h"
#include "gateway/gateway_settings.h"
#include "gateway/node.h"

namespace daisywind::gateway {
namespace {

constexpr auto kUsageExit = 2;

auto LoadSettings(const cxxopts::ParseResult& arguments)
    -> leaf::result<settings> {
  auto values = settings(GatewaySchema());
  BOOST_LEAF_CHECK(values.AddFile(arguments["settings"].as<std::string>()));
  if (arguments.count("set") != 0) {
    for (const auto& item : arguments["set"].as<std::vector<std::string>>()) {
      BOOST_LEAF_CHECK(values.AddOverride(item));
    }
  }
  BOOST_LEAF_CHECK(values.CheckComplete());
  BOOST_LEAF_CHECK(CheckValues(values));
  return values;
}

auto LoadOrReport(const cxxopts::ParseResult& arguments)
    -> std::optional<settings> {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<settings>> {
        BOOST_LEAF_AUTO(values, LoadSettings(arguments));
        return std::optional<settings>(std::move(values));
      },
      [](const settings_error& error) {
        std::cerr << ToString(error) << '\n';
        return std::optional<settings>();
      },
      [] {
        std::cerr << "settings: not readable\n";
        return std::optional<settings>();
      });
}

auto LevelFromText(const std::string& text) -> log_level {
  for (const auto level :
       {log_level::kDebug, log_level::kWarning, log_level::kError}) {
    if (text == LevelName(level)) {
      return level;
    }
  }
  return log_level::kInfo;
}

auto Run(const settings& values) -> int {
  auto context = boost::asio::io_context(1);
  auto process = node(context, values);
  if (!process.Start()) {
    return EXIT_FAILURE;
  }
  const auto vm = values.Get(kVm);
  Log(log_events::kProcessStarted,
      {{"vm", std::string_view(vm)}, {"version", DAISYWIND_VERSION}});
  auto signals = boost::asio::signal_set(context, SIGTERM, SIGINT);
  auto on_signal = std::function<void(const boost::system::error_code&, int)>{};
  on_signal = [&](const boost::system::error_code& error, int) {
    if (error) {
      return;
    }
    Log(log_events::kProcessStopping);
    process.Stop([&] { context.stop(); });
    signals.async_wait(on_signal);
  };
  signals.async_wait(on_signal);
  context.run();
  Log(log_events::kProcessStopped);
  return EXIT_SUCCESS;
}

auto Options() -> cxxopts::Options {
  auto options = cxxopts::Options(
      "daisywind-gateway", "Carries calls of agent programs on one entry VM");
  options.add_options()  //
      ("settings", "JSON file with the settings",
       cxxopts::value<std::string>())  //
      ("set", "one setting as KEY=VALUE, over the file's",
       cxxopts::value<std::vector<std::string>>())                //
      ("check-settings", "check the settings and exit")           //
      ("print-settings", "print the settings in force and exit")  //
      ("version", "print the version and exit")                   //
      ("help", "print this help and exit");
  return options;
}

auto Main(int argc, char** argv) -> int {
  auto options = Options();
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") != 0) {
    std::cout << options.help();
    return EXIT_SUCCESS;
  }
  if (arguments.count("version") != 0) {
    std::cout << "daisywind-gateway " << DAISYWIND_VERSION << '\n';
    return EXIT_SUCCESS;
  }
  if (arguments.count("settings") == 0) {
    std::cerr << "daisywind-gateway: --settings is missing\n";
    return kUsageExit;
  }
  const auto values = LoadOrReport(arguments);
  if (!values) {
    return kUsageExit;
  }
  if (arguments.count("print-settings") != 0) {
    std::cout << values->Print() << '\n';
    return EXIT_SUCCESS;
  }
  if (arguments.count("check-settings") != 0) {
    std::cout << "settings are valid\n";
    return EXIT_SUCCESS;
  }
  StartLogging(
      values->Get(kLogFormat) == "json" ? log_format::kJson : log_format::kText,
      LevelFromText(values->Get(kLogLevel)));
  return Run(*values);
}

}  // namespace
}  // namespace daisywind::gateway

auto main(int argc, char** argv) -> int {
  try {
    return daisywind::gateway::Main(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "daisywind-gateway: " << error.what() << '\n';
    return 2;
  }
}
