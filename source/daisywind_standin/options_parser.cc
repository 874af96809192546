#include "options_parser.h"

#include <algorithm>
#include <chrono>
#include <cxxopts.hpp>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace daisywind::standin {
namespace {

constexpr auto kUsageErrorStatus = 2;

auto DeclareOptions() -> cxxopts::Options {
  auto declared = cxxopts::Options(
      "daisywind-standin",
      "A small stand-in for a model engine, a service or a platform part.");
  auto add = declared.add_options();
  add("role", "kv, engine, service, weights or vms",
      cxxopts::value<std::string>());
  add("listen", "IP:PORT; port 0 takes a free one",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
  add("port-file", "file that gets the port",
      cxxopts::value<std::string>()->default_value(""));
  add("name", "name of the endpoint",
      cxxopts::value<std::string>()->default_value("standin"));
  add("models", "loaded models, as name:version,...",
      cxxopts::value<std::vector<std::string>>());
  add("adapters", "loaded adapters, as name:version,...",
      cxxopts::value<std::vector<std::string>>());
  add("checks-fencing", "refuse orders with an old fencing number",
      cxxopts::value<bool>()->default_value("true"));
  add("capacity", "requests that run at once",
      cxxopts::value<std::size_t>()->default_value("8"));
  add("cache-tokens", "size of the prefix cache in tokens",
      cxxopts::value<std::size_t>()->default_value("262144"));
  add("weights", "IP:PORT of the weight store",
      cxxopts::value<std::string>()->default_value(""));
  add("prefill-us", "time for a prompt token that is not cached",
      cxxopts::value<std::int64_t>()->default_value("100"));
  add("decode-us", "time between two tokens of an answer",
      cxxopts::value<std::int64_t>()->default_value("10000"));
  add("grace-ms", "time that a request without reader goes on",
      cxxopts::value<std::int64_t>()->default_value("5000"));
  add("metrics-lag-ms", "age of the load in the metrics",
      cxxopts::value<std::int64_t>()->default_value("500"));
  add("events-lag-ms", "delay of the cache events",
      cxxopts::value<std::int64_t>()->default_value("200"));
  add("event-gap-every", "one cache event in this many is lost; 0 for none",
      cxxopts::value<std::size_t>()->default_value("50"));
  add("run-ms", "time that a service call takes",
      cxxopts::value<std::int64_t>()->default_value("20"));
  add("lookup", "answer GET /v1/runs/{key}",
      cxxopts::value<bool>()->default_value("false"));
  add("runs-file", "file that gets the key of each service run at its start",
      cxxopts::value<std::string>()->default_value(""));
  add("pull-ms", "time that a pull of weights takes",
      cxxopts::value<std::int64_t>()->default_value("2000"));
  add("max-pulls", "pulls that run at once",
      cxxopts::value<std::size_t>()->default_value("2"));
  add("list-lag-ms", "age of the VM list",
      cxxopts::value<std::int64_t>()->default_value("1000"));
  add("time-scale", "divides the times of runs, tokens and pulls",
      cxxopts::value<double>()->default_value("1"));
  add("help", "print this text");
  add("version", "print the version");
  return declared;
}

// Parses a list of name:version. A missing version counts as "1".
auto ToVersions(const cxxopts::ParseResult& parsed, const std::string& name)
    -> version_map {
  auto versions = version_map{};
  if (parsed.count(name) == 0) {
    return versions;
  }
  for (const auto& item : parsed[name].as<std::vector<std::string>>()) {
    const auto colon = std::min(item.find(':'), item.size());
    const auto version = item.substr(std::min(colon + 1, item.size()));
    versions[item.substr(0, colon)] = version.empty() ? "1" : version;
  }
  return versions;
}

// Reads durations; those of simulated work are divided by the time scale.
class duration_reader {
 public:
  explicit duration_reader(const cxxopts::ParseResult& parsed)
      : parsed_(parsed), scale_(parsed["time-scale"].as<double>()) {}

  template <class Unit>
  auto Unscaled(const std::string& name) const -> duration {
    return Unit(parsed_[name].as<std::int64_t>());
  }

  template <class Unit>
  auto Scaled(const std::string& name) const -> duration {
    return std::chrono::duration_cast<duration>(Unscaled<Unit>(name) / scale_);
  }

 private:
  const cxxopts::ParseResult& parsed_;
  double scale_;
};

auto ToOptions(const cxxopts::ParseResult& parsed) -> stand_in_options {
  using std::chrono::microseconds;
  using std::chrono::milliseconds;
  const auto times = duration_reader(parsed);
  auto options = stand_in_options{};
  options.name = parsed["name"].as<std::string>();
  options.models = ToVersions(parsed, "models");
  options.adapters = ToVersions(parsed, "adapters");
  options.checks_fencing = parsed["checks-fencing"].as<bool>();
  options.capacity = parsed["capacity"].as<std::size_t>();
  options.cache_tokens = parsed["cache-tokens"].as<std::size_t>();
  options.weights =
      net::ParseSocketAddress(parsed["weights"].as<std::string>());
  options.prefill_per_token = times.Scaled<microseconds>("prefill-us");
  options.decode_per_token = times.Scaled<microseconds>("decode-us");
  options.grace = times.Unscaled<milliseconds>("grace-ms");
  options.metrics_lag = times.Unscaled<milliseconds>("metrics-lag-ms");
  options.events_lag = times.Unscaled<milliseconds>("events-lag-ms");
  options.event_gap_every = parsed["event-gap-every"].as<std::size_t>();
  options.run_time = times.Scaled<milliseconds>("run-ms");
  options.has_lookup = parsed["lookup"].as<bool>();
  options.runs_file = parsed["runs-file"].as<std::string>();
  options.pull_time = times.Scaled<milliseconds>("pull-ms");
  options.max_pulls = parsed["max-pulls"].as<std::size_t>();
  options.list_lag = times.Unscaled<milliseconds>("list-lag-ms");
  return options;
}

auto UsageError(const std::string& reason) -> early_exit {
  return {kUsageErrorStatus, "daisywind-standin: " + reason + "\n"};
}

auto ToCommandLine(const cxxopts::ParseResult& parsed)
    -> std::variant<command_line, early_exit> {
  const auto listen =
      net::ParseSocketAddress(parsed["listen"].as<std::string>());
  if (!listen) {
    return UsageError("--listen must have the form IP:PORT");
  }
  const auto weights = parsed["weights"].as<std::string>();
  if (!weights.empty() && !net::ParseSocketAddress(weights)) {
    return UsageError("--weights must have the form IP:PORT");
  }
  if (parsed.count("role") == 0) {
    return UsageError(
        "--role is required: kv, engine, service, weights or vms");
  }
  if (parsed["time-scale"].as<double>() <= 0) {
    return UsageError("--time-scale must be greater than 0");
  }
  return command_line{parsed["role"].as<std::string>(), *listen,
                      parsed["port-file"].as<std::string>(), ToOptions(parsed)};
}

}  // namespace

auto ParseCommandLine(int argc, char** argv)
    -> std::variant<command_line, early_exit> {
  auto declared = DeclareOptions();
  try {
    const auto parsed = declared.parse(argc, argv);
    if (parsed.count("help") > 0) {
      return early_exit{0, declared.help()};
    }
    if (parsed.count("version") > 0) {
      return early_exit{0, "daisywind-standin " DAISYWIND_VERSION "\n"};
    }
    return ToCommandLine(parsed);
  } catch (const std::exception& error) {
    return UsageError(error.what());
  }
}

}  // namespace daisywind::standin
