#include "load/program_plan.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <numeric>
#include <string_view>
#include <utility>

namespace daisywind::load {
namespace {

constexpr auto kWords = std::to_array<std::string_view>({
    "how",   "much",  "corn",    "is",    "left",   "at",       "the",
    "north", "plaza", "and",     "which", "route",  "should",   "cart",
    "take",  "after", "noon",    "for",   "combos", "toppings", "crew",
    "shift", "line",  "bottles", "week",  "plan",
});

class plan_generator {
 public:
  plan_generator(const program_kind& kind,
                 const plan_options& options,
                 random_source& random)
      : kind_(kind), options_(options), random_(random) {}

  auto Generate(std::size_t index, duration start_at) -> program_plan {
    plan_.index = index;
    plan_.class_name = std::string(kind_.class_name);
    plan_.model = std::string(kind_.model);
    plan_.start_at = start_at;
    is_stream_ = random_.UniformBelow(
                     static_cast<std::uint64_t>(kind_.stream_every)) == 0;
    plan_.branches.push_back({"main", {}});
    AddTurns(0, UniformIn(kind_.turns), kind_.first_message_bytes);
    AddServiceCalls();
    AddFork();
    return std::move(plan_);
  }

 private:
  auto UniformIn(const number_range& range) -> std::int64_t {
    const auto size = static_cast<std::uint64_t>(range.max - range.min + 1);
    return range.min + static_cast<std::int64_t>(random_.UniformBelow(size));
  }

  // The message contains its program and branch, so that a response delivered
  // to the wrong one is detected.
  auto UserMessage(std::size_t branch, const number_range& bytes)
      -> std::string {
    auto text = "program " + std::to_string(plan_.index) + " branch " +
                std::to_string(branch) + ":";
    const auto size = static_cast<std::size_t>(UniformIn(bytes));
    while (text.size() < size) {
      text += ' ';
      text += kWords[random_.UniformBelow(kWords.size())];
    }
    return text;
  }

  auto AddTurns(std::size_t branch,
                std::int64_t turns,
                const number_range& first_bytes) -> void {
    for (auto turn = std::int64_t{0}; turn < turns; ++turn) {
      auto step = plan_step{};
      step.text =
          UserMessage(branch, turn == 0 ? first_bytes : kind_.message_bytes);
      step.max_tokens = UniformIn(kind_.max_tokens);
      step.is_stream = is_stream_;
      auto& steps = plan_.branches[branch].steps;
      if (turn > 0) {
        steps.push_back(Pause());
      }
      steps.push_back(std::move(step));
    }
  }

  auto Pause() -> plan_step {
    auto step = plan_step{};
    step.kind = step_kind::kPause;
    const auto mean = static_cast<double>(kind_.mean_pause.count());
    const auto time = random_.Exponential(mean) / options_.time_scale;
    step.pause = duration(static_cast<duration::rep>(time));
    return step;
  }

  auto AddServiceCalls() -> void {
    const auto count = UniformIn(kind_.service_calls);
    for (auto i = std::int64_t{0}; i < count; ++i) {
      const auto& target =
          kind_.services[random_.UniformBelow(kind_.services.size())];
      auto step = plan_step{};
      step.kind = step_kind::kService;
      step.service = std::string(target.service);
      step.path = std::string(target.path);
      step.text = R"({"program":)" + std::to_string(plan_.index) +
                  R"(,"amount":)" + std::to_string(random_.UniformBelow(100)) +
                  "}";
      InsertAtRandom(std::move(step));
    }
  }

  auto AddFork() -> void {
    const auto count = static_cast<std::size_t>(UniformIn(kind_.sub_agents));
    if (count == 0) {
      return;
    }
    auto step = plan_step{};
    step.kind = step_kind::kFork;
    step.first_branch = plan_.branches.size();
    step.branch_count = count;
    for (auto i = std::size_t{0}; i < count; ++i) {
      plan_.branches.push_back({"sub-" + std::to_string(i + 1), {}});
      AddTurns(plan_.branches.size() - 1, UniformIn(kind_.sub_agent_turns),
               kind_.message_bytes);
    }
    InsertAtRandom(std::move(step));
  }

  // Inserts a step into the main branch at a random position after the first
  // turn.
  auto InsertAtRandom(plan_step step) -> void {
    auto& steps = plan_.branches.front().steps;
    const auto at = 1 + random_.UniformBelow(steps.size());
    steps.insert(steps.begin() + static_cast<std::ptrdiff_t>(at),
                 std::move(step));
  }

  const program_kind& kind_;
  const plan_options& options_;
  random_source& random_;
  program_plan plan_;
  bool is_stream_ = false;
};

auto PickKind(const deployment& workload, random_source& random)
    -> const program_kind& {
  const auto total = std::accumulate(
      workload.kinds.begin(), workload.kinds.end(), std::int64_t{0},
      [](std::int64_t sum, const auto& kind) { return sum + kind.weight; });
  auto remaining = static_cast<std::int64_t>(
      random.UniformBelow(static_cast<std::uint64_t>(total)));
  const auto found = std::find_if(
      workload.kinds.begin(), workload.kinds.end(),
      [&](const program_kind& kind) { return (remaining -= kind.weight) < 0; });
  return *found;
}

}  // namespace

auto GeneratePlans(const deployment& workload,
                   const plan_options& options,
                   random_source& random) -> std::vector<program_plan> {
  auto plans = std::vector<program_plan>{};
  auto start_at = duration{};
  for (auto index = std::size_t{0}; index < options.programs; ++index) {
    const auto& kind = PickKind(workload, random);
    plans.push_back(
        plan_generator(kind, options, random).Generate(index, start_at));
    const auto gap =
        std::chrono::duration<double>(random.Exponential(1 / options.rate));
    start_at += std::chrono::duration_cast<duration>(gap);
  }
  return plans;
}

}  // namespace daisywind::load
