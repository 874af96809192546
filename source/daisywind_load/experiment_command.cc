#include <boost/leaf/handle_errors.hpp>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "common/json.h"
#include "daisywind_load/commands.h"
#include "experiment/named_policy.h"
#include "experiment/report.h"
#include "experiment/result_table.h"
#include "experiment/specification.h"

namespace daisywind {
namespace {

constexpr auto kDefaultJobs = "2";

auto WriteFile(const std::filesystem::path& path, const std::string& text)
    -> void {
  auto file = std::ofstream{path};
  file << text;
}

auto CheckPolicies(const experiment::specification& item)
    -> leaf::result<void> {
  for (const auto& policy : item.policies) {
    if (!experiment::FindPolicy(policy)) {
      return leaf::new_error(
          document_error{"/policies", "unknown policy " + policy});
    }
  }
  return {};
}

auto RunExperiment(const std::string& path,
                   const std::filesystem::path& folder,
                   unsigned jobs) -> leaf::result<void> {
  BOOST_LEAF_AUTO(item, experiment::ReadSpecification(path));
  BOOST_LEAF_CHECK(CheckPolicies(item));
  const auto rows = experiment::RunAll(item, jobs);
  std::cout << experiment::RenderTable(item, rows)
            << experiment::RenderTargets(item, rows) << std::flush;
  if (!folder.empty()) {
    std::filesystem::create_directories(folder);
    WriteFile(folder / (item.name + ".csv"), RenderCsv(item, rows));
    WriteFile(folder / (item.name + ".gp"), RenderPlot(item, rows));
  }
  return {};
}

}  // namespace

auto RunExperimentCommand(int argc, char** argv) -> int {
  auto options =
      cxxopts::Options{"daisywind-load experiment", "Runs policy experiments"};
  options.add_options()("out", "folder for CSV files and gnuplot scripts",
                        cxxopts::value<std::string>()->default_value(""))(
      "jobs", "trials at once",
      cxxopts::value<unsigned>()->default_value(kDefaultJobs))(
      "files", "experiment files", cxxopts::value<std::vector<std::string>>());
  options.parse_positional("files");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("files") == 0) {
    std::cerr << options.help();
    return 2;
  }
  for (const auto& path : parsed["files"].as<std::vector<std::string>>()) {
    const auto status = leaf::try_handle_all(
        [&]() -> leaf::result<int> {
          BOOST_LEAF_CHECK(RunExperiment(path, parsed["out"].as<std::string>(),
                                         parsed["jobs"].as<unsigned>()));
          return 0;
        },
        [&path](const document_error& error) {
          std::cerr << path << ": " << error.path << ": " << error.reason
                    << '\n';
          return 1;
        },
        [&path] {
          std::cerr
              << path
              << ": expected a readable experiment file, could not read it\n";
          return 1;
        });
    if (status != 0) {
      return status;
    }
  }
  return 0;
}

}  // namespace daisywind
