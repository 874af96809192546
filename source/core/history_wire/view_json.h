// The view of journals as JSON, in which the platform's store keeps it.
#ifndef DAISYWIND_HISTORY_WIRE_VIEW_JSON_H_
#define DAISYWIND_HISTORY_WIRE_VIEW_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "history/view.h"

namespace daisywind::history {

// Key under which the store keeps the view.
inline constexpr auto kViewKey = std::string_view("daisywind/view");

auto RenderView(const view& from) -> std::string;

// Returns nothing when the text is no view.
auto ParseView(std::string_view text) -> std::optional<view>;

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_WIRE_VIEW_JSON_H_
