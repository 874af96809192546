// Settings: declared once as typed constants, merged from several layers.
#ifndef DAISYWIND_COMMON_SETTINGS_H_
#define DAISYWIND_COMMON_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <limits>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "common/json.h"

namespace daisywind {

using string_list = std::vector<std::string>;
using setting_value =
    std::variant<bool, std::int64_t, std::string, string_list, double>;

// Error object of a failed leaf::result: the file and key of an invalid
// setting, the value found and the values allowed.
struct settings_error {
  std::string file;
  std::string key;
  std::string found;
  std::string expected;

  auto operator<=>(const settings_error&) const = default;
};

// Formats a settings error as one line for an operator.
auto ToString(const settings_error& error) -> std::string;

// Declaration of a setting: its dotted key, default (`fallback`), help text and
// allowed range, which applies to numbers only. The unit is the last word of
// the key, as in "drain_bound_ms".
template <class T>
struct setting {
  std::string_view key;
  T fallback;
  std::string_view help;
  std::int64_t minimum = std::numeric_limits<std::int64_t>::min();
  std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
  bool is_required = false;
};

using bool_setting = setting<bool>;
using integer_setting = setting<std::int64_t>;
using number_setting = setting<double>;
using string_setting = setting<std::string_view>;
using list_setting = setting<std::string_view>;

// Type-erased declaration of a setting.
struct setting_declaration {
  std::string key;
  setting_value fallback;
  std::string help;
  std::int64_t minimum = 0;
  std::int64_t maximum = 0;
  bool is_required = false;
};

// Declares a Boolean setting.
auto Declare(const bool_setting& item) -> setting_declaration;

// Declares an integer setting.
auto Declare(const integer_setting& item) -> setting_declaration;

// Declares a floating-point setting.
auto Declare(const number_setting& item) -> setting_declaration;

// Declares a string setting.
auto Declare(const string_setting& item) -> setting_declaration;

// Declares a list of strings. Its default is the empty list.
auto DeclareList(const list_setting& item) -> setting_declaration;

using settings_schema = std::vector<setting_declaration>;

// Values of all declared settings, merged from layers: a value in a later layer
// overrides the same key of an earlier one.
class settings {
 public:
  explicit settings(settings_schema schema);

  // Adds a JSON file as a layer. Fails with settings_error on an unreadable
  // file, invalid JSON, an unknown key, a wrong type or a value out of range.
  auto AddFile(const std::string& path) -> leaf::result<void>;

  // Adds a JSON text as a layer. Errors report `name` as the file.
  auto AddText(const std::string& name, std::string_view text)
      -> leaf::result<void>;

  // Adds one value given as "key=value", as on the command line. Fails with
  // settings_error.
  auto AddOverride(std::string_view assignment) -> leaf::result<void>;

  // Fails with settings_error when no layer has a required setting.
  auto CheckRequired() const -> leaf::result<void>;

  [[nodiscard]] auto Get(const bool_setting& item) const -> bool;
  [[nodiscard]] auto Get(const integer_setting& item) const -> std::int64_t;
  [[nodiscard]] auto Get(const number_setting& item) const -> double;
  [[nodiscard]] auto Get(const string_setting& item) const -> std::string;
  [[nodiscard]] auto GetList(const list_setting& item) const -> string_list;

  // Renders the effective values, defaults included, as one JSON object with
  // dotted keys.
  [[nodiscard]] auto Print() const -> std::string;

 private:
  auto AddObject(const std::string& file,
                 const std::string& prefix,
                 const json::object& object) -> leaf::result<void>;
  auto AddValue(const std::string& file,
                const std::string& key,
                const json::value& value) -> leaf::result<void>;
  [[nodiscard]] auto FindDeclaration(const std::string& key) const
      -> const setting_declaration*;
  [[nodiscard]] auto HasSection(const std::string& prefix) const -> bool;

  settings_schema schema_;
  std::map<std::string, setting_value> values_;
  std::map<std::string, bool> is_given_;
  std::string last_file_;
};

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_SETTINGS_H_
