// Begins and records turns at the VMs that hold facts.
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

// Where the asking VM stands, and how patient it is.
struct turn_client_options {
  failure_domain_id failure_domain;
  region_id region;
  // Disks that may be lost at once.
  std::size_t tolerated_losses = 1;
  // A member that has not answered for this long is not waited for alone.
  duration hedge_delay = 120ms;
  // A request to a member without a reply is given up after this time.
  duration ask_timeout = 1500ms;
  // Pause before members are asked again after all have failed.
  duration retry_pause = 100ms;
  // While too few members answer, they are asked for signs of life so often.
  duration probe_interval = 150ms;
};

// Told when enough members answer again, and when they stop doing so.
using quorum_handler = std::function<void(bool has_quorum)>;

// A turn to be reserved.
struct turn_begin {
  program_name program;
  turn_id turn;
  turn_id parent;
  std::uint32_t reserved_tokens = 0;
  std::optional<std::uint64_t> budget;
};

enum class begin_outcome : std::uint8_t {
  kGranted,
  kBudgetSpent,
  kUnknownTurn,
  // Not enough members could be asked in time.
  kUnavailable,
};

struct begin_result {
  begin_outcome outcome = begin_outcome::kUnavailable;
  // The turns before this one, the oldest first.
  std::vector<turn_fact> chain;
  std::uint64_t spent_by_others = 0;
  // Whether any member was asked, which may have reserved the turn.
  bool was_asked = false;
  // What the decision was based on, for the log.
  std::size_t answers = 0;
  view_number view = 0;
};

// One VM's access to the facts. All calls run on the context's thread.
class turn_client {
 public:
  turn_client(boost::asio::io_context& context,
              turn_client_options options,
              quorum_handler on_quorum_changed = nullptr,
              load_handler on_load = nullptr);

  // Takes a view into force unless an equal or newer one is.
  auto Adopt(const view& newest) -> void;

  [[nodiscard]] auto current() const -> const view& { return view_; }

  // False while too few members answer. Turns are not begun then, so that their
  // callers can go elsewhere at once.
  [[nodiscard]] auto HasQuorum() const -> bool { return has_quorum_; }

  // Tells other VMs, along with the next turns, what an endpoint has said of
  // its load.
  auto ReportLoad(const load_sample& sample) -> void;
  // The same of a request that it failed.
  auto ReportFailure(const endpoint_id& id) -> void;

  // Reserves a turn and reads its chain.
  auto Begin(turn_begin request, duration patience)
      -> boost::asio::awaitable<begin_result>;

  // Puts a fact on enough disks. Returns false when that failed in time.
  auto Record(turn_fact fact, duration patience)
      -> boost::asio::awaitable<bool>;

  // Tells what a turn without content has spent, without waiting.
  auto Settle(turn_fact fact) -> void;

 private:
  class round;

  [[nodiscard]] auto MembersByDistance() const -> std::vector<member>;
  auto ReadChain(chain_decision& chain, duration patience)
      -> boost::asio::awaitable<void>;
  auto Pause(duration length) -> boost::asio::awaitable<void>;
  // Waits until another round is worth it: at once when the view has changed. A
  // member may know that a view is stale before it knows the newer one.
  auto PauseAfter(const round& asks, view_number asked_view)
      -> boost::asio::awaitable<void>;
  auto SetHasQuorum(bool has_quorum) -> void;
  auto Probe() -> boost::asio::awaitable<void>;
  auto CountAnswering() -> boost::asio::awaitable<std::size_t>;
  auto SettleAndForget(turn_fact fact) -> boost::asio::awaitable<void>;

  boost::asio::io_context& context_;
  turn_client_options options_;
  quorum_handler on_quorum_changed_;
  bool has_quorum_ = true;
  std::chrono::steady_clock::time_point regained_at_{};
  view view_;
  member_clients clients_;
  load_exchange loads_;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_CLIENT_TURN_CLIENT_H_
