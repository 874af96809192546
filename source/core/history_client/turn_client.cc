#include "history_client/turn_client.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <utility>

#include "common/digest.h"
#include "common/endpoint_key.h"
#include "common/logging.h"
#include "common/process_clock.h"
#include "common/vm_location.h"
#include "net/message_limits.h"

namespace daisywind::history {
namespace {

namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

// How long a settlement is retried. Requests on the platform last only a little
// longer than their caller's timeout.
constexpr auto kSettlementTimeout = duration(3s);
// Maximum size of the part of a chain in one reply. Longer chains are read in
// several parts.
constexpr auto kMaxChainBytes = std::uint64_t{4} * 1024 * 1024;

}  // namespace

// One round of hedged requests to the members, nearest first. It ends when the
// completion condition holds. When replies are late, further members are sent
// the request as well.
class turn_client::round : public std::enable_shared_from_this<round> {
 public:
  // Builds the request for a member. The position counts members in the order
  // in which they are sent the request.
  using request_factory =
      std::function<message_body(std::size_t position, const member& to)>;
  // Processes a reply. Returns whether it counts towards the needed replies.
  using reply_acceptor =
      std::function<bool(const member& from, message_body& reply)>;
  using done_predicate = std::function<bool()>;

  // The requests of different programs go to different members where several
  // are as near.
  round(turn_client& client,
        const program_name& program,
        request_factory make_request,
        reply_acceptor accept_reply,
        done_predicate is_done)
      : client_(client),
        members_(client.MembersByDistance(program)),
        view_(client.view_.number),
        make_request_(std::move(make_request)),
        accept_reply_(std::move(accept_reply)),
        is_done_(std::move(is_done)),
        wake_(client.context_) {}

  // Returns when the completion condition holds, when all members have replied
  // or timed out, when the view is stale, or at the deadline. Keeps requests to
  // `needed` members in flight or accepted, as long as there are so many.
  auto Run(std::size_t needed, steady::time_point deadline)
      -> asio::awaitable<void> {
    while (!is_done_() && !is_stale_ && steady::now() < deadline) {
      while (in_flight_ + accepted_ < needed &&
             next_member_ < members_.size()) {
        SendNext();
      }
      if (in_flight_ == 0 && next_member_ == members_.size()) {
        co_return;
      }
      if (in_flight_ == 0) {
        SendNext();
      }
      auto wait_until =
          std::min(deadline, steady::now() + client_.options_.hedge_delay);
      if (next_member_ == members_.size()) {
        wait_until = deadline;
      }
      const auto completed_before = completed_;
      wake_.expires_at(wait_until);
      co_await wake_.async_wait(asio::as_tuple(asio::use_awaitable));
      if (completed_before == completed_ && next_member_ < members_.size()) {
        SendNext();
      }
    }
  }

  [[nodiscard]] auto IsStale() const -> bool { return is_stale_; }
  // Number of members that replied, whether the reply was accepted or not.
  [[nodiscard]] auto replies() const -> std::size_t { return replies_; }
  // Number of requests that ended, with a reply or without.
  [[nodiscard]] auto completed() const -> std::size_t { return completed_; }

 private:
  auto SendNext() -> void {
    const auto position = next_member_++;
    const auto& to = members_[position];
    ++in_flight_;
    client_.clients_.ClientFor(to.address)
        ->SendRequest(view_, make_request_(position, to),
                      client_.options_.request_timeout,
                      [self = shared_from_this(),
                       position](std::optional<message_body> reply) {
                        self->OnReply(position, std::move(reply));
                      });
  }

  auto OnReply(std::size_t position, std::optional<message_body> reply)
      -> void {
    --in_flight_;
    ++completed_;
    if (reply) {
      ++replies_;
      if (const auto* newer = std::get_if<stale_view>(&*reply)) {
        client_.Adopt(newer->newest);
        // A member that knows no newer view yet only fails this request.
        is_stale_ = is_stale_ || newer->newest.number > view_;
      } else if (!ignores_replies_ &&
                 accept_reply_(members_[position], *reply)) {
        ++accepted_;
      }
    }
    wake_.cancel();
  }

 public:
  // Ignores later replies: the objects that the callbacks refer to go out of
  // scope in the caller.
  auto IgnoreReplies() -> void { ignores_replies_ = true; }

 private:
  turn_client& client_;
  std::vector<member> members_;
  view_number view_;
  request_factory make_request_;
  reply_acceptor accept_reply_;
  done_predicate is_done_;
  asio::steady_timer wake_;
  std::size_t next_member_ = 0;
  std::size_t in_flight_ = 0;
  std::size_t accepted_ = 0;
  std::size_t completed_ = 0;
  std::size_t replies_ = 0;
  bool is_stale_ = false;
  bool ignores_replies_ = false;
};

turn_client::turn_client(asio::io_context& context,
                         turn_client_options options,
                         quorum_handler on_quorum_changed,
                         load_handler on_load)
    : context_(context),
      options_(std::move(options)),
      on_quorum_changed_(std::move(on_quorum_changed)),
      clients_(context),
      load_exchange_(std::move(on_load)) {}

auto turn_client::ReportLoad(const load_sample& sample) -> void {
  load_exchange_.AddSample(sample, Now());
}

auto turn_client::ReportFailure(const endpoint_id& id) -> void {
  load_exchange_.ReportFailure(KeyOf(id), Now());
}

auto turn_client::SuspectQuorumLoss(duration length) -> void {
  if (steady::now() - length > quorum_restored_at_) {
    SetHasQuorum(false);
  }
}

auto turn_client::SetHasQuorum(bool has_quorum) -> void {
  if (has_quorum == has_quorum_) {
    return;
  }
  has_quorum_ = has_quorum;
  if (has_quorum) {
    quorum_restored_at_ = steady::now();
  }
  Log(has_quorum ? log_events::kJournalQuorumRestored
                 : log_events::kJournalQuorumLost,
      {{"view", static_cast<std::int64_t>(view_.number)},
       {"members", static_cast<std::int64_t>(view_.members.size())}});
  if (on_quorum_changed_) {
    on_quorum_changed_(has_quorum);
  }
  if (!has_quorum) {
    asio::co_spawn(context_, ProbeUntilQuorum(), asio::detached);
  }
}

auto turn_client::ProbeUntilQuorum() -> asio::awaitable<void> {
  while (!has_quorum_) {
    co_await Pause(options_.probe_interval);
    const auto sizes = QuorumSizes(view_, options_.tolerated_losses);
    const auto reachable = co_await CountReachableMembers();
    if (reachable >= std::max(sizes.write, sizes.read)) {
      SetHasQuorum(true);
    }
  }
}

auto turn_client::CountReachableMembers() -> asio::awaitable<std::size_t> {
  const auto sizes = QuorumSizes(view_, options_.tolerated_losses);
  auto reachable = std::size_t{0};
  const auto request_round = std::make_shared<round>(
      *this, program_name(),
      [&](std::size_t, const member&) -> message_body {
        return adopt_request{view_};
      },
      [&](const member&, message_body&) {
        ++reachable;
        return true;
      },
      [&] { return reachable >= sizes.write; });
  co_await request_round->Run(view_.members.size(),
                              steady::now() + 2 * options_.hedge_delay);
  request_round->IgnoreReplies();
  co_return reachable;
}

auto turn_client::Adopt(const view& newest) -> void {
  if (newest.number <= view_.number) {
    return;
  }
  view_ = newest;
  clients_.CloseNonMembers(view_);
  Log(log_events::kViewInForce,
      {{"view", static_cast<std::int64_t>(view_.number)},
       {"members", static_cast<std::int64_t>(view_.members.size())}});
}

auto turn_client::MembersNearestTo(const vm_id& self) const
    -> std::vector<member> {
  auto members = view_.members;
  const auto order = [&](const member& to) {
    return std::pair(Distance(to, options_),
                     PlacementHash(self.value + to.vm.value));
  };
  std::sort(
      members.begin(), members.end(),
      [&](const member& a, const member& b) { return order(a) < order(b); });
  return members;
}

auto turn_client::MembersByDistance(const program_name& program) const
    -> std::vector<member> {
  auto members = view_.members;
  const auto distance = [&](const member& to) {
    return Distance(to, options_);
  };
  std::stable_sort(members.begin(), members.end(),
                   [&](const member& a, const member& b) {
                     return distance(a) < distance(b);
                   });
  // The nearest one stays the first for every program, as the exchange of loads
  // goes on with it.
  const auto order = [&](const member& to) {
    return std::pair(distance(to), PlacementHash(program.value + to.vm.value));
  };
  if (!members.empty()) {
    std::sort(
        members.begin() + 1, members.end(),
        [&](const member& a, const member& b) { return order(a) < order(b); });
  }
  // Members that have failed since their last reply come after the others.
  std::stable_partition(members.begin(), members.end(), [&](const member& of) {
    return !clients_.HasFailed(of.address);
  });
  return members;
}

auto turn_client::Pause(duration length) -> asio::awaitable<void> {
  auto timer = asio::steady_timer(context_, length);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto turn_client::PauseBeforeRetry(const round& request_round,
                                   view_number view_before)
    -> asio::awaitable<void> {
  if (!request_round.IsStale() || view_.number == view_before) {
    co_await Pause(options_.retry_pause);
  }
}

auto turn_client::Begin(turn_begin request, duration timeout)
    -> asio::awaitable<begin_result> {
  const auto deadline = steady::now() + timeout;
  auto result = begin_result{};
  result.view = view_.number;
  while (has_quorum_ && steady::now() < deadline) {
    const auto asked_view = view_.number;
    const auto sizes = QuorumSizes(view_, options_.tolerated_losses);
    auto budget = budget_decision(request.turn, request.reserved_tokens,
                                  request.budget, sizes);
    auto chain = chain_decision(request.parent, sizes);
    const auto needed = std::max(sizes.write, sizes.read);
    // Members that can't take a reservation now, and said so.
    auto refusals = std::size_t{0};
    const auto is_refused = [&] {
      return refusals + needed > std::max(view_.members.size(), needed);
    };
    const auto request_round = std::make_shared<round>(
        *this, request.program,
        [&](std::size_t position, const member& to) -> message_body {
          auto body = begin_request{};
          body.program = request.program;
          body.turn = request.turn;
          body.parent = request.parent;
          body.reserved_tokens = request.reserved_tokens;
          body.retention_ms = request.retention_ms;
          body.wants_chain = position == 0;
          body.max_chain_bytes = kMaxChainBytes;
          load_exchange_.AttachLoads(body, to, position == 0, Now());
          return body;
        },
        [&](const member& from, message_body& reply) {
          auto* begun = std::get_if<begin_reply>(&reply);
          if (begun == nullptr) {
            refusals += std::holds_alternative<record_reply>(reply) ? 1 : 0;
            return false;
          }
          load_exchange_.ProcessReply(*begun, from, Now());
          budget.Add(from.vm, begun->is_complete, begun->spent);
          chain.Add(from.vm, begun->is_complete, std::move(begun->chain));
          return begun->is_complete;
        },
        [&] {
          return budget.state() != decision_state::kOpen || is_refused();
        });
    result.was_sent = true;
    co_await request_round->Run(needed, deadline);
    request_round->IgnoreReplies();
    result.answers += request_round->completed();
    result.view = view_.number;
    // Timeouts of a call that began before the quorum was last restored are no
    // evidence that it is lost again.
    if (steady::now() >= deadline && request_round->replies() < sizes.write &&
        deadline - timeout > quorum_restored_at_) {
      SetHasQuorum(false);
    }
    result.spent_by_others = budget.SpentByOthers();
    if (budget.state() == decision_state::kNo) {
      result.outcome = begin_outcome::kBudgetSpent;
      co_return result;
    }
    if (budget.state() == decision_state::kYes) {
      co_await ReadChain(
          chain, asked_view, request.program,
          std::chrono::duration_cast<duration>(deadline - steady::now()));
      if (chain.state() == decision_state::kNo) {
        result.outcome = begin_outcome::kUnknownTurn;
        co_return result;
      }
      if (chain.state() == decision_state::kYes) {
        result.outcome = begin_outcome::kGranted;
        result.chain = chain.turns();
        co_return result;
      }
    }
    if (is_refused() || chain.bytes() > options_.max_chain_bytes) {
      co_return result;
    }
    co_await PauseBeforeRetry(*request_round, result.view);
  }
  co_return result;
}

auto turn_client::ReadChain(chain_decision& chain,
                            view_number answered_view,
                            const program_name& program,
                            duration timeout) -> asio::awaitable<void> {
  const auto deadline = steady::now() + timeout;
  while (chain.state() == decision_state::kOpen && steady::now() < deadline) {
    if (chain.bytes() > options_.max_chain_bytes) {
      net::ReportOversized("journal", "chain of turns too large");
      co_return;
    }
    if (view_.number != answered_view) {
      answered_view = view_.number;
      chain.ChangeView(QuorumSizes(view_, options_.tolerated_losses));
    }
    const auto target = chain.next_wanted();
    const auto request_round = std::make_shared<round>(
        *this, program,
        [&](std::size_t, const member&) -> message_body {
          return read_request{target, kMaxChainBytes};
        },
        [&](const member& from, message_body& reply) {
          auto* read = std::get_if<read_reply>(&reply);
          // Another member has extended the chain meanwhile, so this reply no
          // longer starts at the target. The next round reads from the new one.
          if (read == nullptr || chain.next_wanted() != target) {
            return false;
          }
          chain.Add(from.vm, read->is_complete, std::move(read->chain));
          return true;
        },
        [&] {
          return chain.state() != decision_state::kOpen ||
                 chain.next_wanted() != target;
        });
    co_await request_round->Run(1, deadline);
    request_round->IgnoreReplies();
    if (chain.state() == decision_state::kOpen &&
        chain.next_wanted() == target) {
      co_await Pause(options_.retry_pause);
    }
  }
}

auto turn_client::Record(turn_fact fact, duration timeout)
    -> asio::awaitable<bool> {
  const auto deadline = steady::now() + timeout;
  while (steady::now() < deadline) {
    const auto sizes = QuorumSizes(view_, options_.tolerated_losses);
    const auto view_before = view_.number;
    auto copies = std::size_t{0};
    const auto request_round = std::make_shared<round>(
        *this, fact.program,
        [&](std::size_t, const member&) -> message_body {
          return record_request{{fact}};
        },
        [&](const member&, message_body& reply) {
          const auto* recorded = std::get_if<record_reply>(&reply);
          if (recorded == nullptr || !recorded->is_durable) {
            return false;
          }
          ++copies;
          return true;
        },
        [&] { return copies >= sizes.write && !view_.members.empty(); });
    co_await request_round->Run(sizes.write, deadline);
    request_round->IgnoreReplies();
    if (copies >= sizes.write && !view_.members.empty()) {
      co_return true;
    }
    co_await PauseBeforeRetry(*request_round, view_before);
  }
  co_return false;
}

auto turn_client::Settle(turn_fact fact) -> void {
  asio::co_spawn(context_, RecordSettlement(std::move(fact)), asio::detached);
}

auto turn_client::RecordSettlement(turn_fact fact) -> asio::awaitable<void> {
  const auto turn = fact.turn.value;
  if (!co_await Record(std::move(fact), kSettlementTimeout)) {
    // The reservation stays counted in full, which refuses too many turns
    // rather than too few.
    Log(log_events::kTurnNotRecorded,
        {{"request", std::string_view(turn)}, {"what", "settlement"}});
  }
}

}  // namespace daisywind::history
