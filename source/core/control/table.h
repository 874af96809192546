// Renders JSON for people.
#ifndef DAISYWIND_CONTROL_TABLE_H_
#define DAISYWIND_CONTROL_TABLE_H_

#include <string>

#include "common/json.h"

namespace daisywind::control {

// Each member that is an array or object of objects becomes a table with a
// column for each name; the other members are lines of name and value.
auto RenderTable(const json::value& value) -> std::string;

// JSON with two spaces for each level.
auto RenderIndented(const json::value& value) -> std::string;

}  // namespace daisywind::control

#endif  // DAISYWIND_CONTROL_TABLE_H_
