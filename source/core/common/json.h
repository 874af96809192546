// Helpers over Boost.JSON: parsing with typed errors, and access to members
// with default values.
#ifndef DAISYWIND_COMMON_JSON_H_
#define DAISYWIND_COMMON_JSON_H_

#include <boost/json.hpp>
#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>

namespace daisywind {

namespace json = boost::json;
namespace leaf = boost::leaf;

// Error object of a failed leaf::result: the place of a fault in a document and
// its reason. The path is empty when the text is not JSON at all.
struct document_error {
  std::string path;
  std::string reason;

  auto operator<=>(const document_error&) const = default;
};

// The deepest nesting that ParseJson accepts.
inline constexpr std::size_t kMaxJsonDepth = 32;

// Parses a JSON text. Fails with document_error when the text is not JSON or
// is nested deeper than kMaxJsonDepth.
auto ParseJson(std::string_view text) -> leaf::result<json::value>;

// Reads a string member; returns the fallback when absent or not a string.
auto StringOr(const json::object& object,
              std::string_view key,
              std::string_view fallback) -> std::string;

// Reads an integral member; returns the fallback when it is absent, not a
// number, or not representable as a 64-bit integer.
auto IntegerOr(const json::object& object,
               std::string_view key,
               std::int64_t fallback) -> std::int64_t;

// Reads a Boolean member; returns the fallback when absent or not a Boolean.
auto BoolOr(const json::object& object, std::string_view key, bool fallback)
    -> bool;

// Reads an object member; returns null when absent or not an object.
auto ObjectOrNull(const json::object& object, std::string_view key)
    -> const json::object*;

// Reads an array member; returns null when absent or not an array.
auto ArrayOrNull(const json::object& object, std::string_view key)
    -> const json::array*;

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_JSON_H_
