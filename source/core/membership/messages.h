// Messages of the membership protocol between entry VMs, which run a gateway
// each.
#ifndef DAISYWIND_MEMBERSHIP_MESSAGES_H_
#define DAISYWIND_MEMBERSHIP_MESSAGES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "membership/member.h"

namespace daisywind::membership {

// Limits on the size of a message. Messages over a limit are rejected when they
// are decoded.
inline constexpr std::size_t kMaxUpdatesPerMessage = 8;
inline constexpr std::size_t kMaxMembersPerPage = 32;

// Asks the target for an ack, which repeats the sequence number that the sender
// has chosen. If another process now uses the address, it
// answers with an ack that names itself, which shows that the target has lost
// the address.
struct ping {
  std::uint64_t sequence = 0;
  vm_ref target;

  auto operator<=>(const ping&) const = default;
};

// Indirect probe: asks the receiver to ping the target on behalf of the sender.
struct ping_req {
  std::uint64_t sequence = 0;
  member target;

  auto operator<=>(const ping_req&) const = default;
};

// Reply to a ping. In the ack of an indirect probe, `answered_by` is the probed
// member and not the relaying one.
struct ack {
  std::uint64_t sequence = 0;
  member answered_by;

  auto operator<=>(const ack&) const = default;
};

// Sent by a VM that joins: asks for all member records. The reply consists of
// one or more pages.
struct join {
  auto operator<=>(const join&) const = default;
};

// Anti-entropy: the digest of the live members that the sender knows. A
// receiver with a different digest replies with a page and asks for one in
// return.
struct sync {
  std::uint64_t live_members_digest = 0;

  auto operator<=>(const sync&) const = default;
};

// Some records of the sender's member table.
struct page {
  std::vector<member> members;
  // Whether the receiver should reply with a page of its own.
  bool wants_answer = false;

  auto operator<=>(const page&) const = default;
};

// The process of the sender is shutting down.
struct leave {
  auto operator<=>(const leave&) const = default;
};

using message_body = std::variant<ping, ping_req, ack, join, sync, page, leave>;

// A message with the sender's own record and at most kMaxUpdatesPerMessage
// piggybacked records of other members.
struct message {
  member sender;
  message_body body;
  std::vector<member> updates;

  auto operator<=>(const message&) const = default;
};

}  // namespace daisywind::membership

#endif  // DAISYWIND_MEMBERSHIP_MESSAGES_H_
