// Small helpers that every role needs to read and write JSON bodies.
#ifndef DAISYWIND_STANDIN_JSON_BODY_H_
#define DAISYWIND_STANDIN_JSON_BODY_H_

#include <optional>
#include <string_view>
#include <vector>

#include "common/json.h"
#include "net/http_types.h"

namespace daisywind::standin {

// Parses a body that must be a JSON object. An empty body counts as an empty
// object; nothing is returned for any other text.
auto ParseObject(std::string_view body) -> std::optional<json::object>;

// The texts of an array member; empty when it is absent.
auto StringsOf(const json::object& object, std::string_view key)
    -> std::vector<std::string>;

// A JSON array of texts.
auto ToArray(const std::vector<std::string>& texts) -> json::array;

// A 200 response with a JSON body.
auto Ok(const json::object& body) -> net::http_response;

// A problem with the outcome "not_run".
auto Problem(unsigned status, std::string_view title) -> net::http_response;

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_JSON_BODY_H_
