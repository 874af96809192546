// Checks that every document passes before it is accepted.
#ifndef DAISYWIND_CONFIGURATION_CHECK_H_
#define DAISYWIND_CONFIGURATION_CHECK_H_

#include <boost/leaf/result.hpp>

#include "configuration/document.h"

namespace daisywind::configuration {

// Checks references between members and that the serving endpoints of each
// model and service are at least what `need` asks. Fails with document_error.
auto CheckDocument(const document& value) -> leaf::result<void>;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_CHECK_H_
