// Documents for tests.
#ifndef DAISYWIND_UNIT_TESTS_CONFIGURATION_SAMPLE_DOCUMENT_H_
#define DAISYWIND_UNIT_TESTS_CONFIGURATION_SAMPLE_DOCUMENT_H_

#include <cstddef>
#include <functional>
#include <string>

#include "configuration/document.h"

namespace daisywind::configuration {

// The document of docs/INTERFACES.md as JSON text.
auto SampleText() -> std::string;

// The same as a value.
auto SampleDocument() -> document;

// A document with many serving engines.
auto LargeDocument(std::size_t endpoints) -> document;

// Runs a function that returns leaf::result and renders its document_error as
// "path: reason"; empty on success.
auto ErrorOf(const std::function<leaf::result<void>()>& action) -> std::string;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_UNIT_TESTS_CONFIGURATION_SAMPLE_DOCUMENT_H_
