#include "history_client/turn_client.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <utility>

#include "common/endpoint_key.h"
#include "common/logging.h"
#include "common/process_clock.h"

namespace daisywind::history {
namespace {

namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

// Calls of the platform outlive a caller's patience by little.
constexpr auto kSettlePatience = duration(3s);

}  // namespace

// Asks members, the nearest first, until the owner has heard enough. Members
// that stay silent are joined by the next ones.
class turn_client::round : public std::enable_shared_from_this<round> {
 public:
  // Makes the request to the member of the given position.
  using request_maker =
      std::function<message_body(std::size_t position, const member& to)>;
  // Takes in a reply. Returns false when it does not count.
  using reply_taker =
      std::function<bool(const member& from, message_body& reply)>;
  using done_test = std::function<bool()>;

  round(turn_client& client,
        request_maker make,
        reply_taker take,
        done_test is_done)
      : client_(client),
        members_(client.MembersByDistance()),
        view_(client.view_.number),
        make_(std::move(make)),
        take_(std::move(take)),
        is_done_(std::move(is_done)),
        wake_(client.context_) {}

  // Returns when done, when all members have answered without that, when the
  // view is stale, or at the given time.
  auto Run(std::size_t needed, steady::time_point until)
      -> asio::awaitable<void> {
    while (!is_done_() && !is_stale_ && steady::now() < until) {
      while (waiting_ + counted_ < needed && next_ < members_.size()) {
        Ask();
      }
      if (waiting_ == 0 && next_ == members_.size()) {
        co_return;
      }
      if (waiting_ == 0) {
        Ask();
      }
      auto wait_until =
          std::min(until, steady::now() + client_.options_.hedge_delay);
      if (next_ == members_.size()) {
        wait_until = until;
      }
      const auto heard = heard_;
      wake_.expires_at(wait_until);
      co_await wake_.async_wait(asio::as_tuple(asio::use_awaitable));
      if (heard == heard_ && next_ < members_.size()) {
        Ask();
      }
    }
  }

  [[nodiscard]] auto IsStale() const -> bool { return is_stale_; }
  // Members whose reply has come, whatever it said.
  [[nodiscard]] auto replies() const -> std::size_t { return replies_; }
  [[nodiscard]] auto answers() const -> std::size_t { return heard_; }

 private:
  auto Ask() -> void {
    const auto position = next_++;
    const auto& to = members_[position];
    ++waiting_;
    client_.clients_.To(to.address)
        ->SendRequest(view_, make_(position, to), client_.options_.ask_timeout,
                      [self = shared_from_this(),
                       position](std::optional<message_body> reply) {
                        self->OnReply(position, std::move(reply));
                      });
  }

  auto OnReply(std::size_t position, std::optional<message_body> reply)
      -> void {
    --waiting_;
    ++heard_;
    if (reply) {
      ++replies_;
      if (const auto* newer = std::get_if<stale_view>(&*reply)) {
        client_.Adopt(newer->newest);
        is_stale_ = true;
      } else if (!is_over_ && take_(members_[position], *reply)) {
        ++counted_;
      }
    }
    wake_.cancel();
  }

 public:
  // Stops taking in replies: what they would be given to is gone.
  auto End() -> void { is_over_ = true; }

 private:
  turn_client& client_;
  std::vector<member> members_;
  view_number view_;
  request_maker make_;
  reply_taker take_;
  done_test is_done_;
  asio::steady_timer wake_;
  std::size_t next_ = 0;
  std::size_t waiting_ = 0;
  std::size_t counted_ = 0;
  std::size_t heard_ = 0;
  std::size_t replies_ = 0;
  bool is_stale_ = false;
  bool is_over_ = false;
};

turn_client::turn_client(asio::io_context& context,
                         turn_client_options options,
                         quorum_handler on_quorum_changed,
                         load_handler on_load)
    : context_(context),
      options_(std::move(options)),
      on_quorum_changed_(std::move(on_quorum_changed)),
      clients_(context),
      loads_(std::move(on_load)) {}

auto turn_client::ReportLoad(const load_sample& sample) -> void {
  loads_.Note(sample, Now());
}

auto turn_client::ReportFailure(const endpoint_id& id) -> void {
  loads_.ReportFailure(KeyOf(id), Now());
}

auto turn_client::SetHasQuorum(bool has_quorum) -> void {
  if (has_quorum == has_quorum_) {
    return;
  }
  has_quorum_ = has_quorum;
  if (has_quorum) {
    regained_at_ = steady::now();
  }
  Log(has_quorum ? log_events::kJournalQuorumRestored
                 : log_events::kJournalQuorumLost,
      {{"view", static_cast<std::int64_t>(view_.number)},
       {"members", static_cast<std::int64_t>(view_.members.size())}});
  if (on_quorum_changed_) {
    on_quorum_changed_(has_quorum);
  }
  if (!has_quorum) {
    asio::co_spawn(context_, Probe(), asio::detached);
  }
}

auto turn_client::Probe() -> asio::awaitable<void> {
  while (!has_quorum_) {
    co_await Pause(options_.probe_interval);
    const auto sizes = QuorumSizes(view_, options_.tolerated_losses);
    const auto answering = co_await CountAnswering();
    if (answering >= std::max(sizes.write, sizes.read)) {
      SetHasQuorum(true);
    }
  }
}

auto turn_client::CountAnswering() -> asio::awaitable<std::size_t> {
  const auto sizes = QuorumSizes(view_, options_.tolerated_losses);
  auto answering = std::size_t{0};
  const auto asks = std::make_shared<round>(
      *this,
      [&](std::size_t, const member&) -> message_body {
        return adopt_request{view_};
      },
      [&](const member&, message_body&) {
        ++answering;
        return true;
      },
      [&] { return answering >= sizes.write; });
  co_await asks->Run(view_.members.size(),
                     steady::now() + 2 * options_.hedge_delay);
  asks->End();
  co_return answering;
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

auto turn_client::MembersByDistance() const -> std::vector<member> {
  auto members = view_.members;
  const auto distance = [&](const member& to) {
    if (to.failure_domain == options_.failure_domain) {
      return 0;
    }
    return to.region == options_.region ? 1 : 2;
  };
  std::stable_sort(members.begin(), members.end(),
                   [&](const member& a, const member& b) {
                     return distance(a) < distance(b);
                   });
  // A member that has just failed is asked after those that have not.
  std::stable_partition(members.begin(), members.end(), [&](const member& of) {
    return !clients_.HasFailed(of.address);
  });
  return members;
}

auto turn_client::Pause(duration length) -> asio::awaitable<void> {
  auto timer = asio::steady_timer(context_, length);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto turn_client::PauseAfter(const round& asks, view_number asked_view)
    -> asio::awaitable<void> {
  if (!asks.IsStale() || view_.number == asked_view) {
    co_await Pause(options_.retry_pause);
  }
}

auto turn_client::Begin(turn_begin request, duration patience)
    -> asio::awaitable<begin_result> {
  const auto until = steady::now() + patience;
  auto result = begin_result{};
  result.view = view_.number;
  while (has_quorum_ && steady::now() < until) {
    const auto sizes = QuorumSizes(view_, options_.tolerated_losses);
    auto budget = budget_decision(request.turn, request.reserved_tokens,
                                  request.budget, sizes);
    auto chain = chain_decision(request.parent, sizes);
    const auto asks = std::make_shared<round>(
        *this,
        [&](std::size_t position, const member& to) -> message_body {
          auto body = begin_request{};
          body.program = request.program;
          body.turn = request.turn;
          body.parent = request.parent;
          body.reserved_tokens = request.reserved_tokens;
          body.wants_chain = position == 0;
          loads_.AddTo(body, to, position == 0, Now());
          return body;
        },
        [&](const member& from, message_body& reply) {
          auto* begun = std::get_if<begin_reply>(&reply);
          if (begun == nullptr) {
            return false;
          }
          loads_.Take(*begun, from, Now());
          budget.Add(from.vm, begun->is_complete, begun->spent);
          chain.Add(from.vm, begun->is_complete, std::move(begun->chain));
          return begun->is_complete;
        },
        [&] { return budget.state() != decision_state::kOpen; });
    result.was_asked = true;
    co_await asks->Run(std::max(sizes.write, sizes.read), until);
    asks->End();
    result.answers += asks->answers();
    result.view = view_.number;
    // Silence from before the last sign of life tells nothing.
    if (steady::now() >= until && asks->replies() < sizes.write &&
        until - patience > regained_at_) {
      SetHasQuorum(false);
    }
    result.spent_by_others = budget.SpentByOthers();
    if (budget.state() == decision_state::kNo) {
      result.outcome = begin_outcome::kBudgetSpent;
      co_return result;
    }
    if (budget.state() == decision_state::kYes) {
      co_await ReadChain(
          chain, std::chrono::duration_cast<duration>(until - steady::now()));
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
    co_await PauseAfter(*asks, result.view);
  }
  co_return result;
}

auto turn_client::ReadChain(chain_decision& chain, duration patience)
    -> asio::awaitable<void> {
  const auto until = steady::now() + patience;
  while (chain.state() == decision_state::kOpen && steady::now() < until) {
    const auto target = chain.target();
    const auto asks = std::make_shared<round>(
        *this,
        [&](std::size_t, const member&) -> message_body {
          return read_request{target};
        },
        [&](const member& from, message_body& reply) {
          auto* read = std::get_if<read_reply>(&reply);
          // Once another member has led further back, this one is asked again.
          if (read == nullptr || chain.target() != target) {
            return false;
          }
          chain.Add(from.vm, read->is_complete, std::move(read->chain));
          return true;
        },
        [&] {
          return chain.state() != decision_state::kOpen ||
                 chain.target() != target;
        });
    co_await asks->Run(1, until);
    asks->End();
    if (chain.state() == decision_state::kOpen && chain.target() == target) {
      co_await Pause(options_.retry_pause);
    }
  }
}

auto turn_client::Record(turn_fact fact, duration patience)
    -> asio::awaitable<bool> {
  const auto until = steady::now() + patience;
  while (steady::now() < until) {
    const auto sizes = QuorumSizes(view_, options_.tolerated_losses);
    const auto asked_view = view_.number;
    auto copies = std::size_t{0};
    const auto asks = std::make_shared<round>(
        *this,
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
    co_await asks->Run(sizes.write, until);
    asks->End();
    if (copies >= sizes.write && !view_.members.empty()) {
      co_return true;
    }
    co_await PauseAfter(*asks, asked_view);
  }
  co_return false;
}

auto turn_client::Settle(turn_fact fact) -> void {
  asio::co_spawn(context_, SettleAndForget(std::move(fact)), asio::detached);
}

auto turn_client::SettleAndForget(turn_fact fact) -> asio::awaitable<void> {
  const auto turn = fact.turn.value;
  if (!co_await Record(std::move(fact), kSettlePatience)) {
    // The reservation stays, which refuses too much rather than too little.
    Log(log_events::kTurnNotRecorded,
        {{"request", std::string_view(turn)}, {"what", "settlement"}});
  }
}

}  // namespace daisywind::history
