// Simulated callers: runs the steps of programs in sequence and their
// sub-agents in parallel.
#ifndef DAISYWIND_EXPERIMENT_PROGRAM_DRIVER_H_
#define DAISYWIND_EXPERIMENT_PROGRAM_DRIVER_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "common/random.h"
#include "experiment/event_queue.h"
#include "experiment/gateway_fake.h"
#include "experiment/measures.h"
#include "experiment/program_plan.h"
#include "experiment/specification.h"

namespace daisywind::experiment {

class program_driver {
 public:
  program_driver(event_queue& events,
                 const deployment_config& deployment,
                 std::uint64_t seed);

  // Starts a program, whose calls all go to the given gateway. Its record is
  // complete when the program ends.
  auto Start(const program_plan& plan, gateway_fake& gateway, bool is_measured)
      -> void;

  // Returns the records of all programs. Programs that are still running are
  // ended as unfinished, with their latency until now.
  [[nodiscard]] auto TakeRecords() -> std::vector<program_record>;

 private:
  struct program_run {
    program_plan plan;
    gateway_fake* gateway = nullptr;
    program_id id;
    program_record record;
    // Total time of the caller's own pauses.
    duration paused{0};
    // Attained service: total time of the completed chat calls.
    duration attained{0};
    // Whether any call has completed.
    bool has_run = false;
    bool has_ended = false;
    std::uint64_t calls = 0;
  };
  // The program itself or one of its sub-agents. A block of its context is
  // identified by a stream and the block's index: the leading `shared_tokens`
  // belong to a stream that other programs use too, the rest to its own stream.
  struct branch_run {
    program_run* program = nullptr;
    branch_run* parent = nullptr;
    const std::vector<program_step>* steps = nullptr;
    std::size_t step_index = 0;
    std::uint64_t shared_stream = 0;
    std::uint32_t shared_tokens = 0;
    std::uint64_t own_stream = 0;
    std::uint32_t context_tokens = 0;
    std::size_t running_children = 0;
    std::uint32_t consecutive_refusals = 0;
  };

  auto RunStep(branch_run& branch) -> void;
  auto NextStep(branch_run& branch) -> void;
  auto EndBranch(branch_run& branch) -> void;
  auto Fork(branch_run& branch) -> void;
  auto SubmitChat(branch_run& branch) -> void;
  auto SubmitTool(branch_run& branch) -> void;
  auto Submit(branch_run& branch, const gateway_call& call) -> void;
  auto OnOutcome(branch_run& branch,
                 const gateway_call& call,
                 const call_outcome& outcome) -> void;
  auto OnRefused(branch_run& branch,
                 const gateway_call& call,
                 const call_outcome& outcome) -> void;
  auto EndProgram(program_run& program, program_outcome outcome) -> void;
  auto MakeCall(const branch_run& branch) -> gateway_call;
  [[nodiscard]] auto BlockHashes(const branch_run& branch,
                                 std::uint32_t tokens) const
      -> std::vector<policy::block_hash>;
  auto ClassConfigOf(const program_run& program) const -> const class_config&;

  event_queue& events_;
  deployment_config deployment_;
  random_source random_;
  std::vector<std::unique_ptr<program_run>> programs_;
  std::vector<std::unique_ptr<branch_run>> branches_;
};

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_PROGRAM_DRIVER_H_
