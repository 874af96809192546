// Tables that the parts of the configuration system share.
#ifndef DAISYWIND_CONFIGURATION_SYSTEM_STATE_H_
#define DAISYWIND_CONFIGURATION_SYSTEM_STATE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "configuration/configuration_system.h"
#include "configuration/events.h"
#include "configuration/storage.h"
#include "configuration/version.h"

namespace daisywind::configuration {

// The version in force on this VM, and how it differs from the one before.
struct installed_version {
  version_head head;
  std::shared_ptr<const document> content;
  version_ref base;
  std::vector<bucket_change> changes;
  // For each change the patch of the chunk before, or an empty text.
  std::vector<std::string> patches;
};

// A version heard of. It came from a peer, or from the service when that is
// absent.
struct learned_version {
  version_head head;
  std::optional<vm_ref> source;
};

// Gets the end of one call to the key-value service.
using result_handler = std::function<void(const kv_result&, instant)>;

// Shared by the parts. Only `spread` changes `installed`.
struct system_state {
  system_state(std::uint64_t seed, configuration_options bounds)
      : random(seed), options(bounds) {}

  random_source random;
  configuration_options options;
  member self;
  std::optional<instant> started_at;
  std::int64_t unix_offset_ms = 0;
  // Live VMs, this one included.
  std::vector<member> members;
  // Those of this VM's failure domain that watch the service, best first.
  std::vector<member> watchers;
  installed_version installed;
  // Chunks of the installed version and of those that are being loaded.
  chunk_map chunks;
  std::vector<learned_version> learned;
  // The newest version that the service has named, and when it was asked.
  version_ref newest_known;
  instant newest_known_at;
  // When this VM's version was last proved to be the newest.
  std::optional<instant> proof_at;
  // When a message of a peer last came.
  std::optional<instant> heard_peer_at;
  bool has_read_head = false;
  // The head of a service that has lost versions; see head_restore.
  std::optional<head_state> outdated_head;
  std::vector<command> commands;
  configuration_counters counters;
  std::map<operation_id, result_handler> operations;
  std::uint64_t last_id = 0;

  // Takes another list of live VMs, to which this one is added.
  auto SetMembers(std::vector<member> live) -> void;

  // True when this VM watches for its failure domain.
  [[nodiscard]] auto IsWatcher() const -> bool;

  // A number that has not been given before.
  auto NextId() -> std::uint64_t;

  // Asks for a call to the key-value service.
  auto CallService(kv::txn_request request, result_handler handler) -> void;

  auto Send(const vm_ref& to, message content) -> void;

  // The wall clock at an instant, ms since 1970.
  [[nodiscard]] auto UnixMs(instant now) const -> std::int64_t;

  // Takes note of a head of the service. The instant is that of a read that
  // was sent then; without it the head may have been replaced since.
  auto LearnHead(const version_head& head, std::optional<instant> read_at)
      -> void;

  // Takes note that the service holds an older head than is installed here.
  auto NoteOutdatedHead(const head_state& read) -> void;

  // Moves the proof forward.
  auto Prove(instant at) -> void;

  // Age of the proof, ms; negative when there is none.
  [[nodiscard]] auto ProofAgeMs(instant now) const -> std::int64_t;

  // Up to `count` distinct other members at random, within this VM's failure
  // domain or outside it.
  auto RandomPeers(bool in_domain, std::size_t count) -> std::vector<vm_ref>;

  // A duration spread by a tenth to either side, so that VMs do not act in
  // step.
  auto Jitter(duration mean) -> duration;
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_SYSTEM_STATE_H_
