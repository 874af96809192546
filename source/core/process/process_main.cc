#include "process/process_main.h"

#include <malloc.h>

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>
#include <vector>

#include "common/logging.h"
#include "common/vm_settings.h"

namespace daisywind::process {
namespace {

constexpr auto kUsageErrorStatus = 2;
// Pause before a start is tried again.
constexpr auto kStartPause = std::chrono::milliseconds(200);
// A settings file that is being replaced is incomplete for a moment.
constexpr auto kSettingsFileTries = 15;

// Whether the file holds a JSON value, valid as settings or not.
auto IsWholeFile(const std::string& path) -> bool {
  auto stream = std::ifstream(path);
  const auto text = std::string(std::istreambuf_iterator<char>(stream),
                                std::istreambuf_iterator<char>());
  auto error = boost::json::error_code{};
  boost::json::parse(text, error);
  return !error;
}

auto WaitForSettingsFile(const std::string& path) -> void {
  for (auto tries = 1; tries < kSettingsFileTries && !IsWholeFile(path);
       ++tries) {
    std::cerr << path << ": expected a complete JSON file, trying again\n";
    std::this_thread::sleep_for(kStartPause);
  }
}

// Signals that would end the process by default and are no reason to. A reload
// before the settings are in force has nothing to do.
auto IgnoreSignals() -> void {
  for (const auto signal : {SIGPIPE, SIGHUP, SIGXFSZ}) {
    std::signal(signal, SIG_IGN);
  }
}

auto LoadSettings(const program& definition,
                  const cxxopts::ParseResult& arguments)
    -> leaf::result<settings> {
  auto values = settings(definition.schema);
  BOOST_LEAF_CHECK(values.AddFile(arguments["settings"].as<std::string>()));
  if (arguments.count("set") != 0) {
    for (const auto& item : arguments["set"].as<std::vector<std::string>>()) {
      BOOST_LEAF_CHECK(values.AddOverride(item));
    }
  }
  BOOST_LEAF_CHECK(values.CheckRequired());
  if (definition.check) {
    BOOST_LEAF_CHECK(definition.check(values));
  }
  return values;
}

auto LoadSettingsOrReport(const program& definition,
                          const cxxopts::ParseResult& arguments,
                          const std::function<void(const std::string&)>& report)
    -> std::optional<settings> {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<settings>> {
        BOOST_LEAF_AUTO(values, LoadSettings(definition, arguments));
        return std::optional<settings>(std::move(values));
      },
      [&](const settings_error& error) {
        report(ToString(error));
        return std::optional<settings>();
      },
      [&] {
        report("settings: reading failed for an unknown reason");
        return std::optional<settings>();
      });
}

auto MakeOptions(const program& definition) -> cxxopts::Options {
  auto options = cxxopts::Options(definition.name, definition.help);
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

auto RunWith(const program& definition, const cxxopts::ParseResult& arguments)
    -> int {
  const auto is_check = arguments.count("print-settings") != 0 ||
                        arguments.count("check-settings") != 0;
  if (!is_check) {
    WaitForSettingsFile(arguments["settings"].as<std::string>());
  }
  const auto values = LoadSettingsOrReport(
      definition, arguments,
      [](const std::string& problem) { std::cerr << problem << '\n'; });
  if (!values) {
    return kUsageErrorStatus;
  }
  if (arguments.count("print-settings") != 0) {
    std::cout << values->Print() << '\n';
    return EXIT_SUCCESS;
  }
  if (arguments.count("check-settings") != 0) {
    std::cout << "settings are valid\n";
    return EXIT_SUCCESS;
  }
  return definition.run(*values, [&] {
    return LoadSettingsOrReport(definition, arguments,
                                [](const std::string& problem) {
                                  Log(log_events::kSettingsRefused,
                                      {{"problem", std::string_view(problem)}});
                                });
  });
}

// Makes the allocator return the memory of each large block to the system when
// it is freed. By default it raises the size from which it does so; small
// objects then divide the free blocks of bodies, and the next body needs a new
// one.
auto ReturnLargeBlocks() -> void {
  constexpr auto kLargeBlockBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

}  // namespace

auto Main(const program& definition, int argc, char** argv) -> int {
  IgnoreSignals();
  ReturnLargeBlocks();
  try {
    auto options = MakeOptions(definition);
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
      std::cout << options.help();
      return EXIT_SUCCESS;
    }
    if (arguments.count("version") != 0) {
      std::cout << definition.name << ' ' << DAISYWIND_VERSION << '\n';
      return EXIT_SUCCESS;
    }
    if (arguments.count("settings") == 0) {
      std::cerr << definition.name
                << ": required option --settings is missing\n";
      return kUsageErrorStatus;
    }
    return RunWith(definition, arguments);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << definition.name << ": " << error.what() << '\n';
    return kUsageErrorStatus;
  }
}

auto StartUntilDone(const std::function<std::optional<int>()>& attempt) -> int {
  while (true) {
    auto reason = std::string("an address or the disk is not available");
    try {
      if (const auto status = attempt()) {
        return *status;
      }
    } catch (const std::exception& error) {
      reason = error.what();
    }
    Log(log_events::kStartFailed, {{"reason", std::string_view(reason)}});
    FlushLogs();
    std::this_thread::sleep_for(kStartPause);
  }
}

auto StartLog(std::string_view program, const settings& values) -> void {
  StartBoundedLogging(ParseLogLevel(values.Get(vm_settings::kLogLevel)));
  const auto vm = values.Get(vm_settings::kVm);
  Log(log_events::kProcessStarted, {{"vm", std::string_view(vm)},
                                    {"program", program},
                                    {"version", DAISYWIND_VERSION}});
}

auto ParseLogLevel(std::string_view text) -> log_level {
  for (const auto level :
       {log_level::kDebug, log_level::kWarning, log_level::kError}) {
    if (text == LevelName(level)) {
      return level;
    }
  }
  return log_level::kInfo;
}

}  // namespace daisywind::process
