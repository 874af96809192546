#include "configuration/system_state.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "configuration/rendezvous.h"

namespace daisywind::configuration {
namespace {

auto IsWrite(const kv::txn_request& request) -> bool {
  return std::any_of(request.success.begin(), request.success.end(),
                     [](const kv::operation& item) {
                       return !std::holds_alternative<kv::range_request>(item);
                     });
}

auto ToMs(duration value) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

}  // namespace

auto system_state::SetMembers(std::vector<member> live) -> void {
  members = std::move(live);
  std::erase_if(members,
                [&](const member& item) { return item.vm.vm == self.vm.vm; });
  members.push_back(self);
  std::sort(members.begin(), members.end());
  watchers = WatchersOf(members, self.domain);
}

auto system_state::IsWatcher() const -> bool {
  return std::find(watchers.begin(), watchers.end(), self) != watchers.end();
}

auto system_state::NextId() -> std::uint64_t {
  last_id += 1;
  return last_id;
}

auto system_state::CallService(kv::txn_request request, result_handler handler)
    -> void {
  const auto id = NextId();
  (IsWrite(request) ? counters.kv_writes : counters.kv_reads) += 1;
  operations.emplace(id, std::move(handler));
  commands.emplace_back(kv_command{id, std::move(request)});
}

auto system_state::Send(const vm_ref& to, message content) -> void {
  counters.messages += 1;
  commands.emplace_back(send_message{to, std::move(content)});
}

auto system_state::UnixMs(instant now) const -> std::int64_t {
  return unix_offset_ms + ToMs(now.time_since_epoch());
}

auto system_state::LearnHead(const version_head& head,
                             std::optional<instant> read_at) -> void {
  const auto& ref = head.info.ref;
  if (read_at && ref >= newest_known) {
    newest_known = ref;
    newest_known_at = std::max(newest_known_at, *read_at);
  }
  if (read_at && ref == installed.head.info.ref) {
    RecordProof(*read_at);
  }
  if (ref > installed.head.info.ref) {
    learned.push_back({head, std::nullopt});
  }
}

auto system_state::NoteOutdatedHead(const head_state& read) -> void {
  outdated_head = read;
}

auto system_state::RecordProof(instant at) -> void {
  proof_at = proof_at ? std::max(*proof_at, at) : at;
}

auto system_state::ProofAgeMs(instant now) const -> std::int64_t {
  return proof_at ? std::max(std::int64_t{0}, ToMs(now - *proof_at)) : -1;
}

auto system_state::RandomPeers(bool in_domain, std::size_t count)
    -> std::vector<vm_ref> {
  auto peers = std::vector<vm_ref>{};
  for (const auto& item : members) {
    if (item.vm != self.vm && (item.domain == self.domain) == in_domain) {
      peers.push_back(item.vm);
    }
  }
  const auto taken = std::min(count, peers.size());
  for (auto i = std::size_t{0}; i < taken; ++i) {
    std::swap(peers[i], peers[i + random.UniformBelow(peers.size() - i)]);
  }
  peers.resize(taken);
  return peers;
}

auto system_state::Jitter(duration mean) -> duration {
  constexpr auto kLeast = 0.9;
  constexpr auto kSpan = 0.2;
  const auto factor = kLeast + kSpan * random.UniformDouble();
  return std::chrono::duration_cast<duration>(mean * factor);
}

}  // namespace daisywind::configuration
