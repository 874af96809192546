// What the members tell the VMs that send requests to endpoints so that
// together they keep to the rate limits that endpoints name: which VMs these
// are, and the limits that any of them has seen. It also lets a VM that reaches
// no endpoint find one that does. Does no I/O and reads no
// clock.
#ifndef DAISYWIND_HISTORY_LIMIT_REGISTRY_H_
#define DAISYWIND_HISTORY_LIMIT_REGISTRY_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/endpoint_key.h"
#include "common/ids.h"
#include "common/time.h"
#include "common/vm_location.h"

namespace daisywind::history {

// A VM that sends requests to endpoints.
struct sender_state {
  vm_location location;
  // Where it makes attempts for other VMs, as "ip:port"; empty if it does not.
  std::string relay_address;
  bool reaches_endpoints = true;

  auto operator<=>(const sender_state&) const = default;
};

// The rate limit that an endpoint has named in a response.
struct rate_limit_sample {
  endpoint_key endpoint = 0;
  // Requests per second from all VMs together; empty when it no longer names a
  // limit.
  std::optional<double> per_second;
  // Time since the response.
  duration age{};

  auto operator<=>(const rate_limit_sample&) const = default;
};

// Everything that a member knows.
struct limit_state {
  std::vector<sender_state> senders;
  std::vector<rate_limit_sample> limits;

  auto operator<=>(const limit_state&) const = default;
};

// Tells a member that the sender is alive and which limits it has seen since
// its last request to this member, and asks for the member's state.
struct limits_request {
  sender_state sender;
  std::vector<rate_limit_sample> limits;
  // Version of the member's state that the sender has.
  std::uint64_t known_version = 0;

  auto operator<=>(const limits_request&) const = default;
};

struct limits_reply {
  std::uint64_t version = 0;
  // Absent when the sender has this version.
  std::optional<limit_state> state;

  auto operator<=>(const limits_reply&) const = default;
};

struct limit_registry_options {
  // A VM that has sent no request for this long no longer counts.
  duration sender_lifetime = 3s;
  // How long a limit is kept without a new sample of it, which bounds the
  // memory for endpoints that are gone. A removed limit is kept for as long, so
  // that older samples do not bring it back.
  duration limit_lifetime = 60s;

  auto operator<=>(const limit_registry_options&) const = default;
};

// The state of one member.
class limit_registry {
 public:
  // Versions start at a random number, so that those of an earlier run of the
  // member are not taken for current ones.
  explicit limit_registry(std::uint64_t first_version,
                          limit_registry_options options = {})
      : options_(options), version_(first_version) {}

  auto Handle(const limits_request& request, instant now) -> limits_reply;

 private:
  struct sender_entry {
    sender_state state;
    instant heard_at;
  };
  struct limit_entry {
    std::optional<double> per_second;
    instant observed_at;
  };

  auto AddSender(const sender_state& sender, instant now) -> void;
  auto AddSample(const rate_limit_sample& sample, instant now) -> void;
  auto RemoveExpired(instant now) -> void;
  [[nodiscard]] auto State(instant now) const -> limit_state;

  limit_registry_options options_;
  std::uint64_t version_;
  std::map<vm_id, sender_entry> senders_;
  std::unordered_map<endpoint_key, limit_entry> limits_;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_LIMIT_REGISTRY_H_
