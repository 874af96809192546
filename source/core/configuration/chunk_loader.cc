#include "configuration/chunk_loader.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "configuration/storage.h"

namespace daisywind::configuration {
namespace {

constexpr auto kRetryInterval = duration(1s);
constexpr auto kChunksPerRequest = std::size_t{64};
// Loads with more missing chunks than this ask peers before the service, so
// that a new VM does not read a whole document from the service.
constexpr auto kMaxServiceFirstChunks = std::size_t{16};

}  // namespace

auto chunk_loader::Start(const manifest& buckets,
                         load_source source,
                         std::optional<vm_ref> peer) -> load_id {
  auto item = load{};
  item.source = source;
  item.peer = std::move(peer);
  for (const auto& [bucket, chunk] : buckets) {
    item.wanted.insert(chunk);
  }
  item.missing = item.wanted;
  std::erase_if(item.missing, [&](const digest& chunk) {
    return state_->chunks.contains(chunk);
  });
  const auto id = state_->NextId();
  loads_.emplace(id, std::move(item));
  return id;
}

auto chunk_loader::StatusOf(load_id id) const -> load_status {
  const auto found = loads_.find(id);
  if (found == loads_.end() || found->second.missing.empty()) {
    return load_status::kDone;
  }
  return found->second.is_missing_in_service ? load_status::kMissing
                                             : load_status::kRunning;
}

auto chunk_loader::Finish(load_id id) -> void {
  loads_.erase(id);
}

auto chunk_loader::HandleRequest(const vm_ref& from,
                                 const chunk_request& request) -> void {
  auto reply = chunk_reply{};
  const auto count = std::min(request.digests.size(), kChunksPerRequest);
  for (auto i = std::size_t{0}; i < count; ++i) {
    const auto found = state_->chunks.find(request.digests[i]);
    if (found != state_->chunks.end()) {
      reply.chunks.push_back(found->second);
    }
  }
  state_->Send(from, std::move(reply));
}

auto chunk_loader::HandleReply(const vm_ref& from,
                               const chunk_reply& reply,
                               instant now) -> void {
  for (const auto& text : reply.chunks) {
    Store(text);
  }
  for (auto& [id, item] : loads_) {
    if (item.peer != from || item.pending_replies == 0) {
      continue;
    }
    item.pending_replies -= 1;
    if (item.pending_replies == 0) {
      item.next_request_at = now;
    }
  }
}

auto chunk_loader::Advance(instant now) -> void {
  for (auto& [id, item] : loads_) {
    const auto is_due = now >= item.next_request_at;
    if (!item.missing.empty() && !item.is_missing_in_service && is_due) {
      RequestMissing(id, item, now);
    }
  }
}

auto chunk_loader::Prune() -> void {
  auto used = std::set<digest>{};
  for (const auto& [bucket, chunk] : state_->installed.head.buckets) {
    used.insert(chunk);
  }
  for (const auto& [id, item] : loads_) {
    used.insert(item.wanted.begin(), item.wanted.end());
  }
  std::erase_if(state_->chunks,
                [&](const auto& entry) { return !used.contains(entry.first); });
}

auto chunk_loader::RequestMissing(load_id id, load& item, instant now) -> void {
  item.next_request_at = now + state_->Jitter(kRetryInterval);
  item.peer = ChoosePeer(item);
  item.attempts += 1;
  if (item.peer) {
    RequestFromPeer(item, *item.peer);
  } else {
    RequestFromService(id, item);
  }
}

// The first attempt uses the peer that announced the version, if any; later
// attempts alternate between the service and random peers.
auto chunk_loader::ChoosePeer(const load& item) -> std::optional<vm_ref> {
  if (item.source == load_source::kServiceOnly) {
    return std::nullopt;
  }
  if (item.attempts == 0 && item.peer) {
    return item.peer;
  }
  const auto prefers_service = item.missing.size() <= kMaxServiceFirstChunks;
  const auto is_service_turn = (item.attempts % 2 == 0) == prefers_service;
  if (is_service_turn) {
    return std::nullopt;
  }
  auto peers = state_->RandomPeers(true, 1);
  if (peers.empty()) {
    peers = state_->RandomPeers(false, 1);
  }
  return peers.empty() ? std::nullopt : std::optional(peers.front());
}

auto chunk_loader::RequestFromPeer(load& item, const vm_ref& peer) -> void {
  auto request = chunk_request{};
  item.pending_replies = 0;
  for (const auto& chunk : item.missing) {
    request.digests.push_back(chunk);
    if (request.digests.size() == kChunksPerRequest) {
      state_->Send(peer, std::exchange(request, {}));
      item.pending_replies += 1;
    }
  }
  if (!request.digests.empty()) {
    state_->Send(peer, std::move(request));
    item.pending_replies += 1;
  }
}

auto chunk_loader::RequestFromService(load_id id, load& item) -> void {
  const auto missing =
      std::vector<digest>(item.missing.begin(), item.missing.end());
  for (auto& request : ChunkReadRequests(missing)) {
    state_->CallService(std::move(request),
                        [this, id](const kv_result& result, instant now) {
                          HandleResult(id, result, now);
                        });
  }
}

auto chunk_loader::HandleResult(load_id id,
                                const kv_result& result,
                                instant /*now*/) -> void {
  if (result.outcome != kv::outcome::kAnswered) {
    return;
  }
  auto has_gap = false;
  for (const auto& range : result.response.ranges) {
    has_gap = has_gap || range.items.empty();
    for (const auto& item : range.items) {
      Store(item.value);
    }
  }
  const auto found = loads_.find(id);
  if (found != loads_.end() && has_gap &&
      found->second.source == load_source::kServiceOnly) {
    found->second.is_missing_in_service = true;
  }
}

auto chunk_loader::Store(std::string text) -> void {
  const auto name = DigestOf(text);
  auto is_wanted = false;
  for (auto& [id, item] : loads_) {
    is_wanted = item.missing.erase(name) > 0 || is_wanted;
  }
  if (is_wanted) {
    state_->chunks.emplace(name, std::move(text));
  }
}

}  // namespace daisywind::configuration
