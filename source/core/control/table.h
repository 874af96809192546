// Renders JSON as human-readable text.
#ifndef DAISYWIND_CONTROL_TABLE_H_
#define DAISYWIND_CONTROL_TABLE_H_

#include <string>

#include "common/json.h"

namespace daisywind::control {

// Renders a list of objects as a table with a column for each member name. In
// an object, each member that is a list or map of objects becomes such a table;
// the other members become lines of name and value.
auto RenderTable(const json::value& value) -> std::string;

// Renders JSON with an indentation of two spaces per level.
auto RenderIndented(const json::value& value) -> std::string;

}  // namespace daisywind::control

#endif  // DAISYWIND_CONTROL_TABLE_H_
