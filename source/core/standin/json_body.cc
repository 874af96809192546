#include "standin/json_body.h"

#include <string>
#include <utility>

namespace daisywind::standin {

auto ParseObject(std::string_view body) -> std::optional<json::object> {
  if (body.empty()) {
    return json::object{};
  }
  auto parsed = ParseJson(body);
  if (!parsed || !parsed->is_object()) {
    return std::nullopt;
  }
  return std::move(parsed->as_object());
}

auto StringsOf(const json::object& object, std::string_view key)
    -> std::vector<std::string> {
  auto strings = std::vector<std::string>{};
  const auto* items = ArrayOrNull(object, key);
  if (items == nullptr) {
    return strings;
  }
  for (const auto& item : *items) {
    if (item.is_string()) {
      strings.emplace_back(item.get_string().data(), item.get_string().size());
    }
  }
  return strings;
}

auto ToArray(const std::vector<std::string>& strings) -> json::array {
  auto items = json::array{};
  for (const auto& value : strings) {
    items.emplace_back(value);
  }
  return items;
}

auto Ok(const json::object& body) -> net::http_response {
  return net::JsonResponse(200, json::serialize(body));
}

auto Problem(unsigned status, std::string_view title) -> net::http_response {
  const auto body = json::object{{"type", "about:blank"},
                                 {"title", title},
                                 {"status", status},
                                 {"outcome", "not_run"}};
  return {status,
          {{"Content-Type", "application/problem+json"}},
          json::serialize(body)};
}

}  // namespace daisywind::standin
