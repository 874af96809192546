#include "load/reply.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <utility>

namespace daisywind::load {
namespace {

// Reasons of refusals for which a retry can't succeed.
constexpr auto kFinalReasons = std::to_array<std::string_view>({
    "bad_request",
    "unauthorized",
    "not_found",
    "wrong_organisation",
    "program_not_found",
    "program_ended",
    "program_lost",
    "branch_not_found",
    "branch_exists",
    "branch_ended",
    "turn_conflict",
    "history_mismatch",
    "key_missing",
    "key_reused",
    "budget_exceeded",
    "answer_not_kept",
});

template <class Number>
auto NumberOr(std::string_view text, Number fallback) -> Number {
  auto number = Number{};
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  return parsed.ec == std::errc{} ? number : fallback;
}

}  // namespace

auto NameOf(refusal_outcome outcome) -> std::string_view {
  return outcome == refusal_outcome::kNotRun ? "not_run" : "unknown";
}

auto ReadProblem(const json::object& body) -> refusal {
  auto cause = refusal{};
  cause.reason = StringOr(body, "title", "no_problem_body");
  const auto* found =
      std::find(kFinalReasons.begin(), kFinalReasons.end(), cause.reason);
  cause.is_final = found != kFinalReasons.end();
  if (StringOr(body, "outcome", "unknown") == "not_run") {
    cause.outcome = refusal_outcome::kNotRun;
  }
  return cause;
}

auto ReadRefusal(const net::http_response& response) -> refusal {
  const auto body = ParseObject(response.body);
  auto cause = ReadProblem(body.value_or(json::object{}));
  const auto seconds =
      NumberOr<std::int64_t>(response.Header("Retry-After"), 0);
  cause.retry_after = std::chrono::seconds(seconds);
  return cause;
}

auto ReadUsage(const json::object& body) -> std::optional<prompt_usage> {
  const auto* usage = ObjectOrNull(body, "usage");
  if (usage == nullptr) {
    return std::nullopt;
  }
  auto read = prompt_usage{};
  read.prompt_tokens = IntegerOr(*usage, "prompt_tokens", 0);
  const auto* details = ObjectOrNull(*usage, "prompt_tokens_details");
  if (details != nullptr) {
    read.cached_tokens = IntegerOr(*details, "cached_tokens", 0);
  }
  return read;
}

auto ParseObject(std::string_view text) -> std::optional<json::object> {
  auto parsed = ParseJson(text);
  if (!parsed || !parsed->is_object()) {
    return std::nullopt;
  }
  return std::move(parsed->as_object());
}

auto EpochOf(std::string_view handle) -> std::uint64_t {
  const auto dot = handle.find('.');
  if (dot == std::string_view::npos) {
    return 0;
  }
  return NumberOr<std::uint64_t>(handle.substr(dot + 1), 0);
}

}  // namespace daisywind::load
