// Several program systems with fake endpoints and links, under an injected
// clock. Faults strike at numbered occurrences of the steps of a call.
#ifndef DAISYWIND_FAULT_MATRIX_WORLD_H_
#define DAISYWIND_FAULT_MATRIX_WORLD_H_

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
#include "fault_matrix/outside_event.h"
#include "program/program_system.h"

namespace daisywind::fault_matrix {

using vm_index = std::size_t;
inline constexpr std::size_t kVmCount = 6;

// How long a paused process stands still.
inline constexpr auto kPauseTime = duration{6s};

// One VM's process.
struct fake_vm {
  program::member place;
  std::unique_ptr<program::program_system> system;
  bool is_up = true;
  bool is_paused = false;
  bool is_listed = true;
  bool is_leaving = false;
  // What a paused process has still to take in and to carry out.
  std::deque<program::event> backlog;
  std::deque<program::command> held;
};

// Receives the replies of local requests.
using reply_sink = std::function<void(vm_index, const program::command&)>;

// Told when a process dies: its callers' connections break.
using death_sink = std::function<void(vm_index)>;

// Told when the caller's connections break though all processes live.
using hangup_sink = std::function<void()>;

class world {
 public:
  world(const program::program_options& options,
        std::uint64_t seed,
        std::vector<planned_fault> faults);

  auto SetSinks(reply_sink replies, death_sink deaths, hangup_sink hangups)
      -> void;

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
  [[nodiscard]] auto StruckFaults() const -> std::size_t { return struck_; }
  auto Note(outside_event event) -> void;
  [[nodiscard]] auto history() const -> const std::vector<outside_event>& {
    return history_;
  }
  // Highest epoch that any owner has reached.
  [[nodiscard]] auto CurrentSet() const -> program::replica_set;

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
    bool is_repeated = false;
    duration delay{};
    bool dies_after = false;
    bool pauses_after = false;
    bool pauses_before = false;
    bool is_lost_answer = false;
    std::optional<program::attempt_result> forced_result;
  };
  using link = std::pair<vm_index, vm_index>;
  using queue_entry = std::tuple<instant, std::uint64_t>;

  auto StartProcess(vm_index vm) -> void;
  auto KillProcess(vm_index vm) -> void;
  auto PauseProcess(vm_index vm) -> void;
  auto ResumeProcess(vm_index vm) -> void;
  auto StopGracefully(vm_index vm) -> void;
  auto RestartAll() -> void;
  auto ListLater(vm_index vm, bool is_listed) -> void;
  auto PublishMembers() -> void;
  auto Part(const std::vector<link>& links) -> void;
  auto Isolate(vm_index vm) -> void;
  auto PartRegions() -> void;
  auto CrashEndpoint(const endpoint_id& name) -> void;
  auto FindVm(const vm_ref& ref) const -> std::optional<vm_index>;

  auto Take(vm_index vm, std::vector<program::command> commands) -> void;
  auto CarryOut(vm_index vm) -> void;
  auto Dispatch(vm_index vm, const program::command& item) -> void;
  auto StepOf(const program::command& item) -> std::optional<call_step>;
  auto Strike(call_step step, const step_context& context) -> step_effect;
  auto StrikeOne(fault_kind fault,
                 const step_context& context,
                 step_effect& effect) -> void;
  auto StrikeRole(fault_kind fault, const step_context& context) -> void;
  auto SendOver(vm_index from,
                const program::send_message& item,
                duration delay) -> void;
  auto Acquire(vm_index vm, const program::acquire_endpoint& item) -> void;
  auto StartAt(vm_index vm,
               const program::start_attempt& item,
               const step_effect& effect) -> void;
  auto RunFresh(vm_index vm, const program::start_attempt& item) -> void;
  auto Resume(vm_index vm, const program::start_attempt& item) -> void;
  auto Produce(std::uint64_t run) -> void;
  auto Stream(vm_index vm, std::uint64_t run, std::size_t offset) -> void;
  auto DeliverOutput(vm_index vm,
                     const program::attempt_output& output,
                     std::uint64_t run) -> void;
  auto ListSessions() -> void;
  auto FirstUp() const -> vm_index;
  auto CutConnection(std::uint64_t run) -> void;
  auto EndAttempt(vm_index vm, const program::attempt_ended& ended) -> void;
  auto Cancel(const program::cancel_attempt& item) -> void;
  auto Lookup(vm_index vm, const program::request_lookup& item) -> void;
  auto Release(vm_index vm, const program::release_memory& item) -> void;
  auto Tick() -> void;

  program::program_options options_;
  random_source random_;
  std::vector<planned_fault> faults_;
  std::array<std::uint32_t, kStepCount> occurrences_{};
  std::size_t struck_ = 0;
  instant now_{};
  instant members_frozen_until_{};
  duration members_delay_{};
  std::uint64_t next_sequence_ = 0;
  std::map<queue_entry, std::function<void()>> queue_;
  std::vector<fake_vm> vms_;
  std::set<link> parted_;
  endpoint_table endpoints_;
  // Runs whose answer a process still waits for, with its run of the process.
  std::map<std::uint64_t, std::pair<vm_index, vm_ref>> watchers_;
  std::set<std::tuple<std::uint64_t, std::uint64_t, bool>> update_kinds_;
  std::vector<outside_event> history_;
  reply_sink replies_;
  death_sink deaths_;
  hangup_sink hangups_;
  vm_index next_entry_ = 0;
};

}  // namespace daisywind::fault_matrix

#endif  // DAISYWIND_FAULT_MATRIX_WORLD_H_
