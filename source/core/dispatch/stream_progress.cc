#include "dispatch/stream_progress.h"

#include <charconv>
#include <system_error>

namespace daisywind::dispatch {
namespace {

auto ParseId(std::string_view text) -> std::optional<std::uint64_t> {
  auto value = std::uint64_t{0};
  const auto* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, value);
  return error == std::errc{} && parsed == end ? std::optional(value)
                                               : std::nullopt;
}

}  // namespace

auto stream_progress::Accepts(std::string_view event_id) const -> bool {
  if (event_id.empty() || last_event_id_.empty()) {
    return true;
  }
  const auto last = ParseId(last_event_id_);
  const auto next = ParseId(event_id);
  return last && next ? *next > *last : event_id != last_event_id_;
}

auto stream_progress::OnEvent(std::string_view event_id) -> void {
  can_resume_ = can_resume_ && !event_id.empty();
  if (!event_id.empty()) {
    last_event_id_ = event_id;
  }
}

}  // namespace daisywind::dispatch
