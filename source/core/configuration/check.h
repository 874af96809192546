// Validation that every document must pass before it is accepted.
#ifndef DAISYWIND_CONFIGURATION_CHECK_H_
#define DAISYWIND_CONFIGURATION_CHECK_H_

#include <boost/leaf/result.hpp>

#include "configuration/document.h"

namespace daisywind::configuration {

// Validates references between members, and that each model and service has at
// least as many serving endpoints as `need` requires. Fails with
// document_error.
auto CheckDocument(const document& value) -> leaf::result<void>;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_CHECK_H_
