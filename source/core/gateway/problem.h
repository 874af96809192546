// RFC 9457 problems, each naming its outcome.
#ifndef DAISYWIND_GATEWAY_PROBLEM_H_
#define DAISYWIND_GATEWAY_PROBLEM_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "common/time.h"
#include "net/http_types.h"

namespace daisywind::gateway {

// What is known about the run of a refused request.
enum class run_outcome : std::uint8_t { kNotRun, kUnknown, kDone };

// The text of an outcome in problems and headers.
auto ToString(run_outcome outcome) -> std::string_view;

// Why a request was refused.
struct problem {
  unsigned status = 500;
  // A short stable name, the last part of the problem's type.
  std::string reason;
  std::string detail;
  run_outcome outcome = run_outcome::kNotRun;
  std::optional<duration> retry_after;

  auto operator<=>(const problem&) const = default;
};

// Renders a problem as a response.
auto ToResponse(const problem& why) -> net::http_response;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_PROBLEM_H_
