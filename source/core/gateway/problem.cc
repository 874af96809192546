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

auto ToString(run_outcome outcome) -> std::string_view {
  switch (outcome) {
    case run_outcome::kNotRun:
      return "not_run";
    case run_outcome::kUnknown:
      return "unknown";
    case run_outcome::kDone:
      return "done";
  }
  return "unknown";
}

auto ToResponse(const problem& why) -> net::http_response {
  auto body = boost::json::object{};
  body["type"] = std::string(kTypePrefix) + why.reason;
  body["title"] = why.reason;
  body["status"] = why.status;
  body["detail"] = why.detail;
  body["outcome"] = ToString(why.outcome);
  auto response = net::http_response{
      why.status,
      {{"Content-Type", "application/problem+json"},
       {"Daisywind-Outcome", std::string(ToString(why.outcome))}},
      boost::json::serialize(body)};
  if (why.retry_after) {
    response.headers.push_back(
        {"Retry-After", std::to_string(RetryAfterSeconds(*why.retry_after))});
  }
  return response;
}

}  // namespace daisywind::gateway
