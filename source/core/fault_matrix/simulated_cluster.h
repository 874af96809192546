// A cluster of program systems with fake endpoints and simulated links and
// time. Faults are injected at planned occurrences of the steps of a call.
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

// How long a paused process handles no events.
inline constexpr auto kPauseTime = duration{6s};

// A VM with its process.
struct fake_vm {
  program::member member_info;
  std::unique_ptr<program::program_system> system;
  bool is_up = true;
  bool is_paused = false;
  // The member list contains the VM.
  bool is_listed = true;
  bool is_leaving = false;
  // Events and commands that a paused process handles when it resumes.
  std::deque<program::event> pending_events;
  std::deque<program::command> pending_commands;
};

// Called with each reply to a caller at a VM.
using reply_handler = std::function<void(vm_index, const program::command&)>;

// Called after a process has died, which breaks the connections of its callers.
using process_death_handler = std::function<void(vm_index)>;

// Called when the connections of the caller break while all processes live.
using disconnect_handler = std::function<void()>;

// Runs the processes, links, endpoints and timers in one thread. The order of
// all events follows from the seed and the planned faults.
class simulated_cluster {
 public:
  simulated_cluster(const program::program_options& options,
                    std::uint64_t seed,
                    std::vector<planned_fault> faults);

  auto SetHandlers(reply_handler on_reply,
                   process_death_handler on_process_death,
                   disconnect_handler on_disconnect) -> void;

  // Runs an action after a delay of simulated time.
  auto Schedule(duration delay, std::function<void()> action) -> void;

  // Delivers an event to the process of a VM. Dropped if it is down, queued if
  // it is paused.
  auto Deliver(vm_index vm, const program::event& input) -> void;

  // Runs scheduled actions up to the time `end` or until the condition holds.
  auto RunUntil(instant end, const std::function<bool()>& is_done) -> void;

  // Chooses a VM whose process is up, round-robin, as the entry VM of a
  // request.
  auto NextEntry() -> vm_index;

  [[nodiscard]] auto now() const -> instant { return now_; }
  [[nodiscard]] auto endpoints() const -> const endpoint_table& {
    return endpoints_;
  }
  [[nodiscard]] auto InjectedFaults() const -> std::size_t { return injected_; }
  // Appends an event to the history with the current time.
  auto RecordEvent(observed_event event) -> void;
  [[nodiscard]] auto history() const -> const std::vector<observed_event>& {
    return history_;
  }
  // The replicas of the highest epoch that any owner has reached.
  [[nodiscard]] auto CurrentReplicas() const -> program::replica_set;

 private:
  // The VM that takes a step, the receiver of its message and its endpoint.
  struct step_context {
    vm_index actor = 0;
    std::optional<vm_index> peer;
    endpoint_id endpoint;
  };
  // Effect of the injected faults on the step itself.
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
  // Due time and sequence number of a scheduled action.
  using queue_key = std::tuple<instant, std::uint64_t>;

  auto StartProcess(vm_index vm) -> void;
  auto KillProcess(vm_index vm) -> void;
  auto PauseProcess(vm_index vm) -> void;
  auto ResumeProcess(vm_index vm) -> void;
  // Requests a shutdown and kills the process after the drain time-out.
  auto StopGracefully(vm_index vm) -> void;
  // Restarts one VM after the other.
  auto RestartAll() -> void;
  // Adds the VM to the member list or removes it after the detection delay.
  // Skipped if the process is in the other state by then and not paused.
  auto UpdateListingLater(vm_index vm, bool is_listed) -> void;
  // Sends the member list to all VMs, delayed by faults of the key-value store.
  auto PublishMembers() -> void;
  // Drops all messages on the links in both directions for a fixed time.
  auto PartitionLinks(const std::vector<link>& links) -> void;
  // Partitions a VM from all other VMs.
  auto Isolate(vm_index vm) -> void;
  auto PartitionRegions() -> void;
  auto CrashEndpoint(const endpoint_id& name) -> void;
  auto FindVm(const vm_ref& ref) const -> std::optional<vm_index>;

  // Queues commands of a process and executes them unless it is paused.
  auto Execute(vm_index vm, std::vector<program::command> commands) -> void;
  auto ExecutePending(vm_index vm) -> void;
  // Executes one command with the faults of its step.
  auto Dispatch(vm_index vm, const program::command& item) -> void;
  // The step that a command takes, if it is one where faults can be injected.
  auto StepOf(const program::command& item) -> std::optional<call_step>;
  // Counts an occurrence of the step and injects the faults planned for it.
  auto InjectFaults(call_step step, const step_context& context) -> step_effect;
  auto InjectFault(fault_kind fault,
                   const step_context& context,
                   step_effect& effect) -> void;
  // Injects a fault that is aimed at the owner, the witness, the arbiter or the
  // entry VM, whichever VM takes the step.
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
  // Generates the next part of a run's answer.
  auto ProduceOutput(std::uint64_t run) -> void;
  // Sends the output from the offset on to the VM that waits for the run.
  auto StreamOutput(vm_index vm, std::uint64_t run, std::size_t offset) -> void;
  auto DeliverOutput(vm_index vm,
                     const program::attempt_output& output,
                     std::uint64_t run) -> void;
  // Reports the sessions of each engine to a running VM, periodically.
  auto ListSessions() -> void;
  auto FirstRunningVm() const -> vm_index;
  // Ends the attempt of a run with an unknown result. The run goes on.
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
  // Until then, no change of the member list arrives.
  instant members_frozen_until_{};
  duration members_delay_{};
  std::uint64_t next_sequence_ = 0;
  std::map<queue_key, std::function<void()>> queue_;
  std::vector<fake_vm> vms_;
  std::set<link> partitioned_links_;
  endpoint_table endpoints_;
  // VM and process run that wait for the output of a run, by run number.
  std::map<std::uint64_t, std::pair<vm_index, vm_ref>> watchers_;
  // Epoch, sequence number and whether it is an intent, of each sent intent and
  // settlement. Used to tell their acknowledgements apart.
  std::set<std::tuple<std::uint64_t, std::uint64_t, bool>> update_kinds_;
  std::vector<observed_event> history_;
  reply_handler on_reply_;
  process_death_handler on_process_death_;
  disconnect_handler on_disconnect_;
  vm_index next_entry_ = 0;
};

}  // namespace daisywind::fault_matrix

#endif  // DAISYWIND_FAULT_MATRIX_SIMULATED_CLUSTER_H_
