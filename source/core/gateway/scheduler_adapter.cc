#include "gateway/scheduler_adapter.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "gateway/prompt_blocks.h"

namespace daisywind::gateway {
namespace {

// Engine time per token, by which attained service is converted to time.
constexpr duration kTokenTime = 1ms;
constexpr duration kEndedCallRetention = 60s;
// A poll detects a crash somewhat later than the calls that the crash
// interrupts.
constexpr duration kFailureRetention = 3s;

auto ToBlockHash(const digest& name) -> policy::block_hash {
  auto block = policy::block_hash{0};
  for (auto i = std::size_t{0}; i < sizeof(block); ++i) {
    block = (block << 8U) | name.bytes[i];
  }
  return block;
}

auto ToPrefix(const std::vector<digest>& blocks)
    -> std::vector<policy::prefix_block> {
  auto hashed_blocks = std::vector<policy::prefix_block>{};
  hashed_blocks.reserve(blocks.size());
  for (const auto& block : blocks) {
    const auto tokens = (hashed_blocks.size() + 1) * kTokensPerBlock;
    hashed_blocks.push_back(
        {ToBlockHash(block), static_cast<std::uint32_t>(tokens)});
  }
  return hashed_blocks;
}

auto ToRequest(const program::acquire_endpoint& wanted)
    -> policy::call_request {
  auto request = policy::call_request{};
  request.program = wanted.call.program;
  request.organisation = wanted.organisation;
  request.call_class = wanted.service_class;
  request.kind = wanted.kind == program::call_kind::kChat
                     ? policy::endpoint_kind::kEngine
                     : policy::endpoint_kind::kService;
  request.target = wanted.target;
  request.adapter = wanted.adapter;
  request.prefix = ToPrefix(wanted.prefix_blocks);
  request.prompt_tokens = static_cast<std::uint32_t>(wanted.prompt_tokens);
  request.max_tokens = static_cast<std::uint32_t>(wanted.max_tokens);
  request.body_bytes =
      static_cast<std::uint32_t>(wanted.prompt_tokens * kBytesPerToken);
  request.is_idempotent = wanted.is_idempotent;
  request.is_continuation = wanted.attained_service > 0;
  request.excluded.assign(wanted.excluded.begin(), wanted.excluded.end());
  request.body = wanted.body_digest;
  request.attained_service = wanted.attained_service * kTokenTime;
  return request;
}

auto ToFinishKind(program::attempt_result result) -> policy::finish_kind {
  switch (result) {
    case program::attempt_result::kAnswered:
      return policy::finish_kind::kCompleted;
    case program::attempt_result::kNotSent:
    case program::attempt_result::kRefusedNotRun:
    case program::attempt_result::kNotFound:
      return policy::finish_kind::kNotRun;
    case program::attempt_result::kUnknown:
      return policy::finish_kind::kFailed;
  }
  return policy::finish_kind::kFailed;
}

auto ToRefusalReason(policy::refusal_reason reason) -> program::refusal_reason {
  switch (reason) {
    case policy::refusal_reason::kNoEndpoint:
      return program::refusal_reason::kNoEndpoint;
    case policy::refusal_reason::kRateLimited:
      return program::refusal_reason::kRateLimited;
    case policy::refusal_reason::kQuarantined:
      return program::refusal_reason::kQuarantined;
    case policy::refusal_reason::kOverloaded:
    case policy::refusal_reason::kRetryBudgetSpent:
      break;
  }
  return program::refusal_reason::kOverloaded;
}

}  // namespace

scheduler_adapter::scheduler_adapter(policy::scheduler& scheduler,
                                     std::function<void(program::event)> submit)
    : scheduler_(scheduler), submit_(std::move(submit)) {}

auto scheduler_adapter::Acquire(const program::acquire_endpoint& wanted,
                                instant now) -> void {
  auto request = ToRequest(wanted);
  const auto earlier = ended_attempts_.find(wanted.call);
  // A call that is repeated by its caller excludes no endpoint. It is new work
  // for admission control and does not count as a retry by this gateway.
  if (earlier == ended_attempts_.end() || wanted.excluded.empty()) {
    Enqueue(std::move(request), wanted.call, now);
    return;
  }
  request.attempt = earlier->second.request.attempt + 1;
  const auto wait = scheduler_.PlanRetry(earlier->second.request,
                                         earlier->second.finish, now);
  if (!wait) {
    Refuse({0, policy::refusal_reason::kRetryBudgetSpent, 1s}, wanted.call);
    return;
  }
  delayed_.push_back({now + *wait, std::move(request), wanted.call});
}

auto scheduler_adapter::Abandon(const program::call_ref& call, instant now)
    -> void {
  std::erase_if(delayed_, [&](const delayed_call& waiting) {
    return waiting.call == call;
  });
  const auto found = refs_by_call_.find(call);
  if (found == refs_by_call_.end()) {
    return;
  }
  if (!scheduler_.Cancel(found->second)) {
    // The call has been granted an endpoint that the program system no longer
    // needs.
    scheduler_.OnFinished(found->second, policy::finish_kind::kCancelled, {},
                          now);
  }
  entries_.erase(found->second);
  refs_by_call_.erase(found);
}

auto scheduler_adapter::Release(const program::release_endpoint_slot& slot,
                                instant now) -> void {
  auto* found = FindEntry(slot.call);
  if (found == nullptr) {
    return;
  }
  const auto finish = found->is_hung ? policy::finish_kind::kTimedOut
                                     : ToFinishKind(slot.result);
  scheduler_.OnFinished(found->request.call, finish, found->usage, now);
  if (slot.result == program::attempt_result::kUnknown) {
    failures_.push_back({slot.endpoint, found->request.body, now});
  }
  ended_attempts_.erase(slot.call);
  if (finish != policy::finish_kind::kCompleted) {
    ended_attempts_[slot.call] = {found->request, finish, now};
  }
  entries_.erase(found->request.call);
  refs_by_call_.erase(slot.call);
}

auto scheduler_adapter::OnSent(const program::call_ref& call, instant now)
    -> void {
  if (auto* found = FindEntry(call)) {
    scheduler_.OnSent(found->request.call, now);
  }
}

auto scheduler_adapter::OnOutput(const program::call_ref& call, instant now)
    -> void {
  auto* found = FindEntry(call);
  if (found == nullptr) {
    return;
  }
  if (found->has_output) {
    scheduler_.OnProgress(found->request.call, now);
  } else {
    found->has_output = true;
    scheduler_.OnFirstToken(found->request.call, now);
  }
}

auto scheduler_adapter::OnUsage(const program::call_ref& call,
                                const token_usage& usage) -> void {
  if (auto* found = FindEntry(call)) {
    found->usage = {static_cast<std::uint32_t>(usage.prompt),
                    static_cast<std::uint32_t>(usage.cached),
                    static_cast<std::uint32_t>(usage.completion)};
  }
}

auto scheduler_adapter::OnHung(const program::call_ref& call) -> void {
  if (auto* found = FindEntry(call)) {
    found->is_hung = true;
  }
}

auto scheduler_adapter::PriorityOf(const program::call_ref& call) const
    -> std::int32_t {
  const auto found = refs_by_call_.find(call);
  return found == refs_by_call_.end() ? 0 : entries_.at(found->second).priority;
}

auto scheduler_adapter::RunningBodies(const endpoint_id& endpoint) const
    -> std::vector<digest> {
  auto bodies = std::vector<digest>{};
  for (const auto& [ref, item] : entries_) {
    if (item.endpoint == endpoint) {
      bodies.push_back(item.request.body);
    }
  }
  for (const auto& failure : failures_) {
    if (failure.endpoint == endpoint) {
      bodies.push_back(failure.body);
    }
  }
  return bodies;
}

auto scheduler_adapter::Tick(instant now) -> std::vector<program::call_ref> {
  EnqueueDelayed(now);
  ExpireEnded(now);
  const auto decided = scheduler_.Tick(now);
  for (const auto& dispatched : decided.dispatches) {
    Grant(dispatched);
  }
  for (const auto& refused : decided.refusals) {
    const auto found = entries_.find(refused.call);
    if (found != entries_.end()) {
      const auto call = found->second.call;
      refs_by_call_.erase(call);
      entries_.erase(found);
      Refuse(refused, call);
    }
  }
  auto hung = std::vector<program::call_ref>{};
  for (const auto ref : decided.hung) {
    const auto found = entries_.find(ref);
    if (found != entries_.end()) {
      found->second.is_hung = true;
      hung.push_back(found->second.call);
    }
  }
  return hung;
}

auto scheduler_adapter::FindEntry(const program::call_ref& call) -> entry* {
  const auto found = refs_by_call_.find(call);
  return found == refs_by_call_.end() ? nullptr : &entries_.at(found->second);
}

auto scheduler_adapter::Enqueue(policy::call_request request,
                                const program::call_ref& call,
                                instant now) -> void {
  request.call = ++last_ref_;
  const auto refused = scheduler_.Enqueue(request, now);
  if (refused) {
    Refuse(*refused, call);
    return;
  }
  auto item = entry{};
  item.request = std::move(request);
  item.call = call;
  refs_by_call_[call] = last_ref_;
  entries_.emplace(last_ref_, std::move(item));
}

auto scheduler_adapter::EnqueueDelayed(instant now) -> void {
  auto due = std::vector<delayed_call>{};
  std::erase_if(delayed_, [&](const delayed_call& waiting) {
    if (waiting.due > now) {
      return false;
    }
    due.push_back(waiting);
    return true;
  });
  for (auto& waiting : due) {
    Enqueue(std::move(waiting.request), waiting.call, now);
  }
}

auto scheduler_adapter::Refuse(const policy::refusal& refused,
                               const program::call_ref& call) -> void {
  submit_(program::endpoint_refused{call, ToRefusalReason(refused.reason),
                                    refused.retry_after});
}

auto scheduler_adapter::Grant(const policy::dispatch& dispatched) -> void {
  const auto found = entries_.find(dispatched.call);
  if (found == entries_.end()) {
    return;
  }
  found->second.endpoint = dispatched.endpoint;
  found->second.priority = dispatched.priority;
  submit_(program::endpoint_granted{found->second.call, dispatched.endpoint});
}

auto scheduler_adapter::ExpireEnded(instant now) -> void {
  std::erase_if(ended_attempts_, [&](const auto& item) {
    return now - item.second.at > kEndedCallRetention;
  });
  std::erase_if(failures_, [&](const failed_call& item) {
    return now - item.at > kFailureRetention;
  });
}

}  // namespace daisywind::gateway
