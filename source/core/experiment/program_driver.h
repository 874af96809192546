// Runs programs as their callers do: step by step, with sub-agents in parallel.
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
                 const deployment_shape& deployment,
                 std::uint64_t seed);

  // Starts a program now at a gateway. Its record is filled when it ends.
  auto Start(const program_plan& plan, gateway_fake& gateway, bool is_measured)
      -> void;

  // The records of all programs; those still running are unfinished, with the
  // time so far.
  [[nodiscard]] auto TakeRecords() -> std::vector<program_record>;

 private:
  struct program_run {
    program_plan plan;
    gateway_fake* gateway = nullptr;
    program_id id;
    program_record record;
    duration paused{0};
    duration attained{0};
    bool has_run = false;
    bool is_over = false;
    std::uint64_t calls = 0;
  };
  struct branch_run {
    program_run* program = nullptr;
    branch_run* parent = nullptr;
    const std::vector<program_step>* steps = nullptr;
    std::size_t position = 0;
    std::uint64_t shared_stream = 0;
    std::uint32_t shared_tokens = 0;
    std::uint64_t own_stream = 0;
    std::uint32_t context_tokens = 0;
    std::size_t running_children = 0;
    std::uint32_t refusals_in_row = 0;
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
  [[nodiscard]] auto Blocks(const branch_run& branch,
                            std::uint32_t tokens) const
      -> std::vector<policy::block_hash>;
  auto ShapeOf(const program_run& program) const -> const class_shape&;

  event_queue& events_;
  deployment_shape deployment_;
  random_source random_;
  std::vector<std::unique_ptr<program_run>> programs_;
  std::vector<std::unique_ptr<branch_run>> branches_;
};

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_PROGRAM_DRIVER_H_
