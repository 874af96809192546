// Sending and handling of messages between members, and the merging of the
// records that they carry.
#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/membership_system.h"

namespace daisywind::membership {
namespace {

constexpr std::size_t kRefutationFanout = 3;

}  // namespace

auto membership_system::On(const peer_message& input, instant now) -> void {
  const auto& content = input.content;
  if (is_superseded_ || content.sender.ref.vm.empty()) {
    return;
  }
  MergeRecord(content.sender, now);
  for (const auto& update : content.updates) {
    MergeRecord(update, now);
  }
  if (!is_superseded_ && content.sender.ref.vm != self_.ref.vm) {
    std::visit([&](const auto& body) { On(content, body, now); }, content.body);
  }
}

auto membership_system::On(const message& input,
                           const ping& body,
                           instant /*now*/) -> void {
  Send(input.sender.address, input.sender.ref, ack{body.sequence, self_});
}

auto membership_system::On(const message& input,
                           const ping_req& body,
                           instant now) -> void {
  auto item = probe{};
  item.target = body.target;
  item.sent_at = now;
  item.requester = input.sender;
  item.requester_sequence = body.sequence;
  const auto sequence = probes_.Add(item);
  Send(body.target.address, body.target.ref, ping{sequence, body.target.ref});
}

auto membership_system::On(const message& /*input*/,
                           const ack& body,
                           instant now) -> void {
  const auto answered = probes_.Take(body.sequence);
  if (!answered) {
    return;
  }
  MergeRecord(body.answered_by, now);
  if (answered->requester) {
    Send(answered->requester->address, answered->requester->ref,
         ack{answered->requester_sequence, body.answered_by});
    return;
  }
  // Another VM answered at the target's address, so the target no longer has
  // that address.
  if (body.answered_by.ref.vm != answered->target.ref.vm) {
    Suspect(answered->target.ref, now);
  }
}

auto membership_system::On(const message& input,
                           const join& /*body*/,
                           instant /*now*/) -> void {
  SendAllPages(input.sender);
}

auto membership_system::On(const message& input,
                           const sync& body,
                           instant /*now*/) -> void {
  if (body.live_members_digest != members_.LiveMembersDigest(self_)) {
    SendNextPage(input.sender, true);
  }
}

auto membership_system::On(const message& input, const page& body, instant now)
    -> void {
  const auto live = members_.CountLive();
  for (const auto& record : body.members) {
    MergeRecord(record, now);
  }
  if (members_.CountLive() != live) {
    next_sync_ = std::min(next_sync_, now + options_.catch_up_interval);
  }
  if (body.wants_answer) {
    SendNextPage(input.sender, false);
  }
}

auto membership_system::On(const message& /*input*/,
                           const leave& /*body*/,
                           instant /*now*/) -> void {
  // Nothing to do: the record of the sender already has the state kLeft.
}

auto membership_system::MergeRecord(const member& record, instant now) -> void {
  if (record.ref.vm == self_.ref.vm) {
    HandleSelfRecord(record);
    return;
  }
  const auto* row = members_.Find(record.ref.vm);
  // Without this check, records of dead members would circulate forever: a VM
  // that has removed such a record would accept it again from another VM.
  if (row == nullptr && !IsLive(record)) {
    return;
  }
  if (row != nullptr && !Supersedes(record, row->record)) {
    return;
  }
  if (row != nullptr) {
    ReportChange(row->record, record);
  } else {
    has_changed_ = true;
  }
  Store(record, now);
}

auto membership_system::HandleSelfRecord(const member& record) -> void {
  if (record.ref.run > self_.ref.run && !is_superseded_) {
    is_superseded_ = true;
    commands_.emplace_back(self_superseded{record.ref});
    return;
  }
  const auto is_refutable = record.ref.run == self_.ref.run && !is_leaving_ &&
                            record.state != member_state::kAlive &&
                            record.refutation >= self_.refutation;
  if (!is_refutable) {
    return;
  }
  self_.refutation = record.refutation + 1;
  for (const auto& peer :
       members_.SampleAlive(random_, kRefutationFanout, self_.ref.vm)) {
    Send(peer.address, peer.ref, sync{members_.LiveMembersDigest(self_)});
  }
}

auto membership_system::ReportChange(const member& known, const member& record)
    -> void {
  const auto is_same_run = known.ref == record.ref;
  if (IsLive(known) && (!is_same_run || !IsLive(record))) {
    commands_.emplace_back(member_dead{known.ref});
  }
  if (record.state == member_state::kSuspect &&
      (!is_same_run || known.state != member_state::kSuspect)) {
    commands_.emplace_back(member_suspected{record.ref});
  }
  has_changed_ = has_changed_ || !is_same_run || known.state != record.state;
}

auto membership_system::Suspect(const vm_ref& ref, instant now) -> void {
  const auto* row = members_.Find(ref.vm);
  if (row == nullptr || row->record.ref != ref ||
      row->record.state != member_state::kAlive) {
    return;
  }
  auto record = row->record;
  record.state = member_state::kSuspect;
  MergeRecord(record, now);
  own_suspicions_.push_back(ref);
  SendPing(record, now, false);
}

auto membership_system::Store(const member& record, instant now) -> void {
  const auto transmissions =
      std::ceil(options_.retransmit_factor * LogFleetSize());
  members_.Store(record, now, static_cast<std::uint32_t>(transmissions));
}

auto membership_system::Send(const std::string& address,
                             const vm_ref& ref,
                             message_body body) -> void {
  auto content = message{self_, std::move(body), UpdatesFor(ref)};
  commands_.emplace_back(send_message{address, ref, std::move(content)});
}

auto membership_system::UpdatesFor(const vm_ref& receiver)
    -> std::vector<member> {
  const auto* row = members_.Find(receiver.vm);
  const auto must_inform_receiver =
      row != nullptr && (row->record.state != member_state::kAlive ||
                         row->record.ref.run > receiver.run);
  auto updates = members_.TakeUpdates(kMaxUpdatesPerMessage - 1);
  if (must_inform_receiver) {
    updates.push_back(row->record);
  }
  return updates;
}

auto membership_system::SendPing(const member& target,
                                 instant now,
                                 bool may_relay) -> void {
  auto item = probe{};
  item.target = target;
  item.sent_at = now;
  item.relays_requested = !may_relay;
  const auto sequence = probes_.Add(item);
  Send(target.address, target.ref, ping{sequence, target.ref});
}

auto membership_system::SendAllPages(const member& receiver) -> void {
  auto cursor = std::size_t{0};
  do {
    auto part = members_.Page(cursor, kMaxMembersPerPage);
    Send(receiver.address, receiver.ref, page{std::move(part), false});
  } while (cursor < members_.size());
}

auto membership_system::SendNextPage(const member& receiver, bool wants_answer)
    -> void {
  auto part = members_.Page(page_cursor_, kMaxMembersPerPage);
  Send(receiver.address, receiver.ref, page{std::move(part), wants_answer});
}

}  // namespace daisywind::membership
