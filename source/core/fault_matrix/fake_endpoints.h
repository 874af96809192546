// Fake engines and services at the interface of endpoints.
#ifndef DAISYWIND_FAULT_MATRIX_FAKE_ENDPOINTS_H_
#define DAISYWIND_FAULT_MATRIX_FAKE_ENDPOINTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/ids.h"
#include "program/commands.h"

namespace daisywind::fault_matrix {

// A run of a call at an endpoint.
struct endpoint_run {
  std::uint64_t number = 0;
  program::attempt_ref attempt;
  endpoint_id endpoint;
  bool is_chat = false;
  std::string text;
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;
  std::size_t produced = 0;
  bool is_finished = false;
  bool is_over = false;
};

// One endpoint. It ignores fencing numbers and idempotency keys.
struct fake_endpoint {
  endpoint_id name;
  bool is_engine = false;
  bool is_up = true;
  // Raised by each crash; events of an earlier life are dropped.
  std::uint64_t crash_count = 0;
  std::set<program_id> sessions;
  // Runs by the attempt's request id; engines keep them for a resume.
  std::map<std::string, std::uint64_t> runs;
  // Services with a lookup: the answer of each key that has run.
  std::map<std::string, std::string> answers;
};

// All endpoints and all their runs.
struct endpoint_table {
  std::map<endpoint_id, fake_endpoint> endpoints;
  std::map<std::uint64_t, endpoint_run> runs;
  std::uint64_t last_run = 0;
  std::size_t next_choice = 0;
};

// Three engines and two services.
auto MakeEndpoints() -> endpoint_table;

// An endpoint that is up, in rotation; nothing when all are excluded.
auto ChooseEndpoint(endpoint_table& table,
                    const program::acquire_endpoint& request)
    -> std::optional<endpoint_id>;

// Starts a run. Every run answers another text.
auto StartRun(endpoint_table& table, const program::start_attempt& start)
    -> endpoint_run&;

// Ends all runs of an endpoint and forgets what it held.
auto Crash(endpoint_table& table, const endpoint_id& name) -> void;

// Sessions that all engines hold.
auto CountSessions(const endpoint_table& table) -> std::size_t;

}  // namespace daisywind::fault_matrix

#endif  // DAISYWIND_FAULT_MATRIX_FAKE_ENDPOINTS_H_
