#include "fault_matrix/matrix.h"

#include <algorithm>
#include <array>
#include <utility>

#include "fault_matrix/simulated_cluster.h"

namespace daisywind::fault_matrix {
namespace {

// The caller's program must be over after this time.
constexpr auto kRunTimeout = duration{240s};
// Further time for engines to release their memory, in cases with two faults.
constexpr auto kPairReleaseTimeout = duration{400s};
// Time after the end of the program in which engines release their memory.
constexpr auto kReleaseTime = duration{20s};
// Time before the caller starts, in which the VMs receive the member list.
constexpr auto kStartDelay = duration{200ms};
constexpr std::int64_t kWorkflowTokens = 2000;
constexpr std::int64_t kWorkflowCalls = 40;
constexpr std::int64_t kLoopTokens = 700;
constexpr std::int64_t kLoopCalls = 11;
constexpr auto kProgramTime = duration{300s};

// Minimum number of occurrences of each step in a run without faults, in the
// order of call_step.
constexpr auto kOccurrences =
    std::to_array<std::uint32_t>({1, 9, 7, 9, 9, 9, 9, 12, 9, 9, 9, 7, 3});
static_assert(kOccurrences.size() == kStepCount);

auto LimitsOf(scenario kind) -> program::budget {
  return kind == scenario::kWorkflow
             ? program::budget{kWorkflowTokens, kWorkflowCalls, kProgramTime}
             : program::budget{kLoopTokens, kLoopCalls, kProgramTime};
}

auto OccurrencesOf(call_step step) -> std::uint32_t {
  return kOccurrences.at(static_cast<std::size_t>(step));
}

auto ApplicablePairs() -> std::vector<planned_fault> {
  auto all = std::vector<planned_fault>{};
  for (const auto step : AllSteps()) {
    for (const auto fault : AllFaults()) {
      if (IsApplicable(step, fault)) {
        all.push_back(planned_fault{step, fault, 0});
      }
    }
  }
  return all;
}

auto DrawOccurrence(random_source& random, planned_fault fault)
    -> planned_fault {
  fault.occurrence = static_cast<std::uint32_t>(
      random.UniformBelow(OccurrencesOf(fault.step)));
  return fault;
}

auto DrawScenario(random_source& random) -> scenario {
  constexpr std::uint64_t kCasesPerLoop = 4;
  return random.UniformBelow(kCasesPerLoop) == 0 ? scenario::kLoop
                                                 : scenario::kWorkflow;
}

// A rolling restart of all VMs takes over a minute, so the program pauses
// longer between its calls to be still running at the end of it.
auto ToolPauseOf(const matrix_case& item) -> duration {
  constexpr auto kToolPause = duration{50ms};
  constexpr auto kLongToolPause = duration{11s};
  const auto is_long = std::any_of(
      item.faults.begin(), item.faults.end(), [](const planned_fault& fault) {
        return fault.fault == fault_kind::kRollingRestart;
      });
  return is_long ? kLongToolPause : kToolPause;
}

// The loss of a failure domain and a rolling restart can interrupt more than
// one call.
auto AllowedUnknown(const matrix_case& item) -> std::size_t {
  constexpr std::size_t kCallsInFlight = 2;
  return item.faults.empty() ? 0 : kCallsInFlight;
}

}  // namespace

auto MatrixOptions() -> program::program_options {
  auto options = program::program_options{};
  options.idle_limit = duration{60s};
  options.audit_period = duration{10s};
  options.report_timeout = duration{30s};
  options.orphan_timeout = duration{30s};
  options.forward_timeout = duration{10s};
  return options;
}

auto SingleFaultCases(std::uint64_t seed) -> std::vector<matrix_case> {
  auto cases = std::vector<matrix_case>{};
  for (const auto kind : {scenario::kWorkflow, scenario::kLoop}) {
    for (auto fault : ApplicablePairs()) {
      for (auto i = std::uint32_t{0}; i < OccurrencesOf(fault.step); ++i) {
        fault.occurrence = i;
        cases.push_back(matrix_case{seed, kind, {fault}});
      }
    }
  }
  return cases;
}

auto FaultPairCases(std::uint64_t seed, std::size_t count)
    -> std::vector<matrix_case> {
  auto random = random_source{seed};
  const auto all = ApplicablePairs();
  auto cases = std::vector<matrix_case>{};
  const auto add = [&](const planned_fault& first,
                       const planned_fault& second) {
    auto item = matrix_case{};
    item.seed = random.Next() % 1'000'000;
    item.kind = DrawScenario(random);
    item.faults = {DrawOccurrence(random, first),
                   DrawOccurrence(random, second)};
    cases.push_back(std::move(item));
  };
  if (count == 0) {
    for (const auto& first : all) {
      for (const auto& second : all) {
        add(first, second);
      }
    }
  }
  for (auto i = std::size_t{0}; i < count; ++i) {
    add(all[random.UniformBelow(all.size())],
        all[random.UniformBelow(all.size())]);
  }
  return cases;
}

auto RunCase(const matrix_case& item, const program::program_options& options)
    -> case_result {
  auto cluster = simulated_cluster{options, item.seed, item.faults};
  const auto limits = LimitsOf(item.kind);
  auto user = caller{cluster, item.kind, limits, ToolPauseOf(item)};
  cluster.SetHandlers(
      [&user](vm_index vm, const program::command& reply) {
        user.OnReply(vm, reply);
      },
      [&user](vm_index vm) { user.OnProcessDeath(vm); },
      [&user] { user.OnDisconnected(); });
  cluster.Schedule(kStartDelay, [&user] { user.Start(); });
  const auto start = cluster.now();
  cluster.RunUntil(start + kRunTimeout, [&user] { return user.IsOver(); });
  cluster.RunUntil(cluster.now() + kReleaseTime, [] { return false; });
  // The memory of programs that were given up, or whose replicas are all lost,
  // is released later.
  const auto is_pair = item.faults.size() > 1;
  if (is_pair) {
    cluster.RunUntil(cluster.now() + kPairReleaseTimeout, [&cluster] {
      return CountSessions(cluster.endpoints()) == 0;
    });
  }
  auto history = case_history{};
  history.events = cluster.history();
  history.limits = limits;
  history.held_sessions = CountSessions(cluster.endpoints());
  history.must_finish = item.faults.size() <= 1;
  history.allowed_unknown = AllowedUnknown(item);
  auto result = case_result{};
  result.violations = CheckHistory(history);
  result.events = history.events;
  result.injected = cluster.InjectedFaults();
  result.is_finished = user.IsOver();
  result.unknown = static_cast<std::size_t>(
      std::count_if(history.events.begin(), history.events.end(),
                    [](const observed_event& event) {
                      return event.kind == observed_event_kind::kRefused &&
                             event.result == program::outcome::kUnknown;
                    }));
  return result;
}

auto ToString(const matrix_case& item) -> std::string {
  auto text = "--seed " + std::to_string(item.seed) + " --scenario " +
              (item.kind == scenario::kWorkflow ? "workflow" : "loop") +
              " --faults ";
  auto separator = std::string_view{};
  for (const auto& fault : item.faults) {
    text += separator;
    text += NameOf(fault.step);
    text += ":";
    text += NameOf(fault.fault);
    text += ":" + std::to_string(fault.occurrence);
    separator = ",";
  }
  return text;
}

auto ToString(const observed_event& event) -> std::string {
  static constexpr auto kKinds = std::to_array<std::string_view>(
      {"sent", "answered", "refused", "abandoned", "run_started",
       "run_finished", "program_ended", "program_refused"});
  auto text = std::to_string(event.at.time_since_epoch().count()) + " us ";
  text += kKinds.at(static_cast<std::size_t>(event.kind));
  text += " " + event.branch.value + "/" + std::to_string(event.turn);
  text += " request " + std::to_string(event.request);
  text += " run " + std::to_string(event.run);
  const auto is_refusal = event.kind == observed_event_kind::kRefused ||
                          event.kind == observed_event_kind::kProgramRefused;
  if (is_refusal) {
    text += " " + std::string{NameOf(event.result)} + " " +
            std::string{NameOf(event.reason)};
  }
  if (!event.text.empty()) {
    text += " \"" + event.text + "\"";
  }
  return text;
}

}  // namespace daisywind::fault_matrix
