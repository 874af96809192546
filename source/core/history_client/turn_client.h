// Client of the journal quorum: reserves and records turns.
#ifndef DAISYWIND_HISTORY_CLIENT_TURN_CLIENT_H_
#define DAISYWIND_HISTORY_CLIENT_TURN_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "common/time.h"
#include "history/quorum.h"
#include "history/types.h"
#include "history/view.h"
#include "history_client/load_exchange.h"
#include "history_client/member_client.h"

namespace daisywind::history {

// Location of this VM, quorum size and timeouts of its requests.
struct turn_client_options {
  failure_domain_id failure_domain;
  region_id region;
  // Number of disks that may be lost at the same time without losing facts.
  std::size_t tolerated_losses = 1;
  // When no reply arrives for this long, one more member is sent the request.
  duration hedge_delay = 120ms;
  // A request to a member fails when there is no reply within this time.
  duration request_timeout = 1500ms;
  // Pause before the next round when a round has not reached a decision.
  duration retry_pause = 100ms;
  // Maximum size of a chain, in bytes. A turn whose chain is longer is not
  // granted.
  std::size_t max_chain_bytes = std::size_t{64} * 1024 * 1024;
  // Time between two probes of the members while there is no quorum.
  duration probe_interval = 150ms;
};

// Called when the quorum is lost and when it is restored.
using quorum_handler = std::function<void(bool has_quorum)>;

// A turn to be reserved.
struct turn_begin {
  program_name program;
  turn_id turn;
  turn_id parent;
  std::uint32_t reserved_tokens = 0;
  std::optional<std::uint64_t> budget;
  // How long to keep the turn, in milliseconds.
  std::uint32_t retention_ms = 0;
};

enum class begin_outcome : std::uint8_t {
  kGranted,
  kBudgetSpent,
  kUnknownTurn,
  // Too few members replied within the timeout.
  kUnavailable,
};

struct begin_result {
  begin_outcome outcome = begin_outcome::kUnavailable;
  // The turns that precede this one, oldest first.
  std::vector<turn_fact> chain;
  std::uint64_t spent_by_others = 0;
  // Whether a request was sent to any member, which may have reserved the turn.
  bool was_sent = false;
  // Number of completed requests and view behind the decision, for the log.
  std::size_t answers = 0;
  view_number view = 0;
};

// Reads and writes facts on a quorum of the journal members. All calls must be
// made on the context's thread.
class turn_client {
 public:
  turn_client(boost::asio::io_context& context,
              turn_client_options options,
              quorum_handler on_quorum_changed = nullptr,
              load_handler on_load = nullptr);

  // Switches to a view if it is newer than the current one.
  auto Adopt(const view& newest) -> void;

  [[nodiscard]] auto current() const -> const view& { return view_; }

  // The members, nearest first. The order of equally near ones differs by VM,
  // so that requests are spread over them.
  [[nodiscard]] auto MembersNearestTo(const vm_id& self) const
      -> std::vector<member>;

  // The client for a member, for requests other than those about turns.
  auto ClientFor(const std::string& address) -> std::shared_ptr<member_client> {
    return clients_.ClientFor(address);
  }

  // Reports that no member has replied to requests for a time. The members are
  // probed until enough of them reply.
  auto SuspectQuorumLoss(duration length) -> void;

  // False while too few members reply. Begin then fails at once, so that its
  // callers can go elsewhere without waiting.
  [[nodiscard]] auto HasQuorum() const -> bool { return has_quorum_; }

  // Forwards the load that an endpoint reported to other VMs, attached to the
  // requests of the next turns.
  auto ReportLoad(const load_sample& sample) -> void;
  // Likewise forwards that an endpoint failed a request.
  auto ReportFailure(const endpoint_id& id) -> void;

  // Reserves a turn and reads the turns that precede it. Returns kUnavailable
  // when there is no decision within the timeout, and at once when too many
  // members refuse the reservation.
  auto Begin(turn_begin request, duration timeout)
      -> boost::asio::awaitable<begin_result>;

  // Stores a fact on a write quorum of disks. Returns false when that did not
  // succeed within the timeout.
  auto Record(turn_fact fact, duration timeout) -> boost::asio::awaitable<bool>;

  // Records a fact without content, such as the tokens spent by a turn. Runs in
  // the background and logs when it fails.
  auto Settle(turn_fact fact) -> void;

 private:
  class round;

  // The members, nearest first. The order of equally near ones differs by
  // program, so that their copies are spread over them.
  [[nodiscard]] auto MembersByDistance(const program_name& program) const
      -> std::vector<member>;
  // Reads the rest of a chain of which some members have answered in a view.
  auto ReadChain(chain_decision& chain,
                 view_number answered_view,
                 const program_name& program,
                 duration timeout) -> boost::asio::awaitable<void>;
  auto Pause(duration length) -> boost::asio::awaitable<void>;
  // Waits before the next round. Returns at once if a stale-view reply brought
  // a newer view. A member may know that a view is stale before it knows the
  // newer one; in that case the pause is needed.
  auto PauseBeforeRetry(const round& request_round, view_number view_before)
      -> boost::asio::awaitable<void>;
  auto SetHasQuorum(bool has_quorum) -> void;
  auto ProbeUntilQuorum() -> boost::asio::awaitable<void>;
  // Counts the members that reply to a probe. Stops at a write quorum.
  auto CountReachableMembers() -> boost::asio::awaitable<std::size_t>;
  auto RecordSettlement(turn_fact fact) -> boost::asio::awaitable<void>;

  boost::asio::io_context& context_;
  turn_client_options options_;
  quorum_handler on_quorum_changed_;
  bool has_quorum_ = true;
  std::chrono::steady_clock::time_point quorum_restored_at_{};
  view view_;
  member_clients clients_;
  load_exchange load_exchange_;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_CLIENT_TURN_CLIENT_H_
