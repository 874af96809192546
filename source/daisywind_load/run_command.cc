#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "common/logging.h"
#include "daisywind_load/commands.h"
#include "load/load_run.h"

namespace daisywind {
namespace load {
namespace {

constexpr auto kWrongAnswerStatus = 1;
constexpr auto kUsageStatus = 2;

auto DeclareOptions() -> cxxopts::Options {
  auto declared = cxxopts::Options(
      "daisywind-load run", "Drives gateways with programs of a deployment.");
  auto add = declared.add_options();
  add("gateways", "IP:PORT of the gateways' caller addresses, with commas",
      cxxopts::value<std::vector<std::string>>());
  add("organisation", "name of the organisation in the report",
      cxxopts::value<std::string>()->default_value("choclo"));
  add("key", "the organisation's key", cxxopts::value<std::string>());
  add("deployment", "choclo or inzira",
      cxxopts::value<std::string>()->default_value("choclo"));
  add("programs", "number of programs",
      cxxopts::value<std::size_t>()->default_value("100"));
  add("seed", "seed of the programs and of the client's choices",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("rate", "programs that start in a second, on average",
      cxxopts::value<double>()->default_value("10"));
  add("time-scale", "divides the pauses of tools",
      cxxopts::value<double>()->default_value("1"));
  add("call-bound-s", "time after which a call is given up",
      cxxopts::value<std::int64_t>()->default_value("60"));
  add("report", "file that gets the report",
      cxxopts::value<std::string>()->default_value("load-report.json"));
  add("help", "print this text");
  return declared;
}

auto Fail(const std::string& reason) -> std::nullopt_t {
  std::cerr << "daisywind-load run: " << reason << "\n";
  return std::nullopt;
}

auto ReadGateways(const cxxopts::ParseResult& parsed)
    -> std::optional<std::vector<net::socket_address>> {
  auto gateways = std::vector<net::socket_address>{};
  if (parsed.count("gateways") == 0) {
    return Fail("--gateways is required: expected IP:PORT addresses, got none");
  }
  for (const auto& text : parsed["gateways"].as<std::vector<std::string>>()) {
    const auto address = net::ParseSocketAddress(text);
    if (!address) {
      return Fail(text + ": expected IP:PORT in --gateways");
    }
    gateways.push_back(*address);
  }
  return gateways;
}

auto ReadOptions(const cxxopts::ParseResult& parsed)
    -> std::optional<load_options> {
  auto gateways = ReadGateways(parsed);
  if (!gateways) {
    return std::nullopt;
  }
  if (parsed.count("key") == 0) {
    return Fail(
        "--key is required: expected the key of the organisation, got none");
  }
  auto options = load_options{};
  options.gateways = std::move(*gateways);
  options.organisation = parsed["organisation"].as<std::string>();
  options.workload = FindDeployment(parsed["deployment"].as<std::string>());
  options.seed = parsed["seed"].as<std::uint64_t>();
  options.plan.programs = parsed["programs"].as<std::size_t>();
  options.plan.rate = parsed["rate"].as<double>();
  options.plan.time_scale = parsed["time-scale"].as<double>();
  options.client.key = parsed["key"].as<std::string>();
  options.client.call_timeout =
      std::chrono::seconds(parsed["call-bound-s"].as<std::int64_t>());
  if (options.workload == nullptr) {
    return Fail("--deployment: expected choclo or inzira, got another name");
  }
  if (options.plan.rate <= 0 || options.plan.time_scale <= 0) {
    return Fail(
        "--rate and --time-scale: expected numbers above 0, got 0 or less");
  }
  return options;
}

auto PrintProgress(const load_progress& progress) -> void {
  std::cerr << "programs: " << progress.started << " started, "
            << progress.ended << " ended, of " << progress.programs << "\n";
}

auto RunAndReport(const load_options& options, const std::string& file) -> int {
  const auto outcome = RunLoad(options, PrintProgress);
  auto out = std::ofstream(file);
  out << json::serialize(outcome.report) << "\n";
  if (!out) {
    Fail("cannot write the report to " + file);
    return kUsageStatus;
  }
  return outcome.has_wrong_answer ? kWrongAnswerStatus : 0;
}

auto Run(int argc, char** argv) -> int {
  auto declared = DeclareOptions();
  try {
    const auto parsed = declared.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << declared.help();
      return 0;
    }
    const auto options = ReadOptions(parsed);
    if (!options) {
      return kUsageStatus;
    }
    StartLogging(log_format::kJson, log_level::kInfo);
    return RunAndReport(*options, parsed["report"].as<std::string>());
  } catch (const std::exception& error) {
    Fail(error.what());
    return kUsageStatus;
  }
}

}  // namespace
}  // namespace load

auto RunLoadCommand(int argc, char** argv) -> int {
  return load::Run(argc, argv);
}

}  // namespace daisywind
