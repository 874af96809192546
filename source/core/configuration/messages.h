// Messages between the configuration systems of different VMs.
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

// Pushed to a few peers when a version is installed. Describes the version as
// a difference from `base`, the version installed on the sender before it.
struct announce_message {
  version_info info;
  version_ref base;
  std::vector<bucket_change> changes;
  // For each change, the merge patch to apply to the base's chunk of that
  // bucket. Where it is empty, the receiver requests the chunk instead.
  std::vector<std::string> patches;

  auto operator<=>(const announce_message&) const = default;
};

// Sent periodically to one random peer: the sender's version and the age of its
// proof that no newer version has been accepted. A negative age means that the
// sender has no proof.
struct probe_message {
  version_ref ref;
  std::int64_t proof_age_ms = -1;
  bool wants_reply = false;

  auto operator<=>(const probe_message&) const = default;
};

// Requests the manifest of the receiver's installed version.
struct manifest_request {
  auto operator<=>(const manifest_request&) const = default;
};

// The manifest of the sender's installed version.
struct manifest_reply {
  version_head head;

  auto operator<=>(const manifest_reply&) const = default;
};

// Requests chunks by their digests.
struct chunk_request {
  std::vector<digest> digests;

  auto operator<=>(const chunk_request&) const = default;
};

// Those of the requested chunks that the sender has.
struct chunk_reply {
  std::vector<std::string> chunks;

  auto operator<=>(const chunk_reply&) const = default;
};

// The version installed on a VM.
struct acknowledgement {
  vm_ref vm;
  failure_domain_id domain;
  version_number number = 0;
  // Time from acceptance to installation on this VM, ms; negative if unknown.
  std::int64_t spread_ms = -1;
  // Age of the proof that no newer version has been accepted, ms; negative if
  // there is none.
  std::int64_t proof_age_ms = -1;

  auto operator<=>(const acknowledgement&) const = default;
};

// Reports the sender's version to the watchers of its failure domain.
struct acknowledge_message {
  acknowledgement state;

  auto operator<=>(const acknowledge_message&) const = default;
};

// Requests the acknowledgements of a failure domain from one of its watchers.
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
