// RFC 9457 problems, each naming its outcome.
#ifndef DAISYWIND_GATEWAY_PROBLEM_H_
#define DAISYWIND_GATEWAY_PROBLEM_H_

#include <compare>
#include <optional>
#include <string>

#include "common/time.h"
#include "net/http_types.h"
#include "program/types.h"

namespace daisywind::gateway {

// Why a request was refused.
struct problem {
  unsigned status = 500;
  // A short stable name, the last part of the problem's type.
  std::string reason;
  std::string detail;
  program::outcome outcome = program::outcome::kNotRun;
  std::optional<duration> retry_after;

  auto operator<=>(const problem&) const = default;
};

// A refusal of the program system as a problem.
auto FromRefusal(const program::problem& refusal) -> problem;

// Renders a problem as a response.
auto ToResponse(const problem& why) -> net::http_response;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_PROBLEM_H_
