// Client side of the exchange of rate limits with the members: what this VM
// tells each member, and what it knows from all of them. Does no I/O and reads
// no clock.
#ifndef DAISYWIND_HISTORY_CLIENT_LIMIT_EXCHANGE_H_
#define DAISYWIND_HISTORY_CLIENT_LIMIT_EXCHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/endpoint_key.h"
#include "common/time.h"
#include "common/vm_location.h"
#include "history/limit_registry.h"

namespace daisywind::history {

struct limit_exchange_options {
  // A member's list of senders counts for this long after its last reply. It is
  // shorter than the time after which members drop a silent VM, so that a VM
  // without contact stops using its share before others take it over.
  duration reply_lifetime = 2s;
  // A member's list of senders serves for this long after its last reply to
  // find relays: one that is gone is noticed when it is used.
  duration relay_lifetime = 30s;
  // Age up to which a sample of a missing endpoint is recent.
  duration missing_lifetime = 60s;
};

class limit_exchange {
 public:
  explicit limit_exchange(vm_location self, limit_exchange_options options = {})
      : self_{std::move(self), {}, true}, options_(options) {}

  // Sets what the next requests say about this VM.
  auto SetSelf(std::string relay_address, bool reaches_endpoints) -> void;

  // Records the limit that an endpoint named in a response to this VM, or that
  // it named none. Returns whether that is news.
  auto Observe(endpoint_key endpoint,
               std::optional<double> per_second,
               instant now) -> bool;

  // The next request to a member: the limits that this VM has seen since the
  // last request that the member has replied to.
  [[nodiscard]] auto MakeRequest(const std::string& member, instant now) const
      -> limits_request;

  // Returns whether a limit or the list of senders has changed. `sent_at` is
  // when the request was made.
  auto ProcessReply(const std::string& member,
                    const limits_reply& reply,
                    instant sent_at,
                    instant now) -> bool;

  // The limit of an endpoint, or nothing when it names none.
  [[nodiscard]] auto LimitOf(endpoint_key endpoint) const
      -> std::optional<double>;

  // Whether any endpoint is known to name a limit.
  [[nodiscard]] auto HasLimits() const -> bool;

  // All VMs that send requests to endpoints, as known from the members that
  // have replied lately, sorted; empty without such a reply.
  [[nodiscard]] auto Senders(instant now) const -> std::vector<vm_location>;

  // What the members have said last of each VM that sends requests to
  // endpoints.
  [[nodiscard]] auto SenderStates(instant now) const
      -> std::vector<sender_state>;

  // Drops what was known of endpoints that are not among those given, except
  // for recent samples: an endpoint may be missing for a short time.
  auto DropMissing(const std::unordered_set<endpoint_key>& endpoints,
                   instant now) -> void;

 private:
  struct known_limit {
    std::optional<double> per_second;
    instant observed_at;
    // Whether this VM got the response itself.
    bool is_own = false;
  };
  struct member_state {
    std::uint64_t version = 0;
    std::vector<sender_state> senders;
    instant replied_at{};
    // The member has the samples that were observed up to this time.
    instant confirmed_up_to{};
  };

  sender_state self_;
  limit_exchange_options options_;
  std::unordered_map<endpoint_key, known_limit> limits_;
  // Keyed by address.
  std::unordered_map<std::string, member_state> members_;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_CLIENT_LIMIT_EXCHANGE_H_
