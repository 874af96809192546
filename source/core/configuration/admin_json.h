// The JSON of the admin API's answers about configuration.
#ifndef DAISYWIND_CONFIGURATION_ADMIN_JSON_H_
#define DAISYWIND_CONFIGURATION_ADMIN_JSON_H_

#include <string>

#include "common/json.h"
#include "configuration/events.h"

namespace daisywind::configuration {

// Status and body of an HTTP answer. A problem is sent as
// application/problem+json.
struct admin_answer {
  unsigned status = 200;
  bool is_problem = false;
  json::object body;
};

// {"number":N}, or a problem with `current` and `paths` (409), `path` (422), or
// the outcome `unknown` when the patch may have been accepted (503).
auto AnswerTo(const patch_result& result) -> admin_answer;

// The document, or a problem.
auto AnswerTo(const version_reply& reply) -> admin_answer;

// {"versions":[{"number","patch_id","author","accepted_unix_ms","paths"}]}
auto AnswerTo(const history_reply& reply) -> admin_answer;

// {"newest":N,"vms":[{"vm","run","failure_domain","version","spread_seconds",
// "staleness_seconds"}],"silent":["<vm>"]}; unknown seconds are null.
auto AnswerTo(const status_reply& reply) -> admin_answer;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_ADMIN_JSON_H_
