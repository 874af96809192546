#include "fault_matrix/fake_endpoints.h"

#include <algorithm>

namespace daisywind::fault_matrix {
namespace {

constexpr std::size_t kEngines = 3;
constexpr std::size_t kServices = 2;

auto AddEndpoint(endpoint_table& table, const std::string& name, bool is_engine)
    -> void {
  auto endpoint = fake_endpoint{};
  endpoint.name = endpoint_id{name};
  endpoint.is_engine = is_engine;
  table.endpoints.emplace(endpoint.name, endpoint);
}

}  // namespace

auto MakeEndpoints() -> endpoint_table {
  auto table = endpoint_table{};
  for (auto i = std::size_t{1}; i <= kEngines; ++i) {
    AddEndpoint(table, "engine-" + std::to_string(i), true);
  }
  for (auto i = std::size_t{1}; i <= kServices; ++i) {
    AddEndpoint(table, "service-" + std::to_string(i), false);
  }
  return table;
}

auto ChooseEndpoint(endpoint_table& table,
                    const program::acquire_endpoint& request)
    -> std::optional<endpoint_id> {
  const auto is_chat = request.kind == program::call_kind::kChat;
  auto usable = std::vector<endpoint_id>{};
  for (const auto& [name, endpoint] : table.endpoints) {
    const auto fits = endpoint.is_engine == is_chat && endpoint.is_up &&
                      request.excluded.count(name) == 0;
    if (fits) {
      usable.push_back(name);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  return usable[table.next_choice++ % usable.size()];
}

auto StartRun(endpoint_table& table, const program::start_attempt& start)
    -> endpoint_run& {
  auto run = endpoint_run{};
  run.number = ++table.last_run;
  run.attempt = start.attempt;
  run.endpoint = start.endpoint;
  run.is_chat = start.call.kind == program::call_kind::kChat;
  run.text = "answer " + std::to_string(run.number) + " to " +
             start.attempt.call.branch.value + "/" +
             std::to_string(start.attempt.call.turn) + " of " + start.call.key +
             ", run " + std::to_string(run.number) + ".";
  run.prompt_tokens = run.is_chat ? start.call.prompt_tokens : 0;
  run.answer_tokens = run.is_chat ? start.call.max_tokens : 0;
  auto& endpoint = table.endpoints.at(start.endpoint);
  endpoint.runs[ToString(start.attempt)] = run.number;
  if (run.is_chat) {
    endpoint.sessions.insert(start.attempt.call.program);
  }
  return table.runs[run.number] = run;
}

auto Crash(endpoint_table& table, const endpoint_id& name) -> void {
  auto& endpoint = table.endpoints.at(name);
  endpoint.is_up = false;
  ++endpoint.crash_count;
  endpoint.sessions.clear();
  endpoint.runs.clear();
  for (auto& [number, run] : table.runs) {
    if (run.endpoint == name) {
      run.is_over = true;
    }
  }
}

auto CountSessions(const endpoint_table& table) -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& [name, endpoint] : table.endpoints) {
    count += endpoint.sessions.size();
  }
  return count;
}

}  // namespace daisywind::fault_matrix
