// Messages between processes, and attempts at the fake endpoints.
#include <algorithm>
#include <utility>

#include "fault_matrix/simulated_cluster.h"

namespace daisywind::fault_matrix {
namespace {

using program::attempt_ended;
using program::attempt_result;

// Latency of a link in one direction.
constexpr auto kLinkDelay = duration{1ms};
constexpr auto kServiceTime = duration{20ms};
// Engines generate a chunk of kChunkBytes bytes in each period.
constexpr auto kChunkPeriod = duration{20ms};
constexpr std::size_t kChunkBytes = 12;
constexpr auto kEndpointRestartDelay = duration{1s};
// Retry delay that is returned when no endpoint is available.
constexpr auto kRetryAfter = duration{500ms};
constexpr int kOk = 200;

auto MakeObservedEvent(const endpoint_run& run, observed_event_kind kind)
    -> observed_event {
  auto event = observed_event{};
  event.kind = kind;
  event.branch = run.attempt.call.branch;
  event.turn = run.attempt.call.turn;
  event.run = run.number;
  event.text = run.text;
  event.tokens = run.prompt_tokens + run.answer_tokens;
  event.is_chat = run.is_chat;
  return event;
}

auto AnswerOf(const endpoint_run& run) -> program::call_answer {
  auto answer = program::call_answer{};
  answer.status = kOk;
  answer.content_type = "text/plain";
  answer.body = program::MakePayload(run.text);
  answer.prompt_tokens = run.prompt_tokens;
  answer.answer_tokens = run.answer_tokens;
  return answer;
}

}  // namespace

auto simulated_cluster::StepOf(const program::command& item)
    -> std::optional<call_step> {
  if (std::holds_alternative<program::start_attempt>(item)) {
    return call_step::kSend;
  }
  if (std::holds_alternative<program::release_memory>(item)) {
    return call_step::kRelease;
  }
  const auto* send = std::get_if<program::send_message>(&item);
  if (send == nullptr) {
    return std::nullopt;
  }
  if (std::holds_alternative<program::install>(send->body)) {
    return call_step::kOpen;
  }
  if (std::holds_alternative<program::forward_call>(send->body)) {
    return call_step::kForward;
  }
  if (std::holds_alternative<program::call_end>(send->body)) {
    return call_step::kReply;
  }
  if (const auto* update = std::get_if<program::record_update>(&send->body)) {
    const auto is_intent =
        std::holds_alternative<program::intent>(update->update);
    const auto is_settlement =
        std::holds_alternative<program::settlement>(update->update);
    if (!is_intent && !is_settlement) {
      return std::nullopt;
    }
    update_kinds_.insert({update->epoch, update->sequence, is_intent});
    return is_intent ? call_step::kIntent : call_step::kSettle;
  }
  if (const auto* ack = std::get_if<program::record_ack>(&send->body)) {
    if (update_kinds_.count({ack->epoch, ack->sequence, true}) != 0) {
      return call_step::kAcknowledgement;
    }
    if (update_kinds_.count({ack->epoch, ack->sequence, false}) != 0) {
      return call_step::kSettleAcknowledgement;
    }
  }
  return std::nullopt;
}

auto simulated_cluster::Dispatch(vm_index vm, const program::command& item)
    -> void {
  auto effect = step_effect{};
  if (const auto step = StepOf(item)) {
    auto context = step_context{vm, {}, {}};
    if (const auto* send = std::get_if<program::send_message>(&item)) {
      context.peer = FindVm(send->to);
    }
    if (const auto* start = std::get_if<program::start_attempt>(&item)) {
      context.endpoint = start->endpoint;
    }
    if (const auto* release = std::get_if<program::release_memory>(&item)) {
      context.endpoint = release->endpoint;
    }
    effect = InjectFaults(*step, context);
    if (effect.is_dropped) {
      return;
    }
    if (effect.pauses_before) {
      PauseProcess(vm);
      vms_[vm].pending_commands.push_front(item);
      return;
    }
  }
  if (const auto* send = std::get_if<program::send_message>(&item)) {
    SendMessage(vm, *send, effect.delay);
    if (effect.is_duplicated) {
      SendMessage(vm, *send, effect.delay + kChunkPeriod);
    }
  } else if (const auto* acquire =
                 std::get_if<program::acquire_endpoint>(&item)) {
    AcquireEndpoint(vm, *acquire);
  } else if (const auto* start = std::get_if<program::start_attempt>(&item)) {
    StartAttempt(vm, *start, effect);
  } else if (const auto* cancel = std::get_if<program::cancel_attempt>(&item)) {
    CancelAttempt(*cancel);
  } else if (const auto* lookup = std::get_if<program::request_lookup>(&item)) {
    AnswerLookup(vm, *lookup);
  } else if (const auto* memory_release =
                 std::get_if<program::release_memory>(&item)) {
    Schedule(effect.delay, [this, vm, memory_release = *memory_release] {
      ReleaseMemory(vm, memory_release);
    });
  } else if (on_reply_) {
    on_reply_(vm, item);
  }
  if (effect.dies_after) {
    KillProcess(vm);
  }
  if (effect.pauses_after) {
    PauseProcess(vm);
  }
}

auto simulated_cluster::SendMessage(vm_index from,
                                    const program::send_message& item,
                                    duration delay) -> void {
  const auto to = FindVm(item.to);
  if (!to || partitioned_links_.count({from, *to}) != 0) {
    return;
  }
  const auto jitter =
      duration{static_cast<duration::rep>(random_.UniformBelow(100))};
  const auto sender = vms_[from].member_info.vm;
  Schedule(kLinkDelay + delay + jitter, [this, from, to, item, sender] {
    const auto arrives = vms_[*to].member_info.vm == item.to &&
                         partitioned_links_.count({from, *to}) == 0;
    if (arrives) {
      Deliver(*to, program::peer_message{sender, item.body});
    }
  });
}

auto simulated_cluster::AcquireEndpoint(vm_index vm,
                                        const program::acquire_endpoint& item)
    -> void {
  const auto choice = ChooseEndpoint(endpoints_, item);
  Schedule(kLinkDelay, [this, vm, item, choice] {
    if (choice) {
      Deliver(vm, program::endpoint_granted{item.call, *choice});
    } else {
      Deliver(vm, program::endpoint_refused{
                      item.call, program::refusal_reason::kNoEndpoint,
                      kRetryAfter});
    }
  });
}

auto simulated_cluster::StartAttempt(vm_index vm,
                                     const program::start_attempt& item,
                                     const step_effect& effect) -> void {
  auto ended = attempt_ended{};
  ended.attempt = item.attempt;
  if (effect.forced_result) {
    ended.result = *effect.forced_result;
    Schedule(kLinkDelay, [this, vm, ended] { ReportAttemptEnd(vm, ended); });
    return;
  }
  Schedule(kLinkDelay, [this, vm, item] {
    if (item.is_resume) {
      ResumeRun(vm, item);
    } else {
      StartNewRun(vm, item);
    }
  });
}

auto simulated_cluster::StartNewRun(vm_index vm,
                                    const program::start_attempt& item)
    -> void {
  auto& endpoint = endpoints_.endpoints.at(item.endpoint);
  auto ended = attempt_ended{};
  ended.attempt = item.attempt;
  if (!endpoint.is_up) {
    ended.result = attempt_result::kNotSent;
    ReportAttemptEnd(vm, ended);
    return;
  }
  const auto& run = StartRun(endpoints_, item);
  const auto number = run.number;
  auto event = MakeObservedEvent(run, observed_event_kind::kRunStarted);
  event.key = item.call.key;
  RecordEvent(event);
  watchers_[number] = {vm, vms_[vm].member_info.vm};
  const auto effect = InjectFaults(call_step::kRun, {vm, {}, item.endpoint});
  if (effect.is_answer_lost) {
    watchers_.erase(number);
    ReportAttemptEnd(vm, ended);
  }
  Schedule(run.is_chat ? kChunkPeriod : kServiceTime,
           [this, number] { ProduceOutput(number); });
}

auto simulated_cluster::ProduceOutput(std::uint64_t number) -> void {
  auto& run = endpoints_.runs.at(number);
  if (run.is_over) {
    return;
  }
  const auto step = run.is_chat ? kChunkBytes : run.text.size();
  const auto before = run.produced;
  run.produced = std::min(run.text.size(), before + step);
  run.is_finished = run.produced == run.text.size();
  if (run.is_finished) {
    run.is_over = true;
    RecordEvent(MakeObservedEvent(run, observed_event_kind::kRunFinished));
    auto& endpoint = endpoints_.endpoints.at(run.endpoint);
    endpoint.answers[ToString(run.attempt.call.program) + "/" +
                     run.attempt.call.branch.value + "/" +
                     std::to_string(run.attempt.call.turn)] = run.text;
  } else {
    Schedule(kChunkPeriod, [this, number] { ProduceOutput(number); });
  }
  const auto watcher = watchers_.find(number);
  if (watcher != watchers_.end()) {
    StreamOutput(watcher->second.first, number, before);
  }
}

auto simulated_cluster::StreamOutput(vm_index vm,
                                     std::uint64_t number,
                                     std::size_t offset) -> void {
  const auto& run = endpoints_.runs.at(number);
  if (vms_[vm].member_info.vm != watchers_.at(number).second) {
    watchers_.erase(number);
    return;
  }
  if (run.is_chat && run.produced > offset) {
    auto output = program::attempt_output{};
    output.attempt = run.attempt;
    output.offset = offset;
    output.bytes =
        program::MakePayload(run.text.substr(offset, run.produced - offset));
    Schedule(kLinkDelay,
             [this, vm, output, number] { DeliverOutput(vm, output, number); });
  }
  if (!run.is_finished) {
    return;
  }
  watchers_.erase(number);
  auto ended = attempt_ended{};
  ended.attempt = run.attempt;
  ended.result = attempt_result::kAnswered;
  ended.answer = AnswerOf(run);
  const auto ref = vms_[vm].member_info.vm;
  Schedule(2 * kLinkDelay, [this, vm, ended, ref] {
    if (vms_[vm].member_info.vm == ref) {
      ReportAttemptEnd(vm, ended);
    }
  });
}

auto simulated_cluster::DeliverOutput(vm_index vm,
                                      const program::attempt_output& output,
                                      std::uint64_t run) -> void {
  const auto endpoint = endpoints_.runs.at(run).endpoint;
  const auto effect = InjectFaults(call_step::kOutput, {vm, {}, endpoint});
  if (effect.pauses_before) {
    PauseProcess(vm);
  }
  Deliver(vm, output);
  if (effect.is_answer_lost) {
    BreakConnection(run);
  }
  if (effect.dies_after) {
    KillProcess(vm);
  }
  if (effect.pauses_after) {
    PauseProcess(vm);
  }
}

auto simulated_cluster::BreakConnection(std::uint64_t run) -> void {
  const auto watcher = watchers_.find(run);
  if (watcher == watchers_.end()) {
    return;
  }
  const auto vm = watcher->second.first;
  watchers_.erase(watcher);
  auto ended = attempt_ended{};
  ended.attempt = endpoints_.runs.at(run).attempt;
  ReportAttemptEnd(vm, ended);
}

auto simulated_cluster::ReportAttemptEnd(vm_index vm,
                                         const attempt_ended& ended) -> void {
  if (ended.result != attempt_result::kAnswered) {
    Deliver(vm, ended);
    return;
  }
  auto endpoint = endpoint_id{};
  for (const auto& [number, run] : endpoints_.runs) {
    if (run.attempt == ended.attempt) {
      endpoint = run.endpoint;
    }
  }
  const auto effect = InjectFaults(call_step::kAnswer, {vm, {}, endpoint});
  auto arrived = ended;
  if (effect.is_answer_lost) {
    arrived.result = attempt_result::kUnknown;
    arrived.answer = program::call_answer{};
  }
  if (effect.pauses_before) {
    PauseProcess(vm);
  }
  Deliver(vm, arrived);
  if (effect.dies_after) {
    KillProcess(vm);
  }
  if (effect.pauses_after) {
    PauseProcess(vm);
  }
}

auto simulated_cluster::ResumeRun(vm_index vm,
                                  const program::start_attempt& item) -> void {
  auto& endpoint = endpoints_.endpoints.at(item.endpoint);
  const auto found = endpoint.runs.find(ToString(item.attempt));
  if (!endpoint.is_up || found == endpoint.runs.end()) {
    auto ended = attempt_ended{};
    ended.attempt = item.attempt;
    ended.result =
        endpoint.is_up ? attempt_result::kNotFound : attempt_result::kNotSent;
    ReportAttemptEnd(vm, ended);
    return;
  }
  watchers_[found->second] = {vm, vms_[vm].member_info.vm};
  StreamOutput(vm, found->second, item.offset);
}

auto simulated_cluster::CancelAttempt(const program::cancel_attempt& item)
    -> void {
  auto& endpoint = endpoints_.endpoints.at(item.endpoint);
  const auto found = endpoint.runs.find(ToString(item.attempt));
  if (found == endpoint.runs.end()) {
    return;
  }
  const auto number = found->second;
  endpoints_.runs.at(number).is_over = true;
  endpoint.runs.erase(found);
  const auto watcher = watchers_.find(number);
  if (watcher == watchers_.end()) {
    return;
  }
  const auto vm = watcher->second.first;
  watchers_.erase(watcher);
  auto ended = attempt_ended{};
  ended.attempt = item.attempt;
  Schedule(kLinkDelay, [this, vm, ended] { ReportAttemptEnd(vm, ended); });
}

auto simulated_cluster::AnswerLookup(vm_index vm,
                                     const program::request_lookup& item)
    -> void {
  auto result = program::lookup_result{};
  result.call = item.call;
  result.status = program::lookup_status::kNotStarted;
  const auto& endpoint = endpoints_.endpoints.at(item.endpoint);
  const auto found = endpoint.answers.find(ToString(item.call.program) + "/" +
                                           item.call.branch.value + "/" +
                                           std::to_string(item.call.turn));
  if (found != endpoint.answers.end()) {
    result.status = program::lookup_status::kRan;
    result.answer.status = kOk;
    result.answer.body = program::MakePayload(found->second);
  }
  Schedule(2 * kLinkDelay, [this, vm, result] { Deliver(vm, result); });
}

auto simulated_cluster::ReleaseMemory(vm_index vm,
                                      const program::release_memory& item)
    -> void {
  auto& endpoint = endpoints_.endpoints.at(item.endpoint);
  if (!endpoint.is_up) {
    return;
  }
  endpoint.sessions.erase(item.program);
  Schedule(kLinkDelay, [this, vm, item] {
    Deliver(vm, program::release_confirmed{item.endpoint, item.program});
  });
}

auto simulated_cluster::CrashEndpoint(const endpoint_id& name) -> void {
  if (name.empty()) {
    return;
  }
  Crash(endpoints_, name);
  for (auto it = watchers_.begin(); it != watchers_.end();) {
    const auto& run = endpoints_.runs.at(it->first);
    if (run.endpoint != name) {
      ++it;
      continue;
    }
    auto ended = attempt_ended{};
    ended.attempt = run.attempt;
    const auto vm = it->second.first;
    Schedule(kLinkDelay, [this, vm, ended] { ReportAttemptEnd(vm, ended); });
    it = watchers_.erase(it);
  }
  Schedule(kEndpointRestartDelay, [this, name] {
    endpoints_.endpoints.at(name).is_up = true;
    for (auto i = vm_index{0}; i < kVmCount; ++i) {
      Deliver(i, program::endpoint_restarted{name});
    }
  });
}

}  // namespace daisywind::fault_matrix
