// The command line of daisywind-ctl.
#ifndef DAISYWIND_CONTROL_ARGUMENTS_H_
#define DAISYWIND_CONTROL_ARGUMENTS_H_

#include <boost/leaf/result.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/json.h"
#include "common/time.h"
#include "net/http_types.h"

namespace daisywind::control {

enum class output_format : std::uint8_t { kTable, kJson };

// Error object of a failed leaf::result: what is wrong with the command line.
struct usage_error {
  std::string reason;

  auto operator<=>(const usage_error&) const = default;
};

struct arguments {
  // The command and its operands, such as "config patch FILE".
  std::vector<std::string> words;
  std::vector<net::socket_address> admin;
  std::vector<net::socket_address> kv;
  std::string key;
  output_format output = output_format::kTable;
  std::optional<version_number> version;
  std::optional<version_number> if_match;
  std::optional<version_number> after;
  std::optional<version_number> until;
  std::string patch_id;
  // File that a configuration is compared with.
  std::string against;
  std::string author;
  duration timeout = 30s;
  bool wants_help = false;
  bool wants_version = false;

  auto operator<=>(const arguments&) const = default;

  // The word at an index, from 0; empty when there are fewer words.
  [[nodiscard]] auto WordAt(std::size_t index) const -> std::string;
};

// Parses the command line. Fails with usage_error.
auto ParseArguments(int count, const char* const* values)
    -> leaf::result<arguments>;

// The text of --help.
auto HelpText() -> std::string;

// Reads a whole file. Fails with usage_error.
auto ReadFile(const std::string& path) -> leaf::result<std::string>;

}  // namespace daisywind::control

#endif  // DAISYWIND_CONTROL_ARGUMENTS_H_
