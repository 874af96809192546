// Messages between the configuration systems of our VMs.
#ifndef DAISYWIND_CONFIGURATION_MESSAGES_H_
#define DAISYWIND_CONFIGURATION_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "configuration/version.h"

namespace daisywind::configuration {

// Pushed to a few peers when a version is installed: what it is, and how it
// differs from the one before it.
struct announce_message {
  version_info info;
  version_ref base;
  std::vector<bucket_change> changes;
  // For each change the patch of the chunk that the base has in the bucket, or
  // an empty text. Without it the chunk is asked for.
  std::vector<std::string> patches;

  auto operator<=>(const announce_message&) const = default;
};

// Sent to one peer at a time in turn: the sender's version, and how old its
// proof is that no newer version has been accepted. A negative age means that
// it has none.
struct probe_message {
  version_ref ref;
  std::int64_t proof_age_ms = -1;
  bool wants_reply = false;

  auto operator<=>(const probe_message&) const = default;
};

// Asks for the manifest of the receiver's version.
struct manifest_request {
  auto operator<=>(const manifest_request&) const = default;
};

// The manifest of the sender's version.
struct manifest_reply {
  version_head head;

  auto operator<=>(const manifest_reply&) const = default;
};

// Asks for chunks by their digests.
struct chunk_request {
  std::vector<digest> digests;

  auto operator<=>(const chunk_request&) const = default;
};

// The chunks that the sender has of those asked for.
struct chunk_reply {
  std::vector<std::string> chunks;

  auto operator<=>(const chunk_reply&) const = default;
};

// The version in force on a VM.
struct acknowledgement {
  vm_ref vm;
  failure_domain_id domain;
  version_number number = 0;
  // From the acceptance to the installation on this VM; negative if unknown.
  std::int64_t spread_ms = -1;
  // Age of the proof that no newer version has been accepted; negative if none.
  std::int64_t proof_age_ms = -1;

  auto operator<=>(const acknowledgement&) const = default;
};

// Tells the watchers of the sender's failure domain its version.
struct acknowledge_message {
  acknowledgement state;

  auto operator<=>(const acknowledge_message&) const = default;
};

// Asks a watcher for the acknowledgements of its failure domain.
struct status_request {
  std::uint64_t query = 0;

  auto operator<=>(const status_request&) const = default;
};

// Acknowledgements of one failure domain.
struct status_response {
  std::uint64_t query = 0;
  std::vector<acknowledgement> states;

  auto operator<=>(const status_response&) const = default;
};

using message = std::variant<announce_message,
                             probe_message,
                             manifest_request,
                             manifest_reply,
                             chunk_request,
                             chunk_reply,
                             acknowledge_message,
                             status_request,
                             status_response>;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_MESSAGES_H_
