#include "gateway/problem.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>

namespace daisywind::gateway {
namespace {

constexpr std::string_view kTypePrefix = "urn:daisywind:problem:";

auto RetryAfterSeconds(duration wait) -> std::int64_t {
  const auto rounded = std::chrono::ceil<std::chrono::seconds>(wait).count();
  return std::max<std::int64_t>(1, rounded);
}

}  // namespace

auto FromRefusal(const program::problem& refusal) -> problem {
  auto error = problem{static_cast<unsigned>(program::StatusOf(refusal.reason)),
                       std::string(program::NameOf(refusal.reason)),
                       refusal.detail, refusal.result, std::nullopt};
  if (refusal.retry_after > duration::zero()) {
    error.retry_after = refusal.retry_after;
  }
  return error;
}

auto ToResponse(const problem& error) -> net::http_response {
  auto body = boost::json::object{};
  body["type"] = std::string(kTypePrefix) + error.reason;
  body["title"] = error.reason;
  body["status"] = error.status;
  body["detail"] = error.detail;
  body["outcome"] = program::NameOf(error.outcome);
  auto response = net::http_response{
      error.status,
      {{"Content-Type", "application/problem+json"},
       {"Daisywind-Outcome", std::string(program::NameOf(error.outcome))}},
      boost::json::serialize(body)};
  if (error.retry_after) {
    response.headers.push_back(
        {"Retry-After", std::to_string(RetryAfterSeconds(*error.retry_after))});
  }
  return response;
}

}  // namespace daisywind::gateway
