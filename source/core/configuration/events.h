// Events that the configuration system takes and commands that it returns.
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

// Chosen by the adapter for a request, by this library for an operation.
using request_id = std::uint64_t;
using operation_id = std::uint64_t;
using watch_id = std::uint64_t;

// A live VM of the system.
struct member {
  vm_ref vm;
  failure_domain_id domain;

  auto operator<=>(const member&) const = default;
};

// The process has started. The wall clock is given once; times in versions
// follow from it and the injected clock.
struct started {
  member self;
  std::int64_t unix_ms = 0;
};

// The live VMs have changed. The list may hold this VM itself.
struct members_changed {
  std::vector<member> members;
};

// A kv_command has ended. The response is valid when answered.
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

// A watch has ended without being stopped.
struct watch_lost {
  watch_id watch = 0;
};

// An operator asks for a patch of the version with the given number.
struct patch_requested {
  request_id request = 0;
  version_number if_match = 0;
  std::string patch_id;
  std::string author;
  patch_kind kind = patch_kind::kMergePatch;
  std::string text;
};

// An operator asks for an earlier version.
struct version_requested {
  request_id request = 0;
  version_number number = 0;
};

// An operator asks for the newest lines of the history.
struct history_requested {
  request_id request = 0;
  std::uint32_t limit = 100;
};

// An operator asks which version each VM has in force.
struct status_requested {
  request_id request = 0;
};

// A message of another VM.
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

// Carries out one call to the key-value service and hands its end back as
// kv_result, always, within the adapter's own time limit.
struct kv_command {
  operation_id operation = 0;
  kv::txn_request request;
};

// Watches one key for changes after a revision.
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

// A patch was accepted, now or earlier under the same patch id.
struct patch_accepted {
  version_number number = 0;

  auto operator<=>(const patch_accepted&) const = default;
};

// The patch is for another version than the newest, and will not be applied.
struct patch_conflict {
  version_number current = 0;
  // JSON pointers of what differs from the version that the patch is for.
  std::vector<std::string> paths;

  auto operator<=>(const patch_conflict&) const = default;
};

// The patch can't be applied or its result fails a check; it was not accepted.
struct patch_invalid {
  document_error error;

  auto operator<=>(const patch_invalid&) const = default;
};

// The service did not answer in time. When the patch may have been accepted, a
// repeat under the same patch id tells, and never applies it twice.
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

// How a query ended.
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
  // Newest last.
  std::vector<history_entry> entries;
};

struct status_reply {
  request_id request = 0;
  version_number newest = 0;
  std::vector<acknowledgement> states;
  // Live members of which no acknowledgement was had.
  std::vector<member> silent;
};

// Puts a version in force on this VM. Numbers never go back.
struct install_version {
  version_number number = 0;
  std::shared_ptr<const document> content;
  // From its acceptance to now, ms; negative if unknown.
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
