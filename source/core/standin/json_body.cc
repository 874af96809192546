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
  auto texts = std::vector<std::string>{};
  const auto* items = ArrayOrNull(object, key);
  if (items == nullptr) {
    return texts;
  }
  for (const auto& item : *items) {
    if (item.is_string()) {
      texts.emplace_back(item.get_string().data(), item.get_string().size());
    }
  }
  return texts;
}

auto ToArray(const std::vector<std::string>& texts) -> json::array {
  auto items = json::array{};
  for (const auto& text : texts) {
    items.emplace_back(text);
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
