#include "program/replication.h"

#include <algorithm>
#include <utility>

#include "program/attempts.h"

namespace daisywind::program {
namespace {

constexpr std::size_t kMaxResentUpdates = 64;

// How far ahead of the last applied update a witness keeps updates that arrive
// out of order.
constexpr std::uint64_t kReorderWindow = 64;

// Leaves out the answers of idempotent calls. Such calls can run again, and the
// link to the witness may have little bandwidth.
auto ForWitness(const program_copy& copy, state_update update) -> state_update {
  if (auto* item = std::get_if<settlement>(&update)) {
    const auto* call = FindCall(copy.state, item->branch, item->turn);
    if (call != nullptr && call->is_idempotent) {
      item->answer.reset();
    }
  }
  return update;
}

// Applies the buffered updates up to the first gap in the sequence.
auto ApplyInSequence(system_tables& tables, program_copy& copy) -> void {
  auto next = copy.out_of_order.begin();
  while (next != copy.out_of_order.end() && next->first == copy.sequence + 1) {
    Apply(next->second, tables.options.bounds, copy.state);
    copy.sequence = next->first;
    copy.last_activity = tables.now;
    next = copy.out_of_order.erase(next);
  }
}

}  // namespace

auto MayAct(const program_copy& copy) -> bool {
  return copy.role == copy_role::kOwner && copy.is_active && !copy.is_closed;
}

auto Append(system_tables& tables, program_copy& copy, state_update update)
    -> std::uint64_t {
  Apply(update, tables.options.bounds, copy.state);
  ++copy.sequence;
  copy.last_activity = tables.now;
  if (copy.replicas.witness.empty()) {
    copy.acknowledged = copy.sequence;
    return copy.sequence;
  }
  if (copy.outbox.empty()) {
    copy.outbox_since = tables.now;
    copy.next_resend = tables.now + tables.options.resend_interval;
  }
  copy.outbox.push_back(record_update{copy.state.id, copy.replicas.epoch,
                                      copy.sequence,
                                      ForWitness(copy, std::move(update))});
  Send(tables, copy.replicas.witness, copy.outbox.back());
  ArmCopy(tables, copy, copy.next_resend);
  return copy.sequence;
}

auto IsRecorded(const program_copy& copy, std::uint64_t sequence) -> bool {
  return sequence <= copy.acknowledged;
}

auto ResendUpdates(system_tables& tables, program_copy& copy) -> void {
  if (copy.outbox.empty() || tables.now < copy.next_resend) {
    return;
  }
  const auto count = std::min(copy.outbox.size(), kMaxResentUpdates);
  for (auto i = std::size_t{0}; i < count; ++i) {
    Send(tables, copy.replicas.witness, copy.outbox[i]);
  }
  copy.next_resend = tables.now + tables.options.resend_interval;
}

auto OnRecordUpdate(system_tables& tables,
                    const vm_ref& from,
                    const record_update& update) -> void {
  if (tables.options.mutations.keep_epoch_open) {
    Send(tables, from,
         record_ack{update.program, update.epoch, update.sequence});
  }
  const auto known = KnownSet(tables, update.program);
  if (known.epoch > update.epoch) {
    Send(tables, from,
         ballot_refused{update.program, update.epoch, ballot{}, known});
    return;
  }
  auto* copy = FindCopy(tables, update.program);
  const auto fits = copy != nullptr && copy->role == copy_role::kWitness &&
                    copy->replicas.epoch == update.epoch && !copy->is_closed;
  if (!fits) {
    return;
  }
  const auto is_in_window = update.sequence > copy->sequence &&
                            update.sequence <= copy->sequence + kReorderWindow;
  if (is_in_window) {
    copy->out_of_order.emplace(update.sequence, update.update);
  }
  ApplyInSequence(tables, *copy);
  Send(tables, from, record_ack{update.program, update.epoch, copy->sequence});
}

auto OnRecordAck(system_tables& tables, const record_ack& ack) -> void {
  auto* copy = FindOwned(tables, ack.program);
  if (copy == nullptr || copy->replicas.epoch != ack.epoch) {
    return;
  }
  if (ack.sequence <= copy->acknowledged) {
    return;
  }
  copy->acknowledged = ack.sequence;
  copy->outbox_since = tables.now;
  while (!copy->outbox.empty() &&
         IsRecorded(*copy, copy->outbox.front().sequence)) {
    copy->outbox.pop_front();
  }
  OnRecorded(tables, *copy);
}

}  // namespace daisywind::program
