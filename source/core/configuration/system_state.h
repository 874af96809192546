// State shared by the components of the configuration system.
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

// The version installed on this VM, and its difference from the one before.
struct installed_version {
  version_head head;
  std::shared_ptr<const document> content;
  version_ref base;
  std::vector<bucket_change> changes;
  // For each change, the patch to apply to the previous chunk, or an empty
  // string.
  std::vector<std::string> patches;
};

// A version reported by a peer (`source`), or by the service when `source` is
// empty.
struct learned_version {
  version_head head;
  std::optional<vm_ref> source;
};

// Called with the result of one key-value call and the time of its arrival.
using result_handler = std::function<void(const kv_result&, instant)>;

// Shared by all components. Only version_distributor modifies `installed`.
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
  // Members of this VM's failure domain that watch the service, highest hash
  // score first.
  std::vector<member> watchers;
  installed_version installed;
  // Chunks of the installed version and of versions being loaded.
  chunk_map chunks;
  std::vector<learned_version> learned;
  // The newest version read from the service, and when that read was sent.
  version_ref newest_known;
  instant newest_known_at;
  // When the installed version was last proved to be the newest.
  std::optional<instant> proof_at;
  // Arrival time of the last peer message.
  std::optional<instant> last_peer_message_at;
  bool has_read_head = false;
  // A head, read from the service, that is older than the installed version or
  // absent; see head_restore.
  std::optional<head_state> outdated_head;
  std::vector<command> commands;
  configuration_counters counters;
  std::map<operation_id, result_handler> operations;
  std::uint64_t last_id = 0;

  // Replaces the list of live VMs; this VM is always added to it.
  auto SetMembers(std::vector<member> live) -> void;

  // True when this VM is a watcher of its failure domain.
  [[nodiscard]] auto IsWatcher() const -> bool;

  // Returns a new unique id.
  auto NextId() -> std::uint64_t;

  // Queues a call to the key-value service as a command.
  auto CallService(kv::txn_request request, result_handler handler) -> void;

  auto Send(const vm_ref& to, message content) -> void;

  // Wall-clock time at an instant, ms since 1970.
  [[nodiscard]] auto UnixMs(instant now) const -> std::int64_t;

  // Records a head received from the service. `read_at` is the time at which a
  // read was sent; it is empty when the head may already have been replaced.
  auto LearnHead(const version_head& head, std::optional<instant> read_at)
      -> void;

  // Records that the service has an older head than the installed version, or
  // no head at all.
  auto NoteOutdatedHead(const head_state& read) -> void;

  // Records a proof that the installed version was the newest at that time. An
  // older proof is ignored.
  auto RecordProof(instant at) -> void;

  // Age of the newest proof, ms; negative when there is none.
  [[nodiscard]] auto ProofAgeMs(instant now) const -> std::int64_t;

  // Up to `count` distinct random members other than this VM, inside or outside
  // its failure domain.
  auto RandomPeers(bool in_domain, std::size_t count) -> std::vector<vm_ref>;

  // Returns a random duration within 10 % of the mean, so that VMs do not act
  // simultaneously.
  auto Jitter(duration mean) -> duration;
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_SYSTEM_STATE_H_
