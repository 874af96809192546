// Passes versions between VMs and puts them in force on this one.
#ifndef DAISYWIND_CONFIGURATION_SPREAD_H_
#define DAISYWIND_CONFIGURATION_SPREAD_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "configuration/chunk_loader.h"
#include "configuration/system_state.h"

namespace daisywind::configuration {

class spread {
 public:
  spread(system_state& state, chunk_loader& loader)
      : state_(&state), loader_(&loader) {}

  auto HandleAnnounce(const vm_ref& from,
                      const announce_message& content,
                      instant now) -> void;
  auto HandleProbe(const vm_ref& from,
                   const probe_message& content,
                   instant now) -> void;
  auto HandleManifestRequest(const vm_ref& from) -> void;
  auto HandleManifestReply(const vm_ref& from, const manifest_reply& content)
      -> void;

  // Takes the versions learned, installs one that is whole, and probes peers.
  auto Advance(instant now) -> void;

  [[nodiscard]] auto IsReady() const -> bool { return is_ready_; }

 private:
  // The newest version that is not yet in force here.
  struct target {
    version_head head;
    load_id load = 0;
  };

  auto TakeLearned() -> void;
  auto Follow(const learned_version& item) -> void;
  auto TryInstall(instant now) -> void;
  // The document of the target, whose chunks are all here.
  [[nodiscard]] auto ReadTarget() const -> leaf::result<document>;
  auto Install(const version_head& head,
               std::shared_ptr<const document> content,
               instant now) -> void;
  // Patches that turn the chunks of the base into those of the changes.
  [[nodiscard]] auto ChunkPatches(const version_head& base,
                                  const std::vector<bucket_change>& changes)
      const -> std::vector<std::string>;
  // Makes the chunks of an announced version that its patches give.
  auto ApplyChunkPatches(const version_head& base,
                         const announce_message& content) -> void;
  // The chunk of a bucket; null when it is not here.
  [[nodiscard]] auto FindChunk(const version_head& version,
                               bucket_index bucket) const -> const std::string*;
  auto Announce() -> void;
  [[nodiscard]] auto MakeAnnounce() const -> announce_message;
  auto ProbePeer(instant now) -> void;
  auto AskAtStart(instant now) -> void;
  auto UpdateReady(instant now) -> void;
  [[nodiscard]] auto HasAskedAllPeers(instant now) const -> bool;
  auto AskManifest(const vm_ref& from, const version_ref& ref, instant now)
      -> void;

  system_state* state_;
  chunk_loader* loader_;
  std::optional<target> target_;
  instant next_probe_at_;
  // The manifest that was asked for last, and when.
  version_ref asked_;
  instant asked_at_;
  // Peers asked at the start, and the newest version that any has named.
  std::set<vm_ref> unanswered_;
  bool has_asked_at_start_ = false;
  bool has_answer_ = false;
  version_ref newest_of_peers_;
  bool is_ready_ = false;
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_SPREAD_H_
