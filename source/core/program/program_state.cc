#include "program/program_state.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace daisywind::program {
namespace {

// Estimated overhead in bytes of a map node, and of a string's control block.
constexpr std::size_t kNodeBytes = 64;

auto AddUsage(budget& total, const budget& part) -> void {
  total.tokens += part.tokens;
  total.calls += part.calls;
}

auto AnswerBytes(const call_record& call) -> std::size_t {
  return call.answer ? BytesOf(call.answer->body).size() : 0;
}

// Removes the records of settled idempotent calls but for the last two turns,
// since such calls can run again. The record of a non-idempotent call must stay
// as proof that it has run.
auto PruneBranch(branch_record& branch) -> void {
  std::erase_if(branch.calls, [&branch](const auto& entry) {
    const auto& call = entry.second;
    return call.is_idempotent && call.phase == call_phase::kSettled &&
           entry.first + 1 < branch.last_turn;
  });
}

auto EvictOldestAnswer(program_state& state, const call_record* newest)
    -> bool {
  call_record* oldest = nullptr;
  for (auto& [name, branch] : state.branches) {
    for (auto& [turn, call] : branch.calls) {
      const auto can_drop = call.answer && &call != newest;
      if (can_drop && (oldest == nullptr || call.attempt < oldest->attempt)) {
        oldest = &call;
      }
    }
  }
  if (oldest != nullptr) {
    oldest->answer.reset();
  }
  return oldest != nullptr;
}

auto EvictAnswers(const state_bounds& bounds,
                  program_state& state,
                  const call_record* newest) -> void {
  auto total = std::size_t{0};
  for (const auto& [name, branch] : state.branches) {
    for (const auto& [turn, call] : branch.calls) {
      total += AnswerBytes(call);
    }
  }
  while (total > bounds.max_total_answer_bytes &&
         EvictOldestAnswer(state, newest)) {
    total = 0;
    for (const auto& [name, branch] : state.branches) {
      for (const auto& [turn, call] : branch.calls) {
        total += AnswerBytes(call);
      }
    }
  }
}

auto ApplyTo(const branch_started& update,
             const state_bounds& /*bounds*/,
             program_state& state) -> void {
  auto branch = branch_record{};
  branch.name = update.name;
  branch.parent = update.parent;
  state.branches.try_emplace(update.name, std::move(branch));
}

auto ApplyTo(const branch_joined& update,
             const state_bounds& /*bounds*/,
             program_state& state) -> void {
  if (auto* branch = FindBranch(state, update.name)) {
    branch->is_joined = true;
  }
}

auto ApplyTo(const intent& update,
             const state_bounds& /*bounds*/,
             program_state& state) -> void {
  auto* branch = FindBranch(state, update.branch);
  if (branch == nullptr) {
    return;
  }
  auto& call = branch->calls[update.call.turn];
  if (call.attempt >= update.call.attempt) {
    return;
  }
  // A replaced attempt that was never settled may have used its whole
  // reservation.
  const auto is_in_doubt =
      call.attempt != 0 && call.phase == call_phase::kIntended;
  if (is_in_doubt) {
    AddUsage(state.used, call.reserved);
  }
  call = update.call;
  branch->last_turn = std::max(branch->last_turn, call.turn);
  state.last_attempt = std::max(state.last_attempt, call.attempt);
  if (call.kind == call_kind::kChat) {
    state.holders.insert(call.endpoint);
  }
  PruneBranch(*branch);
}

auto ApplyTo(const withdrawal& update,
             const state_bounds& /*bounds*/,
             program_state& state) -> void {
  auto* call = FindCall(state, update.branch, update.turn);
  const auto fits = call != nullptr && call->attempt == update.attempt &&
                    call->phase == call_phase::kIntended;
  if (fits) {
    call->phase = call_phase::kWithdrawn;
    call->reserved = budget{};
  }
}

auto ApplyTo(const settlement& update,
             const state_bounds& bounds,
             program_state& state) -> void {
  auto* call = FindCall(state, update.branch, update.turn);
  const auto fits = call != nullptr && call->attempt == update.attempt &&
                    call->phase == call_phase::kIntended;
  if (!fits) {
    return;
  }
  call->phase = call_phase::kSettled;
  call->reserved = budget{};
  AddUsage(state.used, update.used);
  auto* branch = FindBranch(state, update.branch);
  const auto extends_history =
      call->kind == call_kind::kChat && call->turn == branch->last_turn;
  if (extends_history) {
    branch->message_count = update.message_count;
    branch->history_digest = update.history_digest;
  }
  const auto is_kept = update.answer && BytesOf(update.answer->body).size() <=
                                            bounds.max_answer_bytes;
  if (is_kept) {
    call->answer = update.answer;
    EvictAnswers(bounds, state, call);
  }
}

auto ApplyTo(const in_doubt_reported& update,
             const state_bounds& /*bounds*/,
             program_state& state) -> void {
  if (auto* call = FindCall(state, update.branch, update.turn)) {
    call->is_in_doubt_reported = true;
  }
}

auto ApplyTo(const program_ended& /*update*/,
             const state_bounds& /*bounds*/,
             program_state& state) -> void {
  state.is_ended = true;
}

auto ApplyTo(const holder_released& update,
             const state_bounds& /*bounds*/,
             program_state& state) -> void {
  state.holders.erase(update.endpoint);
}

auto MemoryOf(const call_record& call) -> std::size_t {
  auto bytes = sizeof(call_record) + kNodeBytes;
  bytes += call.target.capacity() + call.endpoint.value.capacity();
  bytes += AnswerBytes(call);
  return bytes;
}

}  // namespace

auto Apply(const state_update& update,
           const state_bounds& bounds,
           program_state& state) -> void {
  std::visit([&](const auto& item) { ApplyTo(item, bounds, state); }, update);
}

auto ReservedOf(const program_state& state) -> budget {
  auto total = budget{};
  for (const auto& [name, branch] : state.branches) {
    for (const auto& [turn, call] : branch.calls) {
      if (call.phase == call_phase::kIntended) {
        AddUsage(total, call.reserved);
      }
    }
  }
  return total;
}

auto FindBranch(program_state& state, const branch_id& name) -> branch_record* {
  const auto found = state.branches.find(name);
  return found == state.branches.end() ? nullptr : &found->second;
}

auto FindBranch(const program_state& state, const branch_id& name)
    -> const branch_record* {
  const auto found = state.branches.find(name);
  return found == state.branches.end() ? nullptr : &found->second;
}

auto FindCall(program_state& state, const branch_id& branch, turn_number turn)
    -> call_record* {
  auto* record = FindBranch(state, branch);
  if (record == nullptr) {
    return nullptr;
  }
  const auto found = record->calls.find(turn);
  return found == record->calls.end() ? nullptr : &found->second;
}

auto FindCall(const program_state& state,
              const branch_id& branch,
              turn_number turn) -> const call_record* {
  return FindCall(const_cast<program_state&>(state), branch, turn);
}

auto FindByKey(const program_state& state, const digest& key)
    -> std::optional<keyed_call> {
  for (const auto& [name, branch] : state.branches) {
    for (const auto& [turn, call] : branch.calls) {
      if (call.key_digest == key) {
        return keyed_call{name, turn};
      }
    }
  }
  return std::nullopt;
}

auto LastEndpointOf(const program_state& state, const branch_id& name)
    -> endpoint_id {
  const auto* branch = FindBranch(state, name);
  if (branch == nullptr) {
    return endpoint_id{};
  }
  for (auto it = branch->calls.rbegin(); it != branch->calls.rend(); ++it) {
    if (it->second.kind == call_kind::kChat) {
      return it->second.endpoint;
    }
  }
  return endpoint_id{};
}

auto MemoryOf(const program_state& state) -> std::size_t {
  auto bytes = sizeof(program_state);
  for (const auto& [name, branch] : state.branches) {
    bytes += sizeof(branch_record) + kNodeBytes;
    for (const auto& [turn, call] : branch.calls) {
      bytes += MemoryOf(call);
    }
  }
  bytes += state.holders.size() * (sizeof(endpoint_id) + kNodeBytes);
  return bytes;
}

}  // namespace daisywind::program
