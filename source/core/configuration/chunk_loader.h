// Loads missing chunks from peers or from the key-value service.
#ifndef DAISYWIND_CONFIGURATION_CHUNK_LOADER_H_
#define DAISYWIND_CONFIGURATION_CHUNK_LOADER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "configuration/system_state.h"

namespace daisywind::configuration {

using load_id = std::uint64_t;

enum class load_status : std::uint8_t { kRunning, kDone, kMissing };

// Where chunks may be loaded from.
enum class load_source : std::uint8_t { kPeersAndService, kServiceOnly };

// Tracks the loads in progress. Received chunks are stored in
// system_state::chunks.
class chunk_loader {
 public:
  explicit chunk_loader(system_state& state) : state_(&state) {}

  // Starts to load the missing chunks of a version. The first request goes to
  // the given peer, if any.
  auto Start(const manifest& buckets,
             load_source source,
             std::optional<vm_ref> peer) -> load_id;

  // Whether all chunks have been loaded. kMissing means that the service lacks
  // at least one of them; only loads from kServiceOnly report it.
  [[nodiscard]] auto StatusOf(load_id id) const -> load_status;

  // Removes a load; its chunks become eligible for Prune.
  auto Finish(load_id id) -> void;

  // Sends the requested chunks that this VM has to a peer.
  auto HandleRequest(const vm_ref& from, const chunk_request& request) -> void;

  // Stores chunks received from a peer.
  auto HandleReply(const vm_ref& from, const chunk_reply& reply, instant now)
      -> void;

  // Sends the requests that are due.
  auto Advance(instant now) -> void;

  // Removes chunks that neither the installed version nor a load references.
  auto Prune() -> void;

 private:
  struct load {
    load_source source = load_source::kPeersAndService;
    std::set<digest> wanted;
    std::set<digest> missing;
    std::optional<vm_ref> peer;
    instant next_request_at;
    std::size_t attempts = 0;
    std::size_t pending_replies = 0;
    bool is_missing_in_service = false;
  };

  auto RequestMissing(load_id id, load& item, instant now) -> void;
  auto ChoosePeer(const load& item) -> std::optional<vm_ref>;
  auto RequestFromPeer(load& item, const vm_ref& peer) -> void;
  auto RequestFromService(load_id id, load& item) -> void;
  auto HandleResult(load_id id, const kv_result& result, instant now) -> void;
  auto Store(std::string text) -> void;

  system_state* state_;
  std::map<load_id, load> loads_;
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_CHUNK_LOADER_H_
