// What a front holds of the request limits of organisations, and what it has to
// ask the members for. Does no I/O and reads no clock.
#ifndef DAISYWIND_HISTORY_CLIENT_QUOTA_CREDITS_H_
#define DAISYWIND_HISTORY_CLIENT_QUOTA_CREDITS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/ids.h"
#include "common/time.h"
#include "history/quota_messages.h"

namespace daisywind::history {

struct quota_credits_options {
  // How long a granted request may be admitted, counted from when the front
  // asked for it. Bounds by how much a limit can be exceeded in a window.
  duration credit_lifetime = 300ms;
  // How far ahead of its need a front asks, by its own recent rate.
  duration forecast = 250ms;
  // Time over which that rate is averaged.
  duration rate_window = 1s;
  // How long what has lapsed may wait for a request that takes it back.
  duration return_delay = 500ms;
  // A member that has not replied is asked last for this long.
  duration failure_memory = 1s;
  // A member that has nothing left is not asked again for at least this long,
  // which bounds the requests of an organisation that has used up its limit.
  duration min_empty_time = 250ms;
  // Maximum number of organisations in one request.
  std::size_t max_demands = 64;

  auto operator<=>(const quota_credits_options&) const = default;
};

// The permission to admit one request.
struct quota_credit {
  // Address of the member that granted it.
  std::string member;
  instant expires_at;

  auto operator<=>(const quota_credit&) const = default;
};

// Whether a request may be admitted.
enum class quota_state : std::uint8_t {
  kGranted,
  // A member has to be asked, or has been.
  kPending,
  // Every member has said that the limit is used up.
  kExceeded,
  // No member can be asked that may have something left.
  kUnknown,
};

class quota_credits {
 public:
  explicit quota_credits(quota_credits_options options = {})
      : options_(options) {}

  // Sets the members, nearest first.
  auto SetMembers(std::vector<std::string> addresses) -> void;

  // Notes that a request of the organisation arrives, which the forecast
  // counts.
  auto OnArrival(const organisation_id& organisation,
                 const request_limit& limit,
                 instant now) -> void;

  // Takes a credit, if one is there.
  auto Take(const organisation_id& organisation, instant now)
      -> std::optional<quota_credit>;

  // Gives back the credit of a request that was not sent to an endpoint.
  auto Return(const organisation_id& organisation,
              const quota_credit& credit,
              instant now) -> void;

  // Number of requests of the organisation that wait for a credit.
  auto SetWaiting(const organisation_id& organisation, std::uint32_t waiting)
      -> void;

  // State of a request that found no credit, and when the first member has room
  // again if the limit is used up.
  [[nodiscard]] auto StateOf(const organisation_id& organisation,
                             instant now) const -> quota_state;
  // Whether no member has replied to its last request.
  [[nodiscard]] auto HaveAllFailed(instant now) const -> bool;

  // Whether any member has said that it has nothing left.
  [[nodiscard]] auto HasEmptyMember(const organisation_id& organisation,
                                    instant now) const -> bool;
  [[nodiscard]] auto RetryAfter(const organisation_id& organisation,
                                instant now) const -> duration;

  // The next request to a member, with all that it may be asked for now;
  // empty when there is nothing to ask. It counts as asked until
  // ProcessReply, OnSlow or OnFailure.
  auto MakeRequest(const std::string& member, instant now)
      -> std::optional<quota_request>;

  auto ProcessReply(const std::string& member,
                    const quota_request& request,
                    const quota_reply& reply,
                    instant sent_at,
                    instant now) -> void;
  // The member has not replied yet; another one may be asked meanwhile.
  auto OnSlow(const std::string& member, const quota_request& request) -> void;
  auto OnFailure(const std::string& member,
                 const quota_request& request,
                 instant now) -> void;
  // The member rejected the request because of its view, and may be asked again
  // with a newer one.
  auto OnRejected(const std::string& member, const quota_request& request)
      -> void;

  // Lets all members be asked again, as they have replied to other requests.
  auto ForgetFailures() -> void { failed_until_.clear(); }

  // Moves lapsed credits to what is to be returned. Drops what is not needed.
  auto Tick(instant now) -> void;

  [[nodiscard]] auto members() const -> const std::vector<std::string>& {
    return members_;
  }

 private:
  struct member_share {
    // The member has said that it has nothing before this time.
    instant empty_until{};
    // Lapsed credits of the member, and since when there are any.
    std::uint32_t returned = 0;
    instant returned_since{};
  };
  struct account {
    request_limit limit;
    std::deque<quota_credit> credits;
    std::map<std::string, member_share> shares;
    std::uint32_t waiting = 0;
    // The member that is being asked; empty if none is.
    std::string asked;
    double rate = 0;
    instant arrived_at{};
  };

  auto DropLapsed(account& item, instant now) -> void;
  [[nodiscard]] auto IsEmpty(const account& item,
                             const std::string& member,
                             instant now) const -> bool;
  [[nodiscard]] auto HasFailed(const std::string& member, instant now) const
      -> bool;
  // The member to be asked next; nothing if none may have something left.
  [[nodiscard]] auto NextMember(const account& item, instant now) const
      -> std::optional<std::string>;
  [[nodiscard]] auto Wanted(const account& item, instant now) const
      -> std::uint32_t;
  auto StopAsking(const std::string& member, const quota_request& request)
      -> void;

  quota_credits_options options_;
  std::vector<std::string> members_;
  std::unordered_map<organisation_id, account> accounts_;
  std::map<std::string, instant> failed_until_;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_CLIENT_QUOTA_CREDITS_H_
