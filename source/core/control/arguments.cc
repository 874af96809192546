#include "control/arguments.h"

#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iterator>
#include <string_view>
#include <utility>

namespace daisywind::control {
namespace {

constexpr auto kScheme = std::string_view("http://");

constexpr auto kCommands = R"(
Commands:
  config get               the newest version, or --config-version N
  config patch FILE        a JSON Patch (array) or merge patch (object)
  config watch             versions as they come, with the VMs they reach
  config history           versions with their authors and paths
  config check FILE        errors, questionable entries and, with --against FILE,
                           changes; sends nothing
  config init FILE --kv A  writes version 1 when there is none
  status                   the version in force on each VM
  programs                 programs owned by the VM asked
  endpoints                endpoints with their state and load
  migration                progress of the move
  drain                    makes the VM asked unready and hands over

Exit codes: 0 done, 2 usage or settings, 3 conflict, 4 refused or invalid,
5 unavailable, 6 in doubt (repeat with the same --patch-id).
)";

auto MakeOptions() -> cxxopts::Options {
  auto options =
      cxxopts::Options("daisywind-ctl", "Operates a daisywind system.");
  options.positional_help("COMMAND").show_positional_help();
  options.add_options()  //
      ("admin", "admin address of a VM, http://IP:PORT; may be repeated",
       cxxopts::value<std::vector<std::string>>())  //
      ("kv", "address of the key-value service, http://IP:PORT",
       cxxopts::value<std::vector<std::string>>())            //
      ("key", "operator key", cxxopts::value<std::string>())  //
      ("key-file", "file that holds the operator key",
       cxxopts::value<std::string>())  //
      ("output", "table or json",
       cxxopts::value<std::string>()->default_value("table"))  //
      ("config-version", "earlier version to get",
       cxxopts::value<std::uint64_t>())  //
      ("if-match", "number that a patch is for; default is the newest",
       cxxopts::value<std::uint64_t>())  //
      ("patch-id", "repeats a patch that is in doubt",
       cxxopts::value<std::string>())  //
      ("against", "file that a checked configuration is compared with",
       cxxopts::value<std::string>())  //
      ("author", "who makes the version",
       cxxopts::value<std::string>()->default_value(""))  //
      ("after", "watch versions above this number",
       cxxopts::value<std::uint64_t>())  //
      ("until", "end the watch when this number is in force everywhere",
       cxxopts::value<std::uint64_t>())  //
      ("timeout-s", "longest time for one command, except a watch",
       cxxopts::value<std::uint32_t>()->default_value("30"))  //
      ("help", "prints this text")                            //
      ("version", "prints the version of the program")        //
      ("words", "command", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  return options;
}

auto Fail(std::string reason) -> leaf::error_id {
  return leaf::new_error(usage_error{std::move(reason)});
}

auto BadAddress(const std::string& name, const std::string& text)
    -> leaf::error_id {
  return Fail("--" + name + ": expected http://IP:PORT, got '" + text + "'");
}

auto ParseAddresses(const cxxopts::ParseResult& from, const std::string& name)
    -> leaf::result<std::vector<net::socket_address>> {
  auto addresses = std::vector<net::socket_address>{};
  if (from.count(name) == 0) {
    return addresses;
  }
  for (const auto& text : from[name].as<std::vector<std::string>>()) {
    auto rest = std::string_view(text);
    if (rest.starts_with(kScheme)) {
      rest.remove_prefix(kScheme.size());
    }
    const auto address = net::ParseSocketAddress(rest);
    if (!address) {
      return BadAddress(name, text);
    }
    addresses.push_back(*address);
  }
  return addresses;
}

auto OptionalNumber(const cxxopts::ParseResult& from, const std::string& name)
    -> std::optional<version_number> {
  if (from.count(name) == 0) {
    return std::nullopt;
  }
  return from[name].as<std::uint64_t>();
}

auto TextOrEmpty(const cxxopts::ParseResult& from, const std::string& name)
    -> std::string {
  return from.count(name) == 0 ? std::string() : from[name].as<std::string>();
}

auto ReadKey(const cxxopts::ParseResult& from) -> leaf::result<std::string> {
  const auto path = TextOrEmpty(from, "key-file");
  if (path.empty()) {
    return TextOrEmpty(from, "key");
  }
  BOOST_LEAF_AUTO(key, ReadFile(path));
  key.erase(key.find_last_not_of(" \t\r\n") + 1);
  return key;
}

auto ReadOutput(const cxxopts::ParseResult& from)
    -> leaf::result<output_format> {
  const auto name = from["output"].as<std::string>();
  if (name == "table") {
    return output_format::kTable;
  }
  if (name == "json") {
    return output_format::kJson;
  }
  return Fail("--output: expected table or json, got '" + name + "'");
}

auto ToArguments(const cxxopts::ParseResult& from) -> leaf::result<arguments> {
  auto converted = arguments{};
  if (from.count("words") > 0) {
    converted.words = from["words"].as<std::vector<std::string>>();
  }
  BOOST_LEAF_ASSIGN(converted.admin, ParseAddresses(from, "admin"));
  BOOST_LEAF_ASSIGN(converted.kv, ParseAddresses(from, "kv"));
  BOOST_LEAF_ASSIGN(converted.key, ReadKey(from));
  BOOST_LEAF_ASSIGN(converted.output, ReadOutput(from));
  converted.version = OptionalNumber(from, "config-version");
  converted.if_match = OptionalNumber(from, "if-match");
  converted.after = OptionalNumber(from, "after");
  converted.until = OptionalNumber(from, "until");
  converted.patch_id = TextOrEmpty(from, "patch-id");
  converted.against = TextOrEmpty(from, "against");
  converted.author = from["author"].as<std::string>();
  converted.timeout =
      std::chrono::seconds(from["timeout-s"].as<std::uint32_t>());
  converted.wants_help = from.count("help") > 0;
  converted.wants_version = from.count("version") > 0;
  return converted;
}

}  // namespace

auto arguments::WordAt(std::size_t index) const -> std::string {
  return index < words.size() ? words[index] : std::string();
}

auto ParseArguments(int count, const char* const* values)
    -> leaf::result<arguments> {
  // cxxopts reports errors by exceptions; callers get usage_error instead.
  try {
    auto options = MakeOptions();
    return ToArguments(options.parse(count, values));
  } catch (const std::exception& error) {
    return Fail(error.what());
  }
}

auto HelpText() -> std::string {
  return MakeOptions().help() + kCommands;
}

auto ReadFile(const std::string& path) -> leaf::result<std::string> {
  auto stream = std::ifstream(path, std::ios::binary);
  if (!stream) {
    return Fail(path + ": expected a readable file, could not open it");
  }
  return std::string(std::istreambuf_iterator<char>(stream),
                     std::istreambuf_iterator<char>());
}

}  // namespace daisywind::control
