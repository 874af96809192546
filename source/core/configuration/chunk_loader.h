// Loads chunks that are missing here, from peers or from the service.
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

// Where chunks may come from.
enum class load_source : std::uint8_t { kPeersAndService, kServiceOnly };

// A table of loads. A chunk that arrives goes to system_state::chunks.
class chunk_loader {
 public:
  explicit chunk_loader(system_state& state) : state_(&state) {}

  // Starts to load what is missing of a version. The peer is asked first.
  auto Start(const manifest& buckets,
             load_source source,
             std::optional<vm_ref> peer) -> load_id;

  // Whether all chunks are here. Missing means that the service does not have
  // one of them.
  [[nodiscard]] auto StatusOf(load_id id) const -> load_status;

  // Forgets a load.
  auto Finish(load_id id) -> void;

  // Answers a peer that asks for chunks.
  auto HandleRequest(const vm_ref& from, const chunk_request& request) -> void;

  // Takes chunks from a peer.
  auto HandleReply(const vm_ref& from, const chunk_reply& reply, instant now)
      -> void;

  // Asks for what is due.
  auto Advance(instant now) -> void;

  // Drops the chunks that no version in use here has.
  auto Prune() -> void;

 private:
  struct load {
    load_source source = load_source::kPeersAndService;
    std::set<digest> wanted;
    std::set<digest> missing;
    std::optional<vm_ref> peer;
    instant ask_at;
    std::size_t attempts = 0;
    std::size_t replies_due = 0;
    bool is_missing_in_service = false;
  };

  auto Ask(load_id id, load& item, instant now) -> void;
  auto ChoosePeer(const load& item) -> std::optional<vm_ref>;
  auto AskPeer(load& item, const vm_ref& peer) -> void;
  auto AskService(load_id id, load& item) -> void;
  auto HandleResult(load_id id, const kv_result& result, instant now) -> void;
  auto Store(std::string text) -> void;

  system_state* state_;
  std::map<load_id, load> loads_;
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_CHUNK_LOADER_H_
