// JSON encoding of the journal view, as stored in the platform's store.
#ifndef DAISYWIND_HISTORY_WIRE_VIEW_JSON_H_
#define DAISYWIND_HISTORY_WIRE_VIEW_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "history/view.h"

namespace daisywind::history {

// Key of the view in the store.
inline constexpr auto kViewKey = std::string_view("daisywind/view");

auto RenderView(const view& from) -> std::string;

// Returns nothing when the text is not a valid view: no JSON object, a number
// below one, or members that are not an array of objects.
auto ParseView(std::string_view text) -> std::optional<view>;

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_WIRE_VIEW_JSON_H_
