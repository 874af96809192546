// Input events of the migration system and the commands that it returns.
#ifndef DAISYWIND_MIGRATION_EVENTS_H_
#define DAISYWIND_MIGRATION_EVENTS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "common/time.h"
#include "migration/wanted_state.h"

namespace daisywind::migration {

// A configuration version is in force on this VM. Versions that are not greater
// than the current one are ignored.
struct wanted_changed {
  wanted_state wanted;
  // When the version was accepted. The deadline counts from this time.
  instant accepted_at{};

  auto operator<=>(const wanted_changed&) const = default;
};

// The response to read_state.
struct engine_state {
  endpoint_id endpoint;
  engine_report report;
  // When the request was sent: the report is not older than this.
  instant asked_at{};

  auto operator<=>(const engine_state&) const = default;
};

// read_state was not answered.
struct endpoint_unreachable {
  endpoint_id endpoint;

  auto operator<=>(const endpoint_unreachable&) const = default;
};

// The endpoint has refused work because it is leaving or draining.
struct endpoint_refused {
  endpoint_id endpoint;

  auto operator<=>(const endpoint_refused&) const = default;
};

enum class order_outcome : std::uint8_t {
  kAccepted,
  // The engine has seen a greater fencing number.
  kStaleFence,
  // Refused for another reason, or answered with an error.
  kRejected,
  // No response: the engine may have executed the order.
  kUnknown,
};

// The outcome of send_order.
struct order_result {
  endpoint_id endpoint;
  std::uint64_t fence = 0;
  version_number version = 0;
  order_outcome outcome = order_outcome::kUnknown;

  auto operator<=>(const order_result&) const = default;
};

// The VMs that the platform lists as leaving. An endpoint has the same id as
// its VM in that list.
struct vm_list {
  std::vector<endpoint_id> leaving;

  auto operator<=>(const vm_list&) const = default;
};

// The live entry VMs in ascending order of id, including this one.
struct members {
  vm_id self;
  std::vector<vm_id> live;

  auto operator<=>(const members&) const = default;
};

// The reconciler's lease has been granted or renewed. `until` is the time at
// which the request was sent plus the time to live. The service counts from a
// later time, so the lease can't expire there before `until`.
struct lease_granted {
  // Revision of the key-value service at which the lease's key was created.
  std::uint64_t fence = 0;
  instant until{};

  auto operator<=>(const lease_granted&) const = default;
};

// Another VM holds the lease.
struct lease_held_by_other {
  auto operator<=>(const lease_held_by_other&) const = default;
};

// The key-value service reports that this VM's lease has ended.
struct lease_lost {
  auto operator<=>(const lease_lost&) const = default;
};

// A lease command failed or was not answered. It may have taken effect.
struct lease_outcome_unknown {
  auto operator<=>(const lease_outcome_unknown&) const = default;
};

// This VM's process is shutting down.
struct stopping {
  auto operator<=>(const stopping&) const = default;
};

using event = std::variant<wanted_changed,
                           engine_state,
                           endpoint_unreachable,
                           endpoint_refused,
                           order_result,
                           vm_list,
                           members,
                           lease_granted,
                           lease_held_by_other,
                           lease_lost,
                           lease_outcome_unknown,
                           stopping>;

// Create the reconciler's key under a lease with the given time to live and
// with this VM as its value, if the key does not exist or already holds this
// incarnation of the VM.
struct acquire_lease {
  duration time_to_live{};

  auto operator<=>(const acquire_lease&) const = default;
};

// Send a keep-alive for the lease.
struct renew_lease {
  std::uint64_t fence = 0;
  duration time_to_live{};

  auto operator<=>(const renew_lease&) const = default;
};

// Revoke the lease.
struct release_lease {
  std::uint64_t fence = 0;

  auto operator<=>(const release_lease&) const = default;
};

// POST /v1/orders. Must not be sent at or after `send_before`.
struct send_order {
  endpoint_id endpoint;
  std::string address;
  std::uint64_t fence = 0;
  version_number version = 0;
  engine_order wanted;
  instant send_before{};

  auto operator<=>(const send_order&) const = default;
};

// GET /v1/state of an engine, GET /v1/load of a service.
struct read_state {
  endpoint_id endpoint;
  std::string address;
  endpoint_kind kind = endpoint_kind::kEngine;

  auto operator<=>(const read_state&) const = default;
};

// Why an endpoint is open or closed to new work.
enum class routing_reason : std::uint8_t {
  kOpen,
  kNotSeen,      // no report yet
  kUnreachable,  // no report for too long
  kNotLoaded,
  kWarming,
  kLeavingByConfiguration,
  kLeavingByVmList,
  kLeavingByRefusal,
  kNotConfigured,
};

// Whether an endpoint may receive new work: calls of new programs and the next
// turns of running ones. Sent on each change.
struct routing_state {
  endpoint_id endpoint;
  bool accepts_new_work = false;
  routing_reason reason = routing_reason::kNotSeen;

  auto operator<=>(const routing_state&) const = default;
};

// Release the memory that sessions of programs hold at the endpoint.
struct release_sessions {
  endpoint_id endpoint;

  auto operator<=>(const release_sessions&) const = default;
};

using command = std::variant<acquire_lease,
                             renew_lease,
                             release_lease,
                             send_order,
                             read_state,
                             routing_state,
                             release_sessions>;

// The name of a reason, for logs and operators.
auto ToString(routing_reason reason) -> std::string_view;

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_EVENTS_H_
