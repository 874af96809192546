// Messages between the membership systems of entry VMs.
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

// Bounds of a message. Messages that exceed them are rejected when decoded.
inline constexpr std::size_t kMaxUpdatesPerMessage = 8;
inline constexpr std::size_t kMaxMembersPerPage = 32;

// Asks the target to answer with an ack. A process that is not the target
// answers with an ack that names itself, which shows that the address has
// changed hands.
struct ping {
  std::uint64_t sequence = 0;
  vm_ref target;

  auto operator<=>(const ping&) const = default;
};

// Asks the receiver to ping the target for the sender.
struct ping_req {
  std::uint64_t sequence = 0;
  member target;

  auto operator<=>(const ping_req&) const = default;
};

// Answers a ping. A relayed ack names the member that answered the relay.
struct ack {
  std::uint64_t sequence = 0;
  member answered_by;

  auto operator<=>(const ack&) const = default;
};

// Asks for the whole member list; it is answered by pages.
struct join {
  auto operator<=>(const join&) const = default;
};

// Offers the digest of the sender's view of the live members. A receiver whose
// digest differs answers with one page and its own digest.
struct sync {
  std::uint64_t view_digest = 0;

  auto operator<=>(const sync&) const = default;
};

// A part of the sender's member table.
struct page {
  std::vector<member> members;
  // The receiver should answer with a page of its own.
  bool wants_answer = false;

  auto operator<=>(const page&) const = default;
};

// Tells that the sender's process is about to end.
struct leave {
  auto operator<=>(const leave&) const = default;
};

using message_body = std::variant<ping, ping_req, ack, join, sync, page, leave>;

// What is sent: the sender as it sees itself, the body, and at most
// kMaxUpdatesPerMessage records that are spreading.
struct message {
  member sender;
  message_body body;
  std::vector<member> updates;

  auto operator<=>(const message&) const = default;
};

}  // namespace daisywind::membership

#endif  // DAISYWIND_MEMBERSHIP_MESSAGES_H_
