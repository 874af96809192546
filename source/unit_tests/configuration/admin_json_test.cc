#include "configuration/admin_json.h"

#include <doctest/doctest.h>

namespace daisywind::configuration {

TEST_CASE("answers to a patch tell what became of it") {
  const auto accepted = AnswerTo(patch_result(patch_accepted{7}));
  CHECK(accepted.status == 200);
  CHECK(accepted.body.at("number") == 7);
  const auto conflict = AnswerTo(patch_result(patch_conflict{8, {"/need"}}));
  CHECK(conflict.status == 409);
  CHECK(conflict.is_problem);
  CHECK(conflict.body.at("current") == 8);
  CHECK(conflict.body.at("paths") == json::array{"/need"});
  const auto invalid =
      AnswerTo(patch_result(patch_invalid{{"/need/a", "is wrong"}}));
  CHECK(invalid.status == 422);
  CHECK(invalid.body.at("path") == "/need/a");
  for (const auto is_unknown : {false, true}) {
    const auto away = AnswerTo(patch_result(patch_unavailable{is_unknown}));
    CHECK(away.status == 503);
    CHECK(away.body.at("outcome") == (is_unknown ? "unknown" : "not_run"));
  }
}

TEST_CASE("status shows seconds, and null where they are unknown") {
  auto reply = status_reply{};
  reply.states = {
      {{vm_id("vm-1"), 2}, failure_domain_id("huye-a"), 3, 1500, -1}};
  reply.silent = {{{vm_id("vm-2"), 1}, failure_domain_id("huye-a")}};
  const auto body = AnswerTo(reply).body;
  const auto& line = body.at("vms").at(0);
  CHECK(line.at("spread_seconds") == 1.5);
  CHECK(line.at("staleness_seconds").is_null());
  CHECK(body.at("silent") == json::array{"vm-2"});
}

}  // namespace daisywind::configuration
