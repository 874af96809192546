// Several program systems with fake endpoints and links, under an injected
// clock. Faults strike at numbered occurrences of the steps of a call.
#ifndef DAISYWIND_FAULT_MATRIX_SIMULATED_CLUSTER_H_
#define DAISYWIND_FAULT_MATRIX_SIMULATED_CLUSTER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "common/random.h"
#include "fault_matrix/fake_endpoints.h"
#include "fault_matrix/faults.h"
#include "fault_matrix/observed_event.h"
#include "program/program_system.h"

namespace daisywind::fault_matrix {

using vm_index = std::size_t;
inline constexpr std::size_t kVmCount = 6;

// How long a paused process stands still.
inline constexpr auto kPauseTime = duration{6s};

// One VM's process.
struct fake_vm {
  program::member member_info;
  std::unique_ptr<program::program_system> system;
  bool is_up = true;
  bool is_paused = false;
  bool is_listed = true;
  bool is_leaving = false;
  // What a paused process has still to take in and to carry out.
  std::deque<program::event> pending_events;
  std::deque<program::command> pending_commands;
};

// Receives the replies of local requests.
using reply_handler = std::function<void(vm_index, const program::command&)>;

// Told when a process dies: its callers' connections break.
using process_death_handler = std::function<void(vm_index)>;

// Told when the caller's connections break though all processes live.
using disconnect_handler = std::function<void()>;

class simulated_cluster {
 public:
  simulated_cluster(const program::program_options& options,
                    std::uint64_t seed,
                    std::vector<planned_fault> faults);

  auto SetHandlers(reply_handler on_reply,
                   process_death_handler on_process_death,
                   disconnect_handler on_disconnect) -> void;

  // Runs something at a later time.
  auto Schedule(duration delay, std::function<void()> action) -> void;

  // Hands an event to a process, as an adapter would.
  auto Deliver(vm_index vm, const program::event& input) -> void;

  // Runs all that is due until the time has passed or the condition holds.
  auto RunUntil(instant end, const std::function<bool()>& is_done) -> void;

  // A process that is up, in rotation.
  auto NextEntry() -> vm_index;

  [[nodiscard]] auto now() const -> instant { return now_; }
  [[nodiscard]] auto endpoints() const -> const endpoint_table& {
    return endpoints_;
  }
  [[nodiscard]] auto InjectedFaults() const -> std::size_t { return injected_; }
  auto RecordEvent(observed_event event) -> void;
  [[nodiscard]] auto history() const -> const std::vector<observed_event>& {
    return history_;
  }
  // Highest epoch that any owner has reached.
  [[nodiscard]] auto CurrentReplicas() const -> program::replica_set;

 private:
  // Where a step is taken, for the faults that need to know.
  struct step_context {
    vm_index actor = 0;
    std::optional<vm_index> peer;
    endpoint_id endpoint;
  };
  // What a fault does to the step itself.
  struct step_effect {
    bool is_dropped = false;
    bool is_duplicated = false;
    duration delay{};
    bool dies_after = false;
    bool pauses_after = false;
    bool pauses_before = false;
    bool is_answer_lost = false;
    std::optional<program::attempt_result> forced_result;
  };
  using link = std::pair<vm_index, vm_index>;
  using queue_key = std::tuple<instant, std::uint64_t>;

  auto StartProcess(vm_index vm) -> void;
  auto KillProcess(vm_index vm) -> void;
  auto PauseProcess(vm_index vm) -> void;
  auto ResumeProcess(vm_index vm) -> void;
  auto StopGracefully(vm_index vm) -> void;
  auto RestartAll() -> void;
  auto UpdateListingLater(vm_index vm, bool is_listed) -> void;
  auto PublishMembers() -> void;
  auto PartitionLinks(const std::vector<link>& links) -> void;
  auto Isolate(vm_index vm) -> void;
  auto PartitionRegions() -> void;
  auto CrashEndpoint(const endpoint_id& name) -> void;
  auto FindVm(const vm_ref& ref) const -> std::optional<vm_index>;

  auto Execute(vm_index vm, std::vector<program::command> commands) -> void;
  auto ExecutePending(vm_index vm) -> void;
  auto Dispatch(vm_index vm, const program::command& item) -> void;
  auto StepOf(const program::command& item) -> std::optional<call_step>;
  auto InjectFaults(call_step step, const step_context& context) -> step_effect;
  auto InjectFault(fault_kind fault,
                   const step_context& context,
                   step_effect& effect) -> void;
  auto InjectRoleFault(fault_kind fault, const step_context& context) -> void;
  auto SendMessage(vm_index from,
                   const program::send_message& item,
                   duration delay) -> void;
  auto AcquireEndpoint(vm_index vm, const program::acquire_endpoint& item)
      -> void;
  auto StartAttempt(vm_index vm,
                    const program::start_attempt& item,
                    const step_effect& effect) -> void;
  auto StartNewRun(vm_index vm, const program::start_attempt& item) -> void;
  auto ResumeRun(vm_index vm, const program::start_attempt& item) -> void;
  auto ProduceOutput(std::uint64_t run) -> void;
  auto StreamOutput(vm_index vm, std::uint64_t run, std::size_t offset) -> void;
  auto DeliverOutput(vm_index vm,
                     const program::attempt_output& output,
                     std::uint64_t run) -> void;
  auto ListSessions() -> void;
  auto FirstRunningVm() const -> vm_index;
  auto BreakConnection(std::uint64_t run) -> void;
  auto ReportAttemptEnd(vm_index vm, const program::attempt_ended& ended)
      -> void;
  auto CancelAttempt(const program::cancel_attempt& item) -> void;
  auto AnswerLookup(vm_index vm, const program::request_lookup& item) -> void;
  auto ReleaseMemory(vm_index vm, const program::release_memory& item) -> void;
  auto Tick() -> void;

  program::program_options options_;
  random_source random_;
  std::vector<planned_fault> faults_;
  std::array<std::uint32_t, kStepCount> occurrences_{};
  std::size_t injected_ = 0;
  instant now_{};
  instant members_frozen_until_{};
  duration members_delay_{};
  std::uint64_t next_sequence_ = 0;
  std::map<queue_key, std::function<void()>> queue_;
  std::vector<fake_vm> vms_;
  std::set<link> partitioned_links_;
  endpoint_table endpoints_;
  // Runs whose answer a process still waits for, with its run of the process.
  std::map<std::uint64_t, std::pair<vm_index, vm_ref>> watchers_;
  std::set<std::tuple<std::uint64_t, std::uint64_t, bool>> update_kinds_;
  std::vector<observed_event> history_;
  reply_handler on_reply_;
  process_death_handler on_process_death_;
  disconnect_handler on_disconnect_;
  vm_index next_entry_ = 0;
};

}  // namespace daisywind::fault_matrix

#endif  // DAISYWIND_FAULT_MATRIX_SIMULATED_CLUSTER_H_
