// Messages between clients of the facts and the members that store them.
#ifndef DAISYWIND_HISTORY_MESSAGES_H_
#define DAISYWIND_HISTORY_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/kv_types.h"
#include "common/time.h"
#include "history/fact_table.h"
#include "history/limit_registry.h"
#include "history/load_change_feed.h"
#include "history/quota_messages.h"
#include "history/types.h"
#include "history/view.h"

namespace daisywind::history {

// Reserves a turn's tokens on disk and asks what its program has spent.
struct begin_request {
  program_name program;
  turn_id turn;
  // The turn to continue from; empty at the start of a chain.
  turn_id parent;
  std::uint32_t reserved_tokens = 0;
  bool wants_chain = false;
  // Endpoint loads that the sender has learned since its last request to this
  // member.
  std::vector<load_sample> loads = {};
  // Set when the sender wants the samples that others published after this
  // sequence number.
  std::optional<load_change_feed::sequence> loads_known = std::nullopt;
  // How long to keep the turn, in milliseconds; zero when the sender does not
  // say.
  std::uint32_t retention_ms = 0;
  // Maximum size of the chain in the reply, in bytes; zero when the sender
  // knows no partial chains.
  std::uint64_t max_chain_bytes = 0;

  auto operator<=>(const begin_request&) const = default;
};

// Sent once the reservation is on disk.
struct begin_reply {
  bool is_complete = false;
  turn_chain chain;
  std::vector<spending> spent;
  std::vector<load_sample> loads = {};
  // The last sequence number that `loads` covers; zero when none were
  // requested.
  load_change_feed::sequence loads_up_to = 0;

  auto operator<=>(const begin_reply&) const = default;
};

// Asks to store facts on disk.
struct record_request {
  std::vector<turn_fact> facts;
  // Whether another member sends them so that they are on more disks, at the
  // request of a third one. The receiver refuses them when it is short of
  // memory, and the third one copies them itself.
  bool are_copies = false;

  auto operator<=>(const record_request&) const = default;
};

struct record_reply {
  // False when the disk refused the write.
  bool is_durable = false;

  auto operator<=>(const record_reply&) const = default;
};

// Asks for a chain of turns.
struct read_request {
  turn_id turn;
  // As in begin_request.
  std::uint64_t max_chain_bytes = 0;

  auto operator<=>(const read_request&) const = default;
};

struct read_reply {
  bool is_complete = false;
  turn_chain chain;

  auto operator<=>(const read_reply&) const = default;
};

// Announces the newest view to a member, which rejects requests from older
// views afterwards.
struct adopt_request {
  view newest;

  auto operator<=>(const adopt_request&) const = default;
};

struct adopt_reply {
  bool is_complete = false;

  auto operator<=>(const adopt_reply&) const = default;
};

// Asks for the hashes of all facts.
struct list_request {
  auto operator<=>(const list_request&) const = default;
};

struct list_reply {
  bool is_complete = false;
  std::vector<fact_hash> hashes;

  auto operator<=>(const list_reply&) const = default;
};

// Asks for facts by their hashes. Unknown hashes are skipped.
struct pull_request {
  std::vector<fact_hash> hashes;
  // Maximum size of the facts in the reply, in bytes, unless there is only one;
  // zero when the sender expects all.
  std::uint64_t max_bytes = 0;

  auto operator<=>(const pull_request&) const = default;
};

struct pull_reply {
  std::vector<turn_fact> facts;
  // Number of hashes, from the first, that the facts answer; zero stands for
  // all, from members of earlier versions.
  std::uint64_t examined = 0;

  auto operator<=>(const pull_reply&) const = default;
};

// Asks the receiver to send facts to another member, by their hashes. Unknown
// hashes are skipped.
struct forward_request {
  // Address of the other member.
  std::string address;
  std::vector<fact_hash> hashes;

  auto operator<=>(const forward_request&) const = default;
};

struct forward_reply {
  // Number of hashes, from the first, whose facts the other member has stored;
  // zero when it has stored none.
  std::uint64_t stored = 0;

  auto operator<=>(const forward_reply&) const = default;
};

// Asks how much longer the receiver's facts of each program are kept. A member
// asks before it removes a program, because it may lack the newest turns.
struct lifetimes_request {
  std::vector<program_name> programs;

  auto operator<=>(const lifetimes_request&) const = default;
};

struct lifetimes_reply {
  bool is_complete = false;
  // In milliseconds, one for each program of the request; zero for a program
  // that is outlived or unknown.
  std::vector<std::int64_t> left_ms;

  auto operator<=>(const lifetimes_reply&) const = default;
};

// Content of the platform's store at a revision.
struct store_copy {
  kv::revision revision_at = 0;
  std::vector<kv::key_value> items;

  auto operator<=>(const store_copy&) const = default;
};

// Asks for the receiver's copy of the platform's store.
struct copy_request {
  // The revision that the sender knows.
  kv::revision known = 0;
  // Whether the sender takes what has changed since then in place of a whole
  // copy.
  bool wants_changes = false;
  // Whether the sender takes compressed values; false from senders of earlier
  // versions.
  bool takes_deflated = false;
  // Whether the sender only asks for the revision of the receiver's copy.
  // Receivers of earlier versions send the copy as well.
  bool wants_revision = false;

  auto operator<=>(const copy_request&) const = default;
};

// A key of the platform's store with its compressed value (see
// common/deflate.h).
struct deflated_item {
  // `value` is the compressed one.
  kv::key_value item;
  // Size of the value, in bytes.
  std::size_t size = 0;

  auto operator<=>(const deflated_item&) const = default;
};

struct copy_reply {
  // Absent when it is not newer than what the sender knows.
  std::optional<store_copy> copy;
  // Whether the copy has all that has changed since the revision that the
  // sender knows, and `removed` the keys that are gone.
  bool has_only_changes = false;
  std::vector<std::string> removed = {};
  // Time since the store last answered the receiver; empty when it never has,
  // and from receivers of earlier versions.
  std::optional<duration> store_age = std::nullopt;
  // Time since the receiver asked the store the question whose answer the copy
  // includes: the copy has everything that the store had acknowledged before.
  // Empty when that is not known, and from receivers of earlier versions.
  std::optional<duration> proof_age = std::nullopt;
  // The rest of the copy's items. The decoder of a received reply adds them to
  // the copy.
  std::vector<deflated_item> deflated = {};
  // The revision of the receiver's copy; zero from receivers of earlier
  // versions.
  kv::revision revision_at = 0;

  auto operator<=>(const copy_reply&) const = default;
};

// Rejects a request that was sent in an older view than the receiver's.
struct stale_view {
  view newest;

  auto operator<=>(const stale_view&) const = default;
};

using message_body = std::variant<begin_request,
                                  begin_reply,
                                  record_request,
                                  record_reply,
                                  read_request,
                                  read_reply,
                                  adopt_request,
                                  adopt_reply,
                                  list_request,
                                  list_reply,
                                  pull_request,
                                  pull_reply,
                                  stale_view,
                                  copy_request,
                                  copy_reply,
                                  limits_request,
                                  limits_reply,
                                  lifetimes_request,
                                  lifetimes_reply,
                                  forward_request,
                                  forward_reply,
                                  quota_request,
                                  quota_reply>;

// One frame. A reply carries the id of its request.
struct message {
  std::uint64_t id = 0;
  view_number view = 0;
  message_body body;

  auto operator<=>(const message&) const = default;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_MESSAGES_H_
