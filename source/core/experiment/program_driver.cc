#include "experiment/program_driver.h"

#include <algorithm>
#include <string>

#include "common/digest.h"
#include "experiment/capacity.h"

namespace daisywind::experiment {
namespace {

constexpr auto kBytesPerToken = 4U;
constexpr auto kToolRequestBytes = 2'000U;
// Refusals in a row after which the caller gives up: before any call of the
// program has completed, and afterwards.
constexpr auto kMaxStartRefusals = 3U;
constexpr auto kMaxConsecutiveRefusals = 30U;
// Streams of shared prompts are small numbers: 1000 for each class, of which
// the upper 500 are for the prompts of sub-agents. The own streams of programs
// are random 64-bit numbers.
constexpr auto kSharedStreamsPerClass = std::uint64_t{1000};
constexpr auto kSubAgentStreams = std::uint64_t{500};

// Hashes two numbers to a block hash, a stream or a request key, with the
// finaliser of SplitMix64.
auto HashPair(std::uint64_t a, std::uint64_t b) -> std::uint64_t {
  constexpr auto kGolden = std::uint64_t{0x9E3779B97F4A7C15};
  constexpr auto kMultiplierA = std::uint64_t{0xBF58476D1CE4E5B9};
  constexpr auto kMultiplierB = std::uint64_t{0x94D049BB133111EB};
  constexpr auto kShiftA = 30U;
  constexpr auto kShiftB = 27U;
  constexpr auto kShiftC = 31U;
  auto value = a * kGolden + b + kGolden;
  value = (value ^ (value >> kShiftA)) * kMultiplierA;
  value = (value ^ (value >> kShiftB)) * kMultiplierB;
  return value ^ (value >> kShiftC);
}

}  // namespace

program_driver::program_driver(event_queue& events,
                               const deployment_config& deployment,
                               std::uint64_t seed)
    : events_(events), deployment_(deployment), random_(seed) {}

auto program_driver::ClassConfigOf(const program_run& program) const
    -> const class_config& {
  return deployment_.classes[program.plan.class_index];
}

auto program_driver::Start(const program_plan& plan,
                           gateway_fake& gateway,
                           bool is_measured) -> void {
  auto& program = *programs_.emplace_back(std::make_unique<program_run>());
  program.plan = plan;
  program.gateway = &gateway;
  program.id = {random_.Next(), random_.Next()};
  program.record.class_index = plan.class_index;
  program.record.arrival = events_.now();
  program.record.is_measured = is_measured;
  program.record.unloaded = UnloadedLatency(plan, deployment_);
  auto& branch = *branches_.emplace_back(std::make_unique<branch_run>());
  branch.program = &program;
  branch.steps = &program.plan.steps;
  branch.shared_stream =
      plan.class_index * kSharedStreamsPerClass + plan.shared_prompt;
  branch.shared_tokens = ClassConfigOf(program).shared_prompt_tokens;
  branch.context_tokens = branch.shared_tokens;
  branch.own_stream = program.id.low;
  RunStep(branch);
}

auto program_driver::BlockHashes(const branch_run& branch,
                                 std::uint32_t tokens) const
    -> std::vector<policy::block_hash> {
  auto out = std::vector<policy::block_hash>{};
  const auto shared = branch.shared_tokens / kBlockTokens;
  for (auto i = 0U; i < tokens / kBlockTokens; ++i) {
    const auto stream = i < shared ? branch.shared_stream : branch.own_stream;
    out.push_back(HashPair(stream, i));
  }
  return out;
}

auto program_driver::MakeCall(const branch_run& branch) -> gateway_call {
  auto& program = *branch.program;
  auto call = gateway_call{};
  ++program.calls;
  call.key = HashPair(program.id.high, program.calls);
  auto& request = call.request;
  request.program = program.id;
  request.organisation = organisation_id{deployment_.organisation};
  request.call_class = class_id{ClassConfigOf(program).name};
  request.is_continuation = program.has_run;
  request.attained_service = program.attained;
  request.body = DigestOf(std::to_string(call.key));
  return call;
}

auto program_driver::SubmitChat(branch_run& branch) -> void {
  const auto& step = (*branch.steps)[branch.step_index];
  auto call = MakeCall(branch);
  const auto prompt = branch.context_tokens + step.new_tokens;
  call.backend_request.prompt_tokens = prompt;
  call.backend_request.output_tokens = step.output_tokens;
  call.backend_request.blocks =
      BlockHashes(branch, prompt + step.output_tokens);
  call.backend_request.prompt_blocks = prompt / kBlockTokens;
  auto& request = call.request;
  request.target = kModelName;
  request.is_idempotent = true;
  request.prompt_tokens = prompt;
  request.max_tokens = static_cast<std::uint32_t>(
      ClassConfigOf(*branch.program).output_tokens.high);
  request.body_bytes = prompt * kBytesPerToken;
  for (auto i = std::size_t{0}; i < call.backend_request.prompt_blocks; ++i) {
    request.prefix.push_back(
        {call.backend_request.blocks[i],
         static_cast<std::uint32_t>(i + 1) * kBlockTokens});
  }
  Submit(branch, call);
}

auto program_driver::SubmitTool(branch_run& branch) -> void {
  const auto& step = (*branch.steps)[branch.step_index];
  auto call = MakeCall(branch);
  call.backend_request.service_time = step.length;
  auto& request = call.request;
  request.kind = policy::endpoint_kind::kService;
  request.target = kServiceName;
  request.is_idempotent = step.is_idempotent;
  request.body_bytes = kToolRequestBytes;
  Submit(branch, call);
}

auto program_driver::Submit(branch_run& branch, const gateway_call& call)
    -> void {
  auto submitted = call;
  submitted.on_done = [this, &branch, call](const call_outcome& outcome) {
    events_.After(deployment_.client_delay, [this, &branch, call, outcome] {
      OnOutcome(branch, call, outcome);
    });
  };
  events_.After(deployment_.client_delay, [&branch, submitted] {
    branch.program->gateway->Submit(submitted);
  });
}

auto program_driver::OnOutcome(branch_run& branch,
                               const gateway_call& call,
                               const call_outcome& outcome) -> void {
  auto& program = *branch.program;
  if (program.has_ended) {
    return;
  }
  if (outcome.kind == call_outcome_kind::kFailed) {
    EndProgram(program, program_outcome::kFailed);
    return;
  }
  if (outcome.kind == call_outcome_kind::kRefused) {
    OnRefused(branch, call, outcome);
    return;
  }
  branch.consecutive_refusals = 0;
  program.has_run = true;
  const auto& step = (*branch.steps)[branch.step_index];
  if (step.kind == step_kind::kChat) {
    program.attained += outcome.service;
    branch.context_tokens += step.new_tokens + step.output_tokens;
  }
  NextStep(branch);
}

auto program_driver::OnRefused(branch_run& branch,
                               const gateway_call& call,
                               const call_outcome& outcome) -> void {
  auto& program = *branch.program;
  ++branch.consecutive_refusals;
  const auto limit =
      program.has_run ? kMaxConsecutiveRefusals : kMaxStartRefusals;
  if (branch.consecutive_refusals >= limit) {
    EndProgram(program, program.has_run ? program_outcome::kFailed
                                        : program_outcome::kRefused);
    return;
  }
  const auto retry_delay = std::chrono::duration_cast<duration>(
      outcome.retry_after * (1.0 + random_.UniformDouble()));
  events_.After(retry_delay, [this, &branch, call] { Submit(branch, call); });
}

auto program_driver::RunStep(branch_run& branch) -> void {
  if (branch.step_index >= branch.steps->size()) {
    EndBranch(branch);
    return;
  }
  const auto& step = (*branch.steps)[branch.step_index];
  switch (step.kind) {
    case step_kind::kChat:
      SubmitChat(branch);
      return;
    case step_kind::kTool:
      SubmitTool(branch);
      return;
    case step_kind::kFork:
      Fork(branch);
      return;
    case step_kind::kThink:
      branch.program->paused += step.length;
      events_.After(step.length, [this, &branch] { NextStep(branch); });
      return;
  }
}

auto program_driver::NextStep(branch_run& branch) -> void {
  ++branch.step_index;
  RunStep(branch);
}

auto program_driver::Fork(branch_run& branch) -> void {
  const auto& step = (*branch.steps)[branch.step_index];
  branch.running_children = step.branches.size();
  const auto& config = ClassConfigOf(*branch.program);
  for (const auto& steps : step.branches) {
    auto& child = *branches_.emplace_back(std::make_unique<branch_run>());
    child.program = branch.program;
    child.parent = &branch;
    child.steps = &steps;
    child.shared_stream = branch.shared_stream + kSubAgentStreams;
    child.shared_tokens = config.sub_agent_prompt_tokens;
    child.context_tokens = child.shared_tokens;
    child.own_stream = HashPair(branch.own_stream, branches_.size());
    RunStep(child);
  }
}

auto program_driver::EndBranch(branch_run& branch) -> void {
  if (branch.parent == nullptr) {
    EndProgram(*branch.program, program_outcome::kDone);
    return;
  }
  auto& parent = *branch.parent;
  --parent.running_children;
  if (parent.running_children == 0) {
    NextStep(parent);
  }
}

auto program_driver::EndProgram(program_run& program, program_outcome outcome)
    -> void {
  program.has_ended = true;
  auto& record = program.record;
  record.outcome = outcome;
  record.end = events_.now();
  record.latency = events_.now() - record.arrival - program.paused;
  const auto seconds = std::chrono::duration<double>{record.latency}.count();
  record.is_within_deadline = outcome == program_outcome::kDone &&
                              seconds <= ClassConfigOf(program).deadline_s;
}

auto program_driver::TakeRecords() -> std::vector<program_record> {
  auto out = std::vector<program_record>{};
  for (auto& program : programs_) {
    if (!program->has_ended) {
      EndProgram(*program, program_outcome::kUnfinished);
    }
    out.push_back(program->record);
  }
  return out;
}

}  // namespace daisywind::experiment
