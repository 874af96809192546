// Sample documents for tests.
#ifndef DAISYWIND_UNIT_TESTS_CONFIGURATION_SAMPLE_DOCUMENT_H_
#define DAISYWIND_UNIT_TESTS_CONFIGURATION_SAMPLE_DOCUMENT_H_

#include <cstddef>
#include <functional>
#include <string>

#include "configuration/document.h"

namespace daisywind::configuration {

// The example document from docs/INTERFACES.md as JSON text.
auto SampleText() -> std::string;

// SampleText as a parsed document.
auto SampleDocument() -> document;

// SampleDocument with the given number of additional serving engines.
auto LargeDocument(std::size_t endpoints) -> document;

// Runs a function that returns leaf::result and formats its document_error as
// "path: reason". Empty on success.
auto ErrorOf(const std::function<leaf::result<void>()>& action) -> std::string;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_UNIT_TESTS_CONFIGURATION_SAMPLE_DOCUMENT_H_
