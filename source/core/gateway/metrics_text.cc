#include "gateway/metrics_text.h"

#include <charconv>
#include <limits>
#include <system_error>

namespace daisywind::gateway {

auto ReadGauge(std::string_view text, std::string_view name)
    -> std::optional<std::uint32_t> {
  constexpr auto kMaxValue =
      static_cast<double>(std::numeric_limits<std::uint32_t>::max());
  for (auto end = text.find('\n'); end != std::string_view::npos;
       end = text.find('\n')) {
    const auto line = text.substr(0, end);
    text.remove_prefix(end + 1);
    const auto space = line.rfind(' ');
    if (!line.starts_with(name) || space == std::string_view::npos) {
      continue;
    }
    const auto digits = line.substr(space + 1);
    auto value = 0.0;
    const auto parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (parsed.ec != std::errc{} || !(value <= kMaxValue)) {
      return std::nullopt;
    }
    return value > 0 ? static_cast<std::uint32_t>(value) : 0U;
  }
  return std::nullopt;
}

}  // namespace daisywind::gateway
