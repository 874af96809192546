// RFC 9457 problem details, extended by the outcome of the refused request.
#ifndef DAISYWIND_GATEWAY_PROBLEM_H_
#define DAISYWIND_GATEWAY_PROBLEM_H_

#include <compare>
#include <optional>
#include <string>

#include "common/time.h"
#include "net/http_types.h"
#include "program/types.h"

namespace daisywind::gateway {

// The reason for which a request was refused.
struct problem {
  unsigned status = 500;
  // A short stable name, which is the last part of the problem type.
  std::string reason;
  std::string detail;
  program::outcome outcome = program::outcome::kNotRun;
  std::optional<duration> retry_after;

  auto operator<=>(const problem&) const = default;
};

// Converts a refusal of the program system to a problem.
auto FromRefusal(const program::problem& refusal) -> problem;

// Renders a problem as an application/problem+json response.
auto ToResponse(const problem& error) -> net::http_response;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_PROBLEM_H_
