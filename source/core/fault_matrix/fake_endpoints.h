// Fake engines and services.
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

// One run of a call at an endpoint.
struct endpoint_run {
  std::uint64_t number = 0;
  program::attempt_ref attempt;
  endpoint_id endpoint;
  bool is_chat = false;
  // The complete answer.
  std::string text;
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;
  // Bytes of the answer generated so far.
  std::size_t produced = 0;
  // The complete answer has been generated.
  bool is_finished = false;
  // Finished, cancelled, or ended by a crash of the endpoint.
  bool is_over = false;
};

// One endpoint. It ignores fencing tokens and idempotency keys.
struct fake_endpoint {
  endpoint_id name;
  bool is_engine = false;
  bool is_up = true;
  // Incremented by each crash, which also ends all runs of the endpoint.
  std::uint64_t crash_count = 0;
  // Programs for which the engine holds memory.
  std::set<program_id> sessions;
  // Runs by the request id of their attempt, kept so that an attempt can be
  // resumed.
  std::map<std::string, std::uint64_t> runs;
  // Answers of finished runs by program, branch and turn, for lookups.
  std::map<std::string, std::string> answers;
};

// All endpoints and all their runs.
struct endpoint_table {
  std::map<endpoint_id, fake_endpoint> endpoints;
  std::map<std::uint64_t, endpoint_run> runs;
  std::uint64_t last_run = 0;
  // Round-robin counter of ChooseEndpoint.
  std::size_t next_choice = 0;
};

// Three engines and two services.
auto MakeEndpoints() -> endpoint_table;

// Chooses an endpoint of the requested kind round-robin. Returns nothing when
// each of them is down or excluded.
auto ChooseEndpoint(endpoint_table& table,
                    const program::acquire_endpoint& request)
    -> std::optional<endpoint_id>;

// Starts a run. The answers of any two runs differ.
auto StartRun(endpoint_table& table, const program::start_attempt& start)
    -> endpoint_run&;

// Stops an endpoint: ends all its runs and drops its sessions.
auto Crash(endpoint_table& table, const endpoint_id& name) -> void;

// Number of sessions at all endpoints.
auto CountSessions(const endpoint_table& table) -> std::size_t;

}  // namespace daisywind::fault_matrix

#endif  // DAISYWIND_FAULT_MATRIX_FAKE_ENDPOINTS_H_
