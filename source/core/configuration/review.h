// Finds entries of a valid document that have no effect or contradict each
// other. They don't keep it from being accepted.
#ifndef DAISYWIND_CONFIGURATION_REVIEW_H_
#define DAISYWIND_CONFIGURATION_REVIEW_H_

#include <compare>
#include <string>
#include <vector>

#include "configuration/document.h"

namespace daisywind::configuration {

// A questionable entry, identified by its JSON pointer.
struct review_finding {
  std::string pointer;
  std::string reason;

  auto operator<=>(const review_finding&) const = default;
};

// Finds models, adapters and services that no serving endpoint offers,
// organisations with the same key, endpoints with the same address, rates of
// zero, and budgets that exceed what the organisation's rates allow in the
// budget's time. Sorted by pointer.
auto ReviewDocument(const document& value) -> std::vector<review_finding>;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_REVIEW_H_
