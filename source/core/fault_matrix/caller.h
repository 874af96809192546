// A caller's program: branches of calls, retried as the outcomes allow.
#ifndef DAISYWIND_FAULT_MATRIX_CALLER_H_
#define DAISYWIND_FAULT_MATRIX_CALLER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fault_matrix/simulated_cluster.h"

namespace daisywind::fault_matrix {

// What the caller's program does.
enum class scenario : std::uint8_t {
  // Chat and service calls on two branches, which end.
  kWorkflow,
  // Two branches that call until the budget refuses them.
  kLoop,
};

// One call that the caller wants to make.
struct planned_call {
  program::turn_number turn = 0;
  bool is_chat = false;
  bool is_stream = false;
  bool is_idempotent = false;
  bool has_lookup = false;
};

// Calls that are sent at the same time, the last turn first.
using call_group = std::vector<planned_call>;

// A call under way.
struct caller_call {
  planned_call plan;
  std::uint64_t request = 0;
  vm_index entry = 0;
  int tries = 0;
  int in_doubt_refusals = 0;
  std::string text;
  bool is_done = false;
};

// A branch of the caller's program.
struct caller_branch {
  branch_id name;
  std::deque<call_group> groups;
  std::map<program::turn_number, caller_call> calls;
  std::vector<digest> history;
  program::turn_number next_turn = 1;
  bool is_over = false;
};

class caller {
 public:
  // `pause` is the time that the program's tools take between calls.
  caller(simulated_cluster& cluster,
         scenario kind,
         const program::budget& limits,
         duration tool_pause);

  // Opens the program and goes on by itself.
  auto Start() -> void;

  // A reply to one of the caller's requests.
  auto OnReply(vm_index vm, const program::command& item) -> void;

  // The connections to a process are broken.
  auto OnProcessDeath(vm_index vm) -> void;

  // All connections are broken; the caller comes back with its requests.
  auto OnDisconnected() -> void;

  // The program has ended or been given up.
  [[nodiscard]] auto IsOver() const -> bool { return is_over_; }

 private:
  enum class control_step : std::uint8_t { kOpen, kStart, kJoin, kEnd };
  // A request under way.
  struct open_request {
    vm_index entry = 0;
    std::optional<branch_id> branch;
    program::turn_number turn = 0;
    control_step control = control_step::kOpen;
  };

  auto SendControl(control_step step) -> void;
  auto OnControlDone(control_step step) -> void;
  auto RetryControl(control_step step) -> void;
  auto StartGroup(caller_branch& branch) -> void;
  auto StartGroupLater(const branch_id& branch) -> void;
  auto PlanBranches() -> void;
  auto SendCall(caller_branch& branch, caller_call& call) -> void;
  auto MakeRequest(const caller_branch& branch, const caller_call& call) const
      -> program::call_request;
  auto RetryCall(const branch_id& branch,
                 program::turn_number turn,
                 duration delay) -> void;
  auto OnPart(const program::reply_part& item) -> void;
  auto OnEnd(const program::reply_end& item) -> void;
  auto OnProblem(const program::reply_problem& item) -> void;
  auto OnCallProblem(const open_request& request,
                     const program::reply_problem& item) -> void;
  auto FinishCall(caller_branch& branch, caller_call& call) -> void;
  auto EndBranch(caller_branch& branch) -> void;
  auto GiveUp(program::refusal_reason reason) -> void;
  auto Abandon(std::uint64_t request) -> void;
  auto AbandonAndRetry(const std::vector<std::uint64_t>& requests) -> void;
  auto UpdateHandle(const program::program_handle& handle) -> void;
  auto MakeEvent(observed_event_kind kind,
                 const branch_id& branch,
                 program::turn_number turn,
                 std::uint64_t request) -> observed_event;

  simulated_cluster& cluster_;
  scenario kind_;
  program::budget limits_;
  duration tool_pause_;
  program::program_handle handle_;
  std::map<std::uint64_t, open_request> requests_;
  std::map<branch_id, caller_branch> branches_;
  std::uint64_t last_request_ = 0;
  int control_tries_ = 0;
  bool has_started_sub_ = false;
  bool has_joined_sub_ = false;
  bool is_over_ = false;
};

}  // namespace daisywind::fault_matrix

#endif  // DAISYWIND_FAULT_MATRIX_CALLER_H_
