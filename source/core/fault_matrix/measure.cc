#include "fault_matrix/measure.h"

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

#include "fault_matrix/matrix.h"
#include "program/program_system.h"

namespace daisywind::fault_matrix {
namespace {

using program::command;
using program::event;

constexpr std::size_t kSystems = 4;
constexpr std::size_t kFirstOwner = 0;
// Token and call budget of each program, larger than any measurement uses.
constexpr std::int64_t kTokenBudget = 1'000'000'000;
constexpr std::int64_t kCallBudget = 4000;
// Printed names of the alternatives of program::event, in their order.
constexpr auto kEventNames = std::to_array<std::string_view>(
    {"open", "call arrives", "control", "caller gone", "message", "members",
     "peer lost", "endpoint granted", "endpoint refused", "output",
     "attempt ended", "lookup", "release", "endpoint restarted", "sessions",
     "shutdown"});
static_assert(kEventNames.size() == std::variant_size_v<event>);

auto HeapBytes() -> double {
  return static_cast<double>(mallinfo2().uordblks);
}

// Four program systems with lossless links and one engine that answers
// immediately.
class benchmark_cluster {
 public:
  benchmark_cluster() {
    auto change = program::members_changed{};
    static constexpr auto kDomains =
        std::to_array<std::string_view>({"a", "b", "c", "d"});
    for (auto i = std::size_t{0}; i < kSystems; ++i) {
      auto item = program::member{};
      item.vm = vm_ref{vm_id{"vm-" + std::to_string(i)}, 1};
      item.failure_domain = failure_domain_id{std::string{kDomains.at(i)}};
      change.members.push_back(item);
      systems_.push_back(std::make_unique<program::program_system>(
          program::program_options{}, item.vm, i));
    }
    members_ = change.members;
    for (auto i = std::size_t{0}; i < kSystems; ++i) {
      Submit(i, change);
    }
  }

  auto Open() -> program::program_handle {
    Submit(kFirstOwner,
           program::open_program{
               ++request_, organisation_id{"choclo"}, class_id{"vendor"},
               program::budget{kTokenBudget, kCallBudget, duration{3600s}}});
    return last_program_state_->handle;
  }

  auto Chat(std::size_t entry,
            const program::program_handle& handle,
            program::turn_number turn,
            std::vector<digest>& history) -> void {
    auto call = program::call_arrived{};
    call.request = ++request_;
    call.handle = handle;
    call.organisation = organisation_id{"choclo"};
    call.call.turn = turn;
    call.call.is_idempotent = true;
    call.call.target = "agent";
    call.call.body = program::MakePayload(std::string(200, 'q'));
    call.call.body_digest = DigestOf(*call.call.body);
    const auto before = history.empty() ? digest{} : history.back();
    history.push_back(Extend(before, "user"));
    call.call.history = history;
    call.call.prompt_tokens = 100;
    call.call.max_tokens = 100;
    Submit(entry, call);
    history.push_back(Extend(history.back(), "answer"));
  }

  [[nodiscard]] auto systems() const
      -> const std::vector<std::unique_ptr<program::program_system>>& {
    return systems_;
  }
  [[nodiscard]] auto Costs(std::size_t calls) const -> std::vector<event_cost> {
    auto costs = std::vector<event_cost>{};
    for (const auto& [name, entry] : costs_) {
      costs.push_back(event_cost{name, entry.first,
                                 entry.second / static_cast<double>(calls)});
    }
    return costs;
  }
  auto ClearCosts() -> void { costs_.clear(); }

  // Removes the first owner from the member list and reports it to the others
  // as lost.
  auto RemoveFirstOwner() -> void {
    is_first_owner_removed_ = true;
    const auto removed = members_.at(kFirstOwner).vm;
    auto change = program::members_changed{members_};
    change.members.erase(change.members.begin());
    for (auto i = kFirstOwner + 1; i < kSystems; ++i) {
      Submit(i, change);
      Submit(i, program::peer_lost{removed});
    }
  }

  // Advances the clock by one tick at the systems other than kFirstOwner.
  auto Tick() -> void {
    now_ += duration{100ms};
    for (auto i = kFirstOwner + 1; i < kSystems; ++i) {
      for (const auto& item : systems_[i]->Tick(now_)) {
        ExecuteCommand(i, item);
      }
      ProcessQueue();
    }
  }

  // Number of programs owned by the systems other than kFirstOwner.
  [[nodiscard]] auto OwnedByOthers() const -> std::size_t {
    auto owned = std::size_t{0};
    for (auto i = kFirstOwner + 1; i < kSystems; ++i) {
      owned += systems_[i]->Stats().owned;
    }
    return owned;
  }
  [[nodiscard]] auto messages() const -> std::size_t { return messages_; }

 private:
  // Queues an event and handles all queued events.
  auto Submit(std::size_t system, const event& input) -> void {
    queue_.emplace_back(system, input);
    ProcessQueue();
  }

  auto ProcessQueue() -> void {
    while (!queue_.empty()) {
      const auto item = std::move(queue_.front());
      queue_.pop_front();
      HandleEvent(item.first, item.second);
    }
  }

  auto EventName(std::size_t system, const event& input) const -> std::string {
    auto name = system == kFirstOwner ? std::string{"owner: "}
                                      : std::string{"others: "};
    name += kEventNames.at(input.index());
    if (const auto* peer = std::get_if<program::peer_message>(&input)) {
      // Printed names of the first alternatives of program::message, in their
      // order. All later ones are printed as "other".
      static constexpr auto kNames = std::to_array<std::string_view>(
          {"forward", "control", "accepted", "poll", "redirect", "cancel",
           "part", "end", "problem", "control reply", "doubt", "record",
           "record ack"});
      const auto index = peer->body.index();
      name += " ";
      name += index < kNames.size() ? kNames.at(index) : "other";
    }
    return name;
  }

  // Handles one event and adds its time to the cost of its kind of event.
  auto HandleEvent(std::size_t system, const event& input) -> void {
    now_ += duration{10us};
    const auto begin = std::chrono::steady_clock::now();
    auto commands = systems_[system]->Handle(input, now_);
    const auto end = std::chrono::steady_clock::now();
    auto& cost = costs_[EventName(system, input)];
    ++cost.first;
    cost.second +=
        std::chrono::duration<double, std::micro>(end - begin).count();
    for (const auto& item : commands) {
      ExecuteCommand(system, item);
    }
  }

  auto ExecuteCommand(std::size_t system, const command& item) -> void {
    if (const auto* send = std::get_if<program::send_message>(&item)) {
      for (auto i = std::size_t{0}; i < kSystems; ++i) {
        if (members_[i].vm == send->to &&
            !(is_first_owner_removed_ && i == kFirstOwner)) {
          ++messages_;
          queue_.emplace_back(
              i, program::peer_message{members_[system].vm, send->body});
        }
      }
    } else if (const auto* acquire =
                   std::get_if<program::acquire_endpoint>(&item)) {
      queue_.emplace_back(system, program::endpoint_granted{
                                      acquire->call, endpoint_id{"agent-1"}});
    } else if (const auto* start = std::get_if<program::start_attempt>(&item)) {
      auto ended = program::attempt_ended{};
      ended.attempt = start->attempt;
      ended.result = program::attempt_result::kAnswered;
      ended.answer.status = 200;
      ended.answer.body = program::MakePayload(std::string(400, 'a'));
      ended.answer_message = "answer";
      ended.answer.prompt_tokens = 100;
      ended.answer.answer_tokens = 100;
      queue_.emplace_back(system, ended);
    } else if (const auto* done = std::get_if<program::reply_view>(&item)) {
      last_program_state_ = done->view;
    }
  }

  std::vector<std::unique_ptr<program::program_system>> systems_;
  std::vector<program::member> members_;
  std::deque<std::pair<std::size_t, event>> queue_;
  // Number of events and their total time in microseconds, by event name.
  std::map<std::string, std::pair<std::size_t, double>> costs_;
  std::optional<program::program_view> last_program_state_;
  instant now_{duration{1s}};
  program::request_id request_ = 0;
  bool is_first_owner_removed_ = false;
  std::size_t messages_ = 0;
};

auto ProgramEndTime(const case_result& result) -> std::optional<instant> {
  for (const auto& item : result.events) {
    if (item.kind == observed_event_kind::kProgramEnded) {
      return item.at;
    }
  }
  return std::nullopt;
}

}  // namespace

auto MeasureMemory(std::size_t programs, std::size_t calls) -> program_memory {
  auto cluster = std::make_unique<benchmark_cluster>();
  const auto before = HeapBytes();
  for (auto i = std::size_t{0}; i < programs; ++i) {
    const auto handle = cluster->Open();
    auto history = std::vector<digest>{};
    for (auto turn = std::size_t{1}; turn <= calls; ++turn) {
      cluster->Chat(/*entry=*/1, handle,
                    static_cast<program::turn_number>(turn), history);
    }
  }
  const auto total_bytes = HeapBytes() - before;
  const auto count = static_cast<double>(programs);
  auto memory = program_memory{};
  auto estimate = std::size_t{0};
  for (const auto& system : cluster->systems()) {
    estimate += system->MemoryEstimate();
  }
  memory.owner_estimate =
      static_cast<double>(cluster->systems()[kFirstOwner]->MemoryEstimate()) /
      count;
  // The sum over the other systems.
  memory.witness_estimate =
      static_cast<double>(estimate) / count - memory.owner_estimate;
  const auto share =
      memory.owner_estimate / (memory.owner_estimate + memory.witness_estimate);
  memory.owner_bytes = total_bytes * share / count;
  memory.witness_bytes = total_bytes * (1 - share) / count;
  return memory;
}

auto MeasureRecovery(fault_kind fault, std::uint64_t seed) -> recovery_time {
  // Minimum number of calls sent in a run without faults.
  constexpr std::uint32_t kSendOccurrences = 9;
  const auto baseline =
      ProgramEndTime(RunCase({seed, scenario::kWorkflow, {}}, MatrixOptions()));
  auto delays = std::vector<duration>{};
  for (auto i = std::uint32_t{0}; i < kSendOccurrences; ++i) {
    const auto planned = planned_fault{call_step::kSend, fault, i};
    const auto end = ProgramEndTime(
        RunCase({seed, scenario::kWorkflow, {planned}}, MatrixOptions()));
    if (baseline && end) {
      delays.push_back(std::max(duration{}, *end - *baseline));
    }
  }
  std::sort(delays.begin(), delays.end());
  auto result = recovery_time{};
  result.fault = fault;
  result.cases = delays.size();
  if (!delays.empty()) {
    result.median = delays[delays.size() / 2];
    result.longest = delays.back();
  }
  return result;
}

auto MeasureEvents(std::size_t calls) -> std::vector<event_cost> {
  constexpr std::size_t kTurns = 20;
  auto cluster = benchmark_cluster{};
  cluster.ClearCosts();
  for (auto made = std::size_t{0}; made < calls; made += kTurns) {
    const auto handle = cluster.Open();
    auto history = std::vector<digest>{};
    for (auto turn = std::size_t{1}; turn <= kTurns; ++turn) {
      cluster.Chat(/*entry=*/3, handle, static_cast<program::turn_number>(turn),
                   history);
    }
  }
  return cluster.Costs(calls);
}

auto MeasureTakeover(std::size_t programs) -> takeover_cost {
  // One minute of simulated time.
  constexpr auto kMaxTicks = 600;
  auto cluster = benchmark_cluster{};
  for (auto i = std::size_t{0}; i < programs; ++i) {
    const auto handle = cluster.Open();
    auto history = std::vector<digest>{};
    cluster.Chat(/*entry=*/1, handle, 1, history);
  }
  const auto messages = cluster.messages();
  const auto begin = std::chrono::steady_clock::now();
  cluster.RemoveFirstOwner();
  for (auto i = 0; i < kMaxTicks && cluster.OwnedByOthers() < programs; ++i) {
    cluster.Tick();
  }
  const auto end = std::chrono::steady_clock::now();
  return {programs, cluster.OwnedByOthers(), cluster.messages() - messages,
          std::chrono::duration<double, std::milli>(end - begin).count()};
}

}  // namespace daisywind::fault_matrix
