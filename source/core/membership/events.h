// Events that the membership system takes and commands that it returns.
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

// The process has started. The run of `self` must be greater than that of any
// earlier start of the same VM, for instance the start's wall-clock time in
// microseconds.
struct started {
  member self;
  std::vector<std::string> seed_addresses;

  auto operator<=>(const started&) const = default;
};

// A decoded message has arrived.
struct peer_message {
  message content;

  auto operator<=>(const peer_message&) const = default;
};

// The records under the service's lease keys, in answer to read_members. They
// are places to ask, no proof that anybody is alive.
struct kv_members {
  member_list members;

  auto operator<=>(const kv_members&) const = default;
};

// The last publish_lease or read_members failed or was not answered.
struct kv_unavailable {
  auto operator<=>(const kv_unavailable&) const = default;
};

// The process is about to end.
struct leaving {
  auto operator<=>(const leaving&) const = default;
};

using event =
    std::variant<started, peer_message, kv_members, kv_unavailable, leaving>;

// Send a message. `ref` is empty when only an address is known.
struct send_message {
  std::string address;
  vm_ref ref;
  message content;

  auto operator<=>(const send_message&) const = default;
};

// The live members have changed: all that are alive or suspected, this VM
// included, by ascending VM.
struct members_changed {
  member_list members;

  auto operator<=>(const members_changed&) const = default;
};

// A member no longer answers. It may still contradict.
struct member_suspected {
  vm_ref ref;

  auto operator<=>(const member_suspected&) const = default;
};

// A run of a member is taken as dead or has left. The same run can come back
// after a pause or a partition, unless a newer run of its VM has been heard.
struct member_dead {
  vm_ref ref;

  auto operator<=>(const member_dead&) const = default;
};

// A newer run of this VM has been heard: this process has been replaced and
// should end.
struct self_superseded {
  vm_ref newer;

  auto operator<=>(const self_superseded&) const = default;
};

// Put this VM's record under a lease key of the given time to live. Repeating
// it renews the lease, or grants another when the old one has lapsed.
struct publish_lease {
  member self;
  duration time_to_live{};

  auto operator<=>(const publish_lease&) const = default;
};

// Remove this VM's lease key.
struct withdraw_lease {
  auto operator<=>(const withdraw_lease&) const = default;
};

// Read all lease keys and answer with kv_members or kv_unavailable.
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
