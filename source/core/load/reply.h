// Parses the gateways' responses: refusals, token usage and program handles.
#ifndef DAISYWIND_LOAD_REPLY_H_
#define DAISYWIND_LOAD_REPLY_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/json.h"
#include "common/time.h"
#include "net/http_types.h"

namespace daisywind::load {

// Whether a refused call has been executed, as the refusal reports it.
enum class refusal_outcome : std::uint8_t { kNotRun, kUnknown };

// The name of an outcome in problem bodies.
auto NameOf(refusal_outcome outcome) -> std::string_view;

// Why a call was refused, and whether and when to retry it.
struct refusal {
  refusal_outcome outcome = refusal_outcome::kUnknown;
  std::string reason;
  // True when a retry of the same call can't succeed.
  bool is_final = false;
  // The wait before a retry that the gateway requests.
  duration retry_after{};

  auto operator<=>(const refusal&) const = default;
};

// Parses a problem body. An outcome that is missing or not recognized counts as
// unknown, as does a body that is not a problem.
auto ReadProblem(const json::object& body) -> refusal;

// Parses the problem body and the Retry-After header of a response.
auto ReadRefusal(const net::http_response& response) -> refusal;

// Token usage of a chat call. The cached tokens are absent when the response
// does not report them.
struct prompt_usage {
  std::int64_t prompt_tokens = 0;
  std::optional<std::int64_t> cached_tokens;

  auto operator<=>(const prompt_usage&) const = default;
};

// Parses the usage of a chat completion or chunk, if it has one.
auto ReadUsage(const json::object& body) -> std::optional<prompt_usage>;

// Parses a JSON object. Returns nullopt for any other text.
auto ParseObject(std::string_view text) -> std::optional<json::object>;

// The epoch of a program handle; 0 when the text is not a handle.
auto EpochOf(std::string_view handle) -> std::uint64_t;

}  // namespace daisywind::load

#endif  // DAISYWIND_LOAD_REPLY_H_
