// Messages by which fronts take parts of organisations' request limits from the
// members of the journal view.
#ifndef DAISYWIND_HISTORY_QUOTA_MESSAGES_H_
#define DAISYWIND_HISTORY_QUOTA_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "common/ids.h"
#include "common/time.h"

namespace daisywind::history {

// Limit on an organisation's requests over all VMs together, as a version of
// the configuration states it.
struct request_limit {
  version_number version = 0;
  double per_second = 0;
  double burst = 0;

  auto operator<=>(const request_limit&) const = default;
};

// What a front needs of one organisation's limit.
struct quota_demand {
  organisation_id organisation;
  request_limit limit;
  // Requests that the front wants to admit now and soon.
  std::uint32_t wanted = 0;
  // Requests granted by this member that the front has not used and no longer
  // may.
  std::uint32_t returned = 0;

  auto operator<=>(const quota_demand&) const = default;
};

struct quota_request {
  std::vector<quota_demand> demands;

  auto operator<=>(const quota_request&) const = default;
};

struct quota_grant {
  organisation_id organisation;
  std::uint32_t granted = 0;
  // When less was granted than wanted: time until the member can grant more.
  duration retry_after{};

  auto operator<=>(const quota_grant&) const = default;
};

// One grant for each demand, in the order of the request.
struct quota_reply {
  std::vector<quota_grant> grants;

  auto operator<=>(const quota_reply&) const = default;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_QUOTA_MESSAGES_H_
