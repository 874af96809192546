// A member's shares of the request limits of organisations. Does no I/O and
// reads no clock.
#ifndef DAISYWIND_HISTORY_QUOTA_REGISTRY_H_
#define DAISYWIND_HISTORY_QUOTA_REGISTRY_H_

#include <compare>
#include <cstddef>
#include <unordered_map>

#include "common/ids.h"
#include "common/time.h"
#include "history/quota_messages.h"

namespace daisywind::history {

struct quota_registry_options {
  // Added to each burst, over all members. Programs make several calls at once,
  // at one front, which asks one member: its share of a small burst alone would
  // refuse most of them although the organisation is far below its limit.
  double extra_burst = 15;
  // How long a member keeps the state of a limit for which nobody asks. It
  // keeps it longer if the bucket is not full by then.
  duration idle_lifetime = 60s;
  // When a member that is in no view may be asked again.
  duration no_member_retry = 300ms;
  // Longest time after which a front is told to ask again. Also keeps the time
  // that a very low rate takes in the range of a duration.
  duration max_retry = 60s;

  auto operator<=>(const quota_registry_options&) const = default;
};

// Each member of a view of n grants one n-th of every limit, so that no two of
// them have to agree on a request: a token bucket for each organisation.
class quota_registry {
 public:
  // A bucket is as full as if it had been filling since `started_at`, the start
  // of the process, or since this VM became a member if that was later. What an
  // earlier run granted is not granted again.
  explicit quota_registry(instant started_at,
                          quota_registry_options options = {})
      : options_(options), started_at_(started_at) {}

  // Call when this VM becomes a member. Empties all buckets: the members before
  // it have granted what a full one would grant again.
  auto OnJoined(instant now) -> void;

  // `members` is the number of members of the view; zero if this VM is none of
  // them.
  auto Handle(const quota_request& request, std::size_t members, instant now)
      -> quota_reply;

  [[nodiscard]] auto size() const -> std::size_t { return buckets_.size(); }

 private:
  struct bucket {
    request_limit limit;
    double level = 0;
    instant updated_at;
  };

  // Size of this member's bucket.
  [[nodiscard]] auto Capacity(const request_limit& limit,
                              std::size_t members) const -> double;
  auto Grant(const quota_demand& demand, std::size_t members, instant now)
      -> quota_grant;
  auto RemoveIdle(std::size_t members, instant now) -> void;

  quota_registry_options options_;
  // When buckets that nobody has asked about began to fill.
  instant started_at_;
  instant cleanup_at_{};
  std::unordered_map<organisation_id, bucket> buckets_;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_QUOTA_REGISTRY_H_
