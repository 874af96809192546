// Distributes versions among VMs and installs them on this one.
#ifndef DAISYWIND_CONFIGURATION_VERSION_DISTRIBUTOR_H_
#define DAISYWIND_CONFIGURATION_VERSION_DISTRIBUTOR_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "configuration/chunk_loader.h"
#include "configuration/system_state.h"

namespace daisywind::configuration {

class version_distributor {
 public:
  version_distributor(system_state& state, chunk_loader& loader)
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

  // Starts to load newly learned versions, installs a completely loaded one,
  // and probes peers.
  auto Advance(instant now) -> void;

  [[nodiscard]] auto IsReady() const -> bool { return is_ready_; }

 private:
  // The newest known version that is not installed yet.
  struct target {
    version_head head;
    load_id load = 0;
  };

  auto ProcessLearned() -> void;
  auto SetTarget(const learned_version& item) -> void;
  auto TryInstall(instant now) -> void;
  // The document of the target. All its chunks must be loaded.
  [[nodiscard]] auto ReadTarget() const -> leaf::result<document>;
  auto Install(const version_head& head,
               std::shared_ptr<const document> content,
               instant now) -> void;
  // For each change, the patch that transforms the base's chunk into the new
  // one; empty when there is none.
  [[nodiscard]] auto MakeChunkPatches(const version_head& base,
                                      const std::vector<bucket_change>& changes)
      const -> std::vector<std::string>;
  // Builds the chunks of an announced version for which it contains patches.
  auto ApplyChunkPatches(const version_head& base,
                         const announce_message& content) -> void;
  // The chunk of a bucket; null when it has not been loaded.
  [[nodiscard]] auto FindChunk(const version_head& version,
                               bucket_index bucket) const -> const std::string*;
  auto Announce() -> void;
  [[nodiscard]] auto MakeAnnounce() const -> announce_message;
  auto ProbePeer(instant now) -> void;
  auto ProbeAtStart(instant now) -> void;
  auto UpdateReady(instant now) -> void;
  [[nodiscard]] auto CanRelyOnPeers(instant now) const -> bool;
  auto RequestManifest(const vm_ref& from, const version_ref& ref, instant now)
      -> void;

  system_state* state_;
  chunk_loader* loader_;
  std::optional<target> target_;
  instant next_probe_at_;
  // The version whose manifest was requested last, and when.
  version_ref requested_manifest_;
  instant manifest_requested_at_;
  // Peers probed at the start that have not answered yet.
  std::set<vm_ref> unanswered_probes_;
  bool has_probed_at_start_ = false;
  bool has_peer_answer_ = false;
  version_ref newest_peer_version_;
  bool is_ready_ = false;
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_VERSION_DISTRIBUTOR_H_
