// What the gateways' answers mean to a client.
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

// The outcome that a refusal names.
enum class refusal_outcome : std::uint8_t { kNotRun, kUnknown };

// The name of an outcome, as in the interface.
auto NameOf(refusal_outcome outcome) -> std::string_view;

// A refusal and what to do about it.
struct refusal {
  refusal_outcome outcome = refusal_outcome::kUnknown;
  std::string reason;
  // A repeat of the same call can't succeed.
  bool is_final = false;
  // The wait that the gateway asks for.
  duration retry_after{};

  auto operator<=>(const refusal&) const = default;
};

// Reads a problem from its body. A body that is none counts as unknown.
auto ReadProblem(const json::object& body) -> refusal;

// Reads a refusal from a whole response.
auto ReadRefusal(const net::http_response& response) -> refusal;

// Tokens of a chat call. The cached ones are absent when the usage does not
// tell them.
struct prompt_usage {
  std::int64_t prompt_tokens = 0;
  std::optional<std::int64_t> cached_tokens;

  auto operator<=>(const prompt_usage&) const = default;
};

// Reads the usage of a chat answer or chunk, if it holds one.
auto ReadUsage(const json::object& body) -> std::optional<prompt_usage>;

// Parses a JSON object. Returns nothing for any other text.
auto ParseObject(std::string_view text) -> std::optional<json::object>;

// The epoch of a program handle; 0 when the text is none.
auto EpochOf(std::string_view handle) -> std::uint64_t;

}  // namespace daisywind::load

#endif  // DAISYWIND_LOAD_REPLY_H_
