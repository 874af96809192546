// Input events and output commands of the membership system.
#ifndef DAISYWIND_MEMBERSHIP_EVENTS_H_
#define DAISYWIND_MEMBERSHIP_EVENTS_H_

#include <compare>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "common/time.h"
#include "membership/member.h"
#include "membership/messages.h"

namespace daisywind::membership {

// The process has started. The incarnation of `self` (its `run`) must be
// greater than in any earlier start of the same VM, for instance the wall-clock
// time of the start in microseconds.
struct started {
  member self;
  std::vector<std::string> seed_addresses;

  auto operator<=>(const started&) const = default;
};

// A message from another VM has been received and decoded.
struct peer_message {
  message content;

  auto operator<=>(const peer_message&) const = default;
};

// The records stored under the lease keys of the key-value service, in reply to
// read_members. They are only addresses to contact; a record does not prove
// that its VM is alive.
struct kv_members {
  member_list members;

  auto operator<=>(const kv_members&) const = default;
};

// The last publish_lease or read_members failed or timed out.
struct kv_unavailable {
  auto operator<=>(const kv_unavailable&) const = default;
};

// The process is shutting down.
struct leaving {
  auto operator<=>(const leaving&) const = default;
};

using event =
    std::variant<started, peer_message, kv_members, kv_unavailable, leaving>;

// Sends a message. `ref` is empty when only the address of the receiver is
// known.
struct send_message {
  std::string address;
  vm_ref ref;
  message content;

  auto operator<=>(const send_message&) const = default;
};

// The set of live members has changed. Lists all alive and suspected members
// including this VM, in ascending order of VM.
struct members_changed {
  member_list members;

  auto operator<=>(const members_changed&) const = default;
};

// A member does not answer probes. It can still refute the suspicion.
struct member_suspected {
  vm_ref ref;

  auto operator<=>(const member_suspected&) const = default;
};

// An incarnation of a member has been declared dead or has left. The same
// incarnation can become alive again after a pause or a network partition,
// unless a newer incarnation of its VM is known.
struct member_dead {
  vm_ref ref;

  auto operator<=>(const member_dead&) const = default;
};

// A newer incarnation of this VM is known: another process has replaced this
// one, which should exit.
struct self_superseded {
  vm_ref newer;

  auto operator<=>(const self_superseded&) const = default;
};

// Stores this VM's record under a lease key with the given time to live.
// Repeating the command renews the lease, or grants a new one if the old lease
// has expired.
struct publish_lease {
  member self;
  duration time_to_live{};

  auto operator<=>(const publish_lease&) const = default;
};

// Deletes this VM's lease key.
struct withdraw_lease {
  auto operator<=>(const withdraw_lease&) const = default;
};

// Reads all lease keys; the reply is kv_members or kv_unavailable.
struct read_members {
  auto operator<=>(const read_members&) const = default;
};

using command = std::variant<send_message,
                             members_changed,
                             member_suspected,
                             member_dead,
                             self_superseded,
                             publish_lease,
                             withdraw_lease,
                             read_members>;

}  // namespace daisywind::membership

#endif  // DAISYWIND_MEMBERSHIP_EVENTS_H_
