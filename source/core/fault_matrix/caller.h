// A simulated caller that runs a program: branches of calls, retried where
// their outcomes allow it.
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

// The program that the caller runs.
enum class scenario : std::uint8_t {
  // A fixed list of chat and service calls on two branches.
  kWorkflow,
  // Two branches that make chat calls until the budget is exceeded.
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

// Calls that are sent at the same time, in descending order of turns.
using call_group = std::vector<planned_call>;

// A call and the state of its latest request.
struct caller_call {
  planned_call plan;
  std::uint64_t request = 0;
  // The VM that received the latest request.
  vm_index entry = 0;
  // Requests sent so far.
  int tries = 0;
  // Refusals of a non-idempotent call that may have run.
  int in_doubt_refusals = 0;
  // Part of the answer that has been received.
  std::string text;
  bool is_done = false;
};

// A branch of the caller's program, with its remaining groups of calls.
struct caller_branch {
  branch_id name;
  std::deque<call_group> groups;
  std::map<program::turn_number, caller_call> calls;
  std::vector<digest> history;
  program::turn_number next_turn = 1;
  bool is_over = false;
};

// Sends the requests of one program through changing entry VMs and records what
// it observes.
class caller {
 public:
  // `tool_pause` is the time between two groups of calls, in which the program
  // runs its tools.
  caller(simulated_cluster& cluster,
         scenario kind,
         const program::budget& limits,
         duration tool_pause);

  // Opens the program. All further steps are scheduled from replies and timers.
  auto Start() -> void;

  // Handles a reply to one of the caller's requests.
  auto OnReply(vm_index vm, const program::command& item) -> void;

  // Abandons and retries the requests at a VM whose process has died.
  auto OnProcessDeath(vm_index vm) -> void;

  // Abandons all requests after a loss of all connections, and retries them.
  auto OnDisconnected() -> void;

  // True when the program has ended or the caller has given it up.
  [[nodiscard]] auto IsOver() const -> bool { return is_over_; }

 private:
  // Requests that open, change or end the program.
  enum class control_step : std::uint8_t { kOpen, kStart, kJoin, kEnd };
  // A request without a final reply. It belongs to a call if `branch` is set,
  // otherwise to the control step.
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
  // Marks a call as done. When all calls of the branch are done, starts the sub
  // branch or the next group.
  auto FinishCall(caller_branch& branch, caller_call& call) -> void;
  // Marks a branch as over. When all branches are over, joins the sub branch or
  // ends the program.
  auto EndBranch(caller_branch& branch) -> void;
  auto GiveUp(program::refusal_reason reason) -> void;
  auto Abandon(std::uint64_t request) -> void;
  auto AbandonAndRetry(const std::vector<std::uint64_t>& requests) -> void;
  // Replaces the handle unless the new one is empty or of an older epoch.
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
