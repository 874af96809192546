#include "common/ids.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace daisywind {
namespace {

constexpr std::size_t kHalfDigits = 16;
constexpr int kHexBase = 16;

auto ParseHalf(std::string_view text) -> std::optional<std::uint64_t> {
  auto value = std::uint64_t{0};
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, kHexBase);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

auto ToString(const program_id& id) -> std::string {
  auto buffer = std::array<char, 2 * kHalfDigits + 1>{};
  std::snprintf(buffer.data(), buffer.size(), "%016llx%016llx",
                static_cast<unsigned long long>(id.high),
                static_cast<unsigned long long>(id.low));
  return {buffer.data(), 2 * kHalfDigits};
}

auto ParseProgramId(std::string_view text) -> std::optional<program_id> {
  if (text.size() != 2 * kHalfDigits) {
    return std::nullopt;
  }
  const auto high = ParseHalf(text.substr(0, kHalfDigits));
  const auto low = ParseHalf(text.substr(kHalfDigits));
  if (!high || !low) {
    return std::nullopt;
  }
  return program_id{*high, *low};
}

}  // namespace daisywind
