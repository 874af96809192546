// Small helpers over Boost.JSON that answer with typed errors.
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

// Loaded into a failed leaf::result: where a document is wrong and why.
struct document_error {
  std::string path;
  std::string reason;

  auto operator<=>(const document_error&) const = default;
};

inline constexpr std::size_t kMaxJsonDepth = 32;

// Parses a JSON text. Fails with document_error when the text is not JSON or
// is nested deeper than kMaxJsonDepth.
auto ParseJson(std::string_view text) -> leaf::result<json::value>;

// Reads a string member; returns the fallback when it is absent or no string.
auto StringOr(const json::object& object,
              std::string_view key,
              std::string_view fallback) -> std::string;

// Reads an integral member; returns the fallback when it is absent, not a
// number, or not integral.
auto IntegerOr(const json::object& object,
               std::string_view key,
               std::int64_t fallback) -> std::int64_t;

// Reads a Boolean member; returns the fallback when it is absent or no Boolean.
auto BoolOr(const json::object& object, std::string_view key, bool fallback)
    -> bool;

// Reads an object member; returns null when it is absent or no object.
auto ObjectOrNull(const json::object& object, std::string_view key)
    -> const json::object*;

// Reads an array member; returns null when it is absent or no array.
auto ArrayOrNull(const json::object& object, std::string_view key)
    -> const json::array*;

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_JSON_H_
