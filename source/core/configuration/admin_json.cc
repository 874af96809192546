#include "configuration/admin_json.h"

#include <string_view>
#include <utility>

namespace daisywind::configuration {
namespace {

constexpr auto kNotFound = 404U;
constexpr auto kConflict = 409U;
constexpr auto kInvalid = 422U;
constexpr auto kUnavailable = 503U;
constexpr auto kMsPerSecond = 1000.0;

auto Problem(unsigned status, std::string_view title, bool is_unknown = false)
    -> admin_answer {
  auto body = json::object{};
  body["type"] = "about:blank";
  body["title"] = title;
  body["status"] = status;
  body["outcome"] = is_unknown ? "unknown" : "not_run";
  return {status, true, std::move(body)};
}

auto AnswerOf(const patch_accepted& result) -> admin_answer {
  auto body = json::object{};
  body["number"] = result.number;
  return {200, false, std::move(body)};
}

auto AnswerOf(const patch_conflict& result) -> admin_answer {
  auto answer =
      Problem(kConflict, "the patch is for another version than the newest");
  answer.body["current"] = result.current;
  answer.body["paths"] = json::value_from(result.paths);
  return answer;
}

auto AnswerOf(const patch_invalid& result) -> admin_answer {
  auto answer = Problem(kInvalid, "the patch was refused");
  answer.body["path"] = result.error.path;
  answer.body["detail"] = result.error.reason;
  return answer;
}

auto AnswerOf(const patch_unavailable& result) -> admin_answer {
  return Problem(kUnavailable, "the key-value service does not answer",
                 result.may_be_accepted);
}

auto QueryProblem(query_outcome outcome) -> admin_answer {
  if (outcome == query_outcome::kNotFound) {
    return Problem(kNotFound, "there is no such version");
  }
  return Problem(kUnavailable, "the key-value service does not answer");
}

auto Seconds(std::int64_t milliseconds) -> json::value {
  if (milliseconds < 0) {
    return nullptr;
  }
  return static_cast<double>(milliseconds) / kMsPerSecond;
}

auto LineToJson(const history_entry& entry) -> json::object {
  auto line = json::object{};
  line["number"] = entry.info.ref.number;
  line["patch_id"] = entry.info.patch_id;
  line["author"] = entry.info.author;
  line["accepted_unix_ms"] = entry.info.accepted_unix_ms;
  line["paths"] = json::value_from(entry.paths);
  return line;
}

auto StateToJson(const acknowledgement& state) -> json::object {
  auto line = json::object{};
  line["vm"] = state.vm.vm.value;
  line["run"] = state.vm.run;
  line["failure_domain"] = state.domain.value;
  line["version"] = state.number;
  line["spread_seconds"] = Seconds(state.spread_ms);
  line["staleness_seconds"] = Seconds(state.proof_age_ms);
  return line;
}

}  // namespace

auto AnswerTo(const patch_result& result) -> admin_answer {
  return std::visit([](const auto& item) { return AnswerOf(item); }, result);
}

auto AnswerTo(const version_reply& reply) -> admin_answer {
  if (reply.outcome != query_outcome::kFound) {
    return QueryProblem(reply.outcome);
  }
  return {200, false, ToJson(*reply.content).get_object()};
}

auto AnswerTo(const history_reply& reply) -> admin_answer {
  if (reply.outcome != query_outcome::kFound) {
    return QueryProblem(reply.outcome);
  }
  auto lines = json::array{};
  for (const auto& entry : reply.entries) {
    lines.emplace_back(LineToJson(entry));
  }
  auto body = json::object{};
  body["versions"] = std::move(lines);
  return {200, false, std::move(body)};
}

auto AnswerTo(const status_reply& reply) -> admin_answer {
  auto vms = json::array{};
  for (const auto& state : reply.states) {
    vms.emplace_back(StateToJson(state));
  }
  auto silent = json::array{};
  for (const auto& item : reply.silent) {
    silent.emplace_back(item.vm.vm.value);
  }
  auto body = json::object{};
  body["newest"] = reply.newest;
  body["vms"] = std::move(vms);
  body["silent"] = std::move(silent);
  return {200, false, std::move(body)};
}

}  // namespace daisywind::configuration
