#include "front/platform_codecs.h"

namespace daisywind::front {

auto ReasonName(refusal_reason reason) -> std::string_view {
  switch (reason) {
    case refusal_reason::kNotReady:
      return "no_configuration";
    case refusal_reason::kNoRoute:
      return "no_route";
    case refusal_reason::kBadRequest:
      return "bad_request";
    case refusal_reason::kUnknownKey:
      return "unknown_key";
    case refusal_reason::kKeysOutdated:
      return "keys_outdated";
    case refusal_reason::kQuotaExceeded:
      return "quota_exceeded";
    case refusal_reason::kQuotaUnknown:
      return "quota_unknown";
    case refusal_reason::kNoEndpoint:
      return "no_endpoint";
    case refusal_reason::kOverloaded:
      return "overloaded";
    case refusal_reason::kNotAdmitted:
      return "not_admitted";
    case refusal_reason::kTooLate:
      return "too_late";
    case refusal_reason::kEnginesFull:
      return "engines_full";
    case refusal_reason::kRequestTooLarge:
      return "request_too_large";
    case refusal_reason::kBudgetSpent:
      return "budget_spent";
    case refusal_reason::kUnknownTurn:
      return "unknown_turn";
    case refusal_reason::kHistoryUnavailable:
      return "history_unavailable";
    case refusal_reason::kNoAnswer:
      return "no_answer";
    case refusal_reason::kTimeout:
      return "timeout";
  }
  return "unknown";
}

}  // namespace daisywind::front
