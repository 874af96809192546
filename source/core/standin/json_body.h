// Helpers for JSON request and response bodies, shared by the roles.
#ifndef DAISYWIND_STANDIN_JSON_BODY_H_
#define DAISYWIND_STANDIN_JSON_BODY_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/json.h"
#include "net/http_types.h"

namespace daisywind::standin {

// Parses a body that must be a JSON object. An empty body yields an empty
// object; invalid JSON and any other JSON type yield nullopt.
auto ParseObject(std::string_view body) -> std::optional<json::object>;

// The strings of an array member; elements of other types are skipped. Empty
// when the member is absent or not an array.
auto StringsOf(const json::object& object, std::string_view key)
    -> std::vector<std::string>;

auto ToArray(const std::vector<std::string>& strings) -> json::array;

// Adds members, given as names and values in turn.
template <class Value, class... Rest>
auto AddMembers(json::object& to,
                const char* name,
                Value&& value,
                Rest&&... rest) -> void {
  to[name] = json::value(std::forward<Value>(value));
  if constexpr (sizeof...(rest) > 0) {
    AddMembers(to, std::forward<Rest>(rest)...);
  }
}

// An object with members that are given as names and values in turn. For
// coroutines, which may have no list of them.
template <class... Members>
auto ObjectOf(Members&&... members) -> json::object {
  auto to = json::object{};
  AddMembers(to, std::forward<Members>(members)...);
  return to;
}

// A 200 response with a JSON body.
auto Ok(const json::object& body) -> net::http_response;

// An application/problem+json response with the extension member "outcome" set
// to "not_run".
auto Problem(unsigned status, std::string_view title) -> net::http_response;

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_JSON_BODY_H_
