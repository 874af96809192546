#include "configuration/version_distributor.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "configuration/rendezvous.h"

namespace daisywind::configuration {
namespace {

constexpr auto kFanoutInDomain = std::size_t{4};
constexpr auto kFanoutOutside = std::size_t{1};
// A version that changes more chunks than this is announced without patches.
constexpr auto kMaxPatchedChunks = std::size_t{16};
constexpr auto kProbeInterval = duration(2s);
// On average, one in this many probes goes to another failure domain.
constexpr auto kOutsideProbeEvery = std::uint64_t{4};
constexpr auto kManifestRetryInterval = duration(1s);
// Random peers of its own failure domain that a new VM probes in addition to
// all watchers.
constexpr auto kStartProbePeers = std::size_t{4};
// How long after its start a new VM waits for the service before it relies on
// its peers alone, and for peers that have not answered.
constexpr auto kWaitForService = duration(3s);
constexpr auto kWaitForPeers = duration(5s);

}  // namespace

auto version_distributor::HandleAnnounce(const vm_ref& from,
                                         const announce_message& content,
                                         instant now) -> void {
  const auto& ref = content.info.ref;
  const auto& installed = state_->installed.head;
  unanswered_probes_.erase(from);
  has_peer_answer_ = true;
  newest_peer_version_ = std::max(newest_peer_version_, ref);
  if (ref <= installed.info.ref || (target_ && ref <= target_->head.info.ref)) {
    return;
  }
  const auto* base = content.base == installed.info.ref ? &installed : nullptr;
  if (target_ && content.base == target_->head.info.ref) {
    base = &target_->head;
  }
  if (base == nullptr) {
    RequestManifest(from, ref, now);
    return;
  }
  ApplyChunkPatches(*base, content);
  auto head = version_head{content.info,
                           ApplyBucketChanges(base->buckets, content.changes)};
  SetTarget({std::move(head), from});
}

auto version_distributor::HandleProbe(const vm_ref& from,
                                      const probe_message& content,
                                      instant now) -> void {
  const auto& own = state_->installed.head.info.ref;
  unanswered_probes_.erase(from);
  has_peer_answer_ = true;
  newest_peer_version_ = std::max(newest_peer_version_, content.ref);
  if (content.proof_age_ms >= 0 && content.ref <= own && own.number > 0) {
    state_->RecordProof(now - std::chrono::milliseconds(content.proof_age_ms));
  }
  if (content.ref < own) {
    state_->Send(from, MakeAnnounce());
  }
  if (content.wants_reply) {
    state_->Send(from, probe_message{own, state_->ProofAgeMs(now), false});
  } else if (content.ref > own) {
    RequestManifest(from, content.ref, now);
  }
}

auto version_distributor::HandleManifestRequest(const vm_ref& from) -> void {
  if (state_->installed.head.info.ref.number > 0) {
    state_->Send(from, manifest_reply{state_->installed.head});
  }
}

auto version_distributor::HandleManifestReply(const vm_ref& from,
                                              const manifest_reply& content)
    -> void {
  state_->learned.push_back({content.head, from});
}

auto version_distributor::Advance(instant now) -> void {
  ProcessLearned();
  TryInstall(now);
  ProbeAtStart(now);
  if (now >= next_probe_at_) {
    ProbePeer(now);
  }
  UpdateReady(now);
}

auto version_distributor::ProcessLearned() -> void {
  for (const auto& item : std::exchange(state_->learned, {})) {
    SetTarget(item);
  }
}

auto version_distributor::SetTarget(const learned_version& item) -> void {
  const auto& ref = item.head.info.ref;
  const auto is_newer = ref > state_->installed.head.info.ref &&
                        (!target_ || ref > target_->head.info.ref);
  if (!is_newer || RootDigestOf(item.head.buckets) != ref.root) {
    return;
  }
  const auto load = loader_->Start(item.head.buckets,
                                   load_source::kPeersAndService, item.source);
  if (target_) {
    loader_->Finish(target_->load);
  }
  target_ = target{item.head, load};
}

auto version_distributor::TryInstall(instant now) -> void {
  if (!target_ || loader_->StatusOf(target_->load) != load_status::kDone) {
    return;
  }
  auto content = ReadTarget();
  const auto head = target_->head;
  loader_->Finish(target_->load);
  target_.reset();
  if (content) {
    Install(head, std::make_shared<const document>(std::move(*content)), now);
  }
}

auto version_distributor::ReadTarget() const -> leaf::result<document> {
  const auto& installed = state_->installed;
  const auto& buckets = target_->head.buckets;
  if (installed.content == nullptr) {
    return Join(buckets, state_->chunks);
  }
  return JoinChanged(*installed.content, installed.head.buckets, buckets,
                     state_->chunks);
}

auto version_distributor::Install(const version_head& head,
                                  std::shared_ptr<const document> content,
                                  instant now) -> void {
  auto& installed = state_->installed;
  installed.base = installed.head.info.ref;
  installed.changes = DiffManifests(installed.head.buckets, head.buckets);
  installed.patches = MakeChunkPatches(installed.head, installed.changes);
  installed.head = head;
  installed.content = std::move(content);
  state_->counters.installs += 1;
  if (state_->newest_known.number > 0 &&
      head.info.ref >= state_->newest_known) {
    state_->RecordProof(state_->newest_known_at);
  }
  const auto spread_ms = std::max(
      std::int64_t{0}, state_->UnixMs(now) - head.info.accepted_unix_ms);
  state_->commands.emplace_back(
      install_version{head.info.ref.number, installed.content, spread_ms});
  loader_->Prune();
  Announce();
}

auto version_distributor::MakeChunkPatches(
    const version_head& base,
    const std::vector<bucket_change>& changes) const
    -> std::vector<std::string> {
  auto patches = std::vector<std::string>(changes.size());
  if (changes.size() > kMaxPatchedChunks) {
    return patches;
  }
  for (auto i = std::size_t{0}; i < changes.size(); ++i) {
    const auto* before = FindChunk(base, changes[i].bucket);
    const auto after = state_->chunks.find(changes[i].chunk);
    if (before != nullptr && after != state_->chunks.end()) {
      patches[i] = MakeChunkPatch(*before, after->second);
    }
  }
  return patches;
}

auto version_distributor::ApplyChunkPatches(const version_head& base,
                                            const announce_message& content)
    -> void {
  const auto count = std::min(content.changes.size(), content.patches.size());
  for (auto i = std::size_t{0}; i < count; ++i) {
    const auto& change = content.changes[i];
    const auto* before = FindChunk(base, change.bucket);
    if (before == nullptr || content.patches[i].empty()) {
      continue;
    }
    auto after = ApplyChunkPatch(*before, content.patches[i]);
    if (DigestOf(after) == change.chunk) {
      state_->chunks.emplace(change.chunk, std::move(after));
    }
  }
}

auto version_distributor::FindChunk(const version_head& version,
                                    bucket_index bucket) const
    -> const std::string* {
  const auto name = version.buckets.find(bucket);
  if (name == version.buckets.end()) {
    return nullptr;
  }
  const auto found = state_->chunks.find(name->second);
  return found == state_->chunks.end() ? nullptr : &found->second;
}

auto version_distributor::Announce() -> void {
  const auto is_caught_up = state_->installed.base.number == 0 &&
                            state_->installed.head.info.ref.number > 1;
  if (is_caught_up) {
    return;
  }
  auto peers = state_->RandomPeers(true, kFanoutInDomain);
  const auto outside = state_->RandomPeers(false, kFanoutOutside);
  peers.insert(peers.end(), outside.begin(), outside.end());
  const auto content = MakeAnnounce();
  for (const auto& peer : peers) {
    state_->Send(peer, content);
  }
}

auto version_distributor::MakeAnnounce() const -> announce_message {
  const auto& installed = state_->installed;
  return {installed.head.info, installed.base, installed.changes,
          installed.patches};
}

auto version_distributor::ProbePeer(instant now) -> void {
  next_probe_at_ = now + state_->Jitter(kProbeInterval);
  const auto is_outside = state_->random.UniformBelow(kOutsideProbeEvery) == 0;
  auto peers = state_->RandomPeers(!is_outside, 1);
  if (peers.empty()) {
    peers = state_->RandomPeers(is_outside, 1);
  }
  for (const auto& peer : peers) {
    state_->Send(peer, probe_message{state_->installed.head.info.ref,
                                     state_->ProofAgeMs(now), true});
  }
}

auto version_distributor::ProbeAtStart(instant now) -> void {
  if (has_probed_at_start_ || state_->members.size() < 2) {
    return;
  }
  has_probed_at_start_ = true;
  for (const auto& domain : DomainsOf(state_->members)) {
    for (const auto& item : WatchersOf(state_->members, domain)) {
      unanswered_probes_.insert(item.vm);
    }
  }
  for (const auto& peer : state_->RandomPeers(true, kStartProbePeers)) {
    unanswered_probes_.insert(peer);
  }
  unanswered_probes_.erase(state_->self.vm);
  for (const auto& peer : unanswered_probes_) {
    state_->Send(peer, probe_message{state_->installed.head.info.ref,
                                     state_->ProofAgeMs(now), true});
  }
}

auto version_distributor::UpdateReady(instant now) -> void {
  const auto& own = state_->installed.head.info.ref;
  if (is_ready_ || own.number == 0) {
    return;
  }
  if (state_->has_read_head) {
    is_ready_ = own >= state_->newest_known;
    return;
  }
  is_ready_ = CanRelyOnPeers(now) && own >= newest_peer_version_;
}

auto version_distributor::CanRelyOnPeers(instant now) const -> bool {
  const auto waited = now - *state_->started_at;
  return has_peer_answer_ && waited >= kWaitForService &&
         (unanswered_probes_.empty() || waited >= kWaitForPeers);
}

auto version_distributor::RequestManifest(const vm_ref& from,
                                          const version_ref& ref,
                                          instant now) -> void {
  const auto is_requested =
      ref <= requested_manifest_ &&
      now - manifest_requested_at_ < kManifestRetryInterval;
  if (is_requested) {
    return;
  }
  requested_manifest_ = ref;
  manifest_requested_at_ = now;
  state_->Send(from, manifest_request{});
}

}  // namespace daisywind::configuration
