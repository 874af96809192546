#include <algorithm>
#include <array>
#include <iostream>
#include <string_view>

#include "daisywind_load/commands.h"

namespace {

struct subcommand {
  std::string_view name;
  std::string_view help;
  int (*run)(int argc, char** argv);
};

constexpr auto kSubcommands = std::array{
    subcommand{"run", "drive gateways with programs and report",
               daisywind::RunLoadCommand},
    subcommand{"experiment", "compare policies before a fake of the endpoints",
               daisywind::RunExperimentCommand},
    subcommand{"benchmark", "measure the time of scheduling decisions",
               daisywind::RunBenchmarkCommand},
};

auto PrintUsage(std::ostream& out) -> void {
  out << "usage: daisywind-load <subcommand> [options]\n";
  for (const auto& item : kSubcommands) {
    out << "  " << item.name << "  " << item.help << '\n';
  }
}

}  // namespace

auto main(int argc, char** argv) -> int {
  const auto name = std::string_view{argc > 1 ? argv[1] : ""};
  if (name == "--help") {
    PrintUsage(std::cout);
    return 0;
  }
  if (name == "--version") {
    std::cout << "daisywind-load " DAISYWIND_VERSION "\n";
    return 0;
  }
  const auto* found = std::ranges::find(kSubcommands, name, &subcommand::name);
  if (found == kSubcommands.end()) {
    PrintUsage(std::cerr);
    return 2;
  }
  return found->run(argc - 1, argv + 1);
}
