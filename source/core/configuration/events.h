// Events that the configuration system consumes and commands that it returns.
#ifndef DAISYWIND_CONFIGURATION_EVENTS_H_
#define DAISYWIND_CONFIGURATION_EVENTS_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "common/json.h"
#include "common/kv_types.h"
#include "configuration/document.h"
#include "configuration/messages.h"
#include "configuration/patch.h"
#include "configuration/version.h"

namespace daisywind::configuration {

// Request ids are assigned by the adapter, operation and watch ids by this
// library.
using request_id = std::uint64_t;
using operation_id = std::uint64_t;
using watch_id = std::uint64_t;

// A live VM and its failure domain.
struct member {
  vm_ref vm;
  failure_domain_id domain;

  auto operator<=>(const member&) const = default;
};

// The process has started. The wall-clock time is passed only here; the
// timestamps of versions are computed from it and the injected clock.
struct started {
  member self;
  std::int64_t unix_ms = 0;
};

// The list of live VMs has changed. It may contain this VM itself.
struct members_changed {
  std::vector<member> members;
};

// A kv_command has completed. The response is valid only when the outcome is
// kAnswered.
struct kv_result {
  operation_id operation = 0;
  kv::outcome outcome = kv::outcome::kUnknown;
  kv::txn_response response;
};

// The watched key has a new value.
struct watch_event {
  watch_id watch = 0;
  kv::key_value item;
};

// A watch has ended without a stop_watch command.
struct watch_lost {
  watch_id watch = 0;
};

// An operator requests a patch of the version numbered `if_match`.
struct patch_requested {
  request_id request = 0;
  version_number if_match = 0;
  std::string patch_id;
  std::string author;
  patch_kind kind = patch_kind::kMergePatch;
  std::string text;
};

// An operator requests the document of a version.
struct version_requested {
  request_id request = 0;
  version_number number = 0;
};

// An operator requests the newest history entries.
struct history_requested {
  request_id request = 0;
  std::uint32_t limit = 100;
};

// An operator asks which version is installed on each VM.
struct status_requested {
  request_id request = 0;
};

// A message from another VM.
struct peer_message {
  vm_ref from;
  message content;
};

using event = std::variant<started,
                           members_changed,
                           kv_result,
                           watch_event,
                           watch_lost,
                           patch_requested,
                           version_requested,
                           history_requested,
                           status_requested,
                           peer_message>;

// Performs one call to the key-value service. The adapter always reports the
// outcome as a kv_result, within its own timeout.
struct kv_command {
  operation_id operation = 0;
  kv::txn_request request;
};

// Starts a watch of one key for changes after a revision.
struct start_watch {
  watch_id watch = 0;
  std::string key;
  kv::revision after_revision = 0;
};

struct stop_watch {
  watch_id watch = 0;
};

struct send_message {
  vm_ref to;
  message content;
};

// The patch was accepted, by this request or an earlier one with the same patch
// id.
struct patch_accepted {
  version_number number = 0;

  auto operator<=>(const patch_accepted&) const = default;
};

// The patch is based on a version other than the newest and was not applied.
struct patch_conflict {
  version_number current = 0;
  // JSON pointers of the values that changed since the base version.
  std::vector<std::string> paths;

  auto operator<=>(const patch_conflict&) const = default;
};

// The patch cannot be applied or its result fails validation; it was not
// accepted.
struct patch_invalid {
  document_error error;

  auto operator<=>(const patch_invalid&) const = default;
};

// The service did not answer in time. If the patch may have been accepted, a
// retry with the same patch id returns the result and never applies it twice.
struct patch_unavailable {
  bool may_be_accepted = false;

  auto operator<=>(const patch_unavailable&) const = default;
};

using patch_result = std::
    variant<patch_accepted, patch_conflict, patch_invalid, patch_unavailable>;

struct patch_reply {
  request_id request = 0;
  patch_result result;
};

// Result of a query.
enum class query_outcome : std::uint8_t { kFound, kNotFound, kUnavailable };

struct version_reply {
  request_id request = 0;
  query_outcome outcome = query_outcome::kUnavailable;
  version_number number = 0;
  std::shared_ptr<const document> content;
};

struct history_reply {
  request_id request = 0;
  query_outcome outcome = query_outcome::kUnavailable;
  // In ascending order of version number.
  std::vector<history_entry> entries;
};

struct status_reply {
  request_id request = 0;
  version_number newest = 0;
  std::vector<acknowledgement> states;
  // Live members without a received acknowledgement.
  std::vector<member> silent;
};

// Makes a version the active one on this VM. Numbers never decrease.
struct install_version {
  version_number number = 0;
  std::shared_ptr<const document> content;
  // Time from acceptance to installation, ms; negative if unknown.
  std::int64_t spread_ms = -1;
};

using command = std::variant<kv_command,
                             start_watch,
                             stop_watch,
                             send_message,
                             patch_reply,
                             version_reply,
                             history_reply,
                             status_reply,
                             install_version>;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_EVENTS_H_
