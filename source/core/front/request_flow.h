// One caller's request from its arrival to its answer.
#ifndef DAISYWIND_FRONT_REQUEST_FLOW_H_
#define DAISYWIND_FRONT_REQUEST_FLOW_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "common/time.h"
#include "dispatch/placement.h"
#include "dispatch/retry_rules.h"
#include "dispatch/types.h"
#include "front/front_node.h"
#include "front/platform_codecs.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace daisywind::front {

// Serves one request. The exchange outlives the call.
auto ServeRequest(front_node& node, net::http_exchange& exchange)
    -> boost::asio::awaitable<void>;

// The state of one request under way. Kept by shared pointer, since timers and
// the caller's connection refer to it.
class request_flow : public std::enable_shared_from_this<request_flow> {
 public:
  request_flow(front_node& node,
               net::http_exchange& exchange,
               dispatch::call call,
               std::shared_ptr<const dispatch::route> on);

  auto Run() -> boost::asio::awaitable<void>;

 private:
  // What became of the request, for its log line.
  struct summary {
    unsigned status = 0;
    std::string_view outcome = "answered";
    std::optional<dispatch::placement_choice> choice;
    std::optional<duration> first_byte;
    bool is_reused = false;
  };

  // Watches the deadline and the caller's connection.
  auto Watch() -> void;
  auto RunPlain() -> boost::asio::awaitable<void>;
  auto RunTurn() -> boost::asio::awaitable<void>;

  // Sends the request until an endpoint answers, the rules forbid another
  // attempt, or the time is over. Refuses it in the last two cases.
  auto Dispatch(const std::string& body, dispatch::placement_request placement)
      -> boost::asio::awaitable<void>;
  auto Attempt(const std::string& body,
               const dispatch::placement_choice& choice)
      -> boost::asio::awaitable<std::optional<dispatch::attempt_result>>;
  auto TakeAnswer(net::http_stream_result& opened, const endpoint_id& endpoint)
      -> boost::asio::awaitable<std::optional<dispatch::attempt_result>>;
  auto PassWhole(net::http_stream_result& opened)
      -> boost::asio::awaitable<bool>;
  auto PassStream(net::http_stream_result& opened, const endpoint_id& endpoint)
      -> boost::asio::awaitable<void>;
  auto RecordTurn(const endpoint_id& endpoint) -> boost::asio::awaitable<bool>;
  auto SettleTurn() -> void;
  // What the journals keep of the turn, without its content.
  [[nodiscard]] auto Fact() const -> history::turn_fact;

  // An endpoint has failed an attempt, which other fronts are told as well.
  auto NoteFailure(const endpoint_id& endpoint, dispatch::health_signal sign)
      -> void;
  auto Refuse(refusal_reason reason, std::optional<duration> retry_after)
      -> boost::asio::awaitable<void>;
  auto GiveUp() -> boost::asio::awaitable<void>;
  [[nodiscard]] auto TimeLeft() const -> duration;
  [[nodiscard]] auto IsOver() const -> bool;
  [[nodiscard]] auto Urgency() const -> std::uint32_t;
  auto LogEnd() -> void;

  front_node& node_;
  net::http_exchange& exchange_;
  dispatch::call call_;
  std::shared_ptr<const dispatch::route> route_;
  dispatch::service_id service_;
  // The engine behind the service, if it is one of model replicas.
  std::optional<dispatch::engine_profile> engine_;
  instant began_;
  instant deadline_;
  boost::asio::steady_timer watchdog_;
  std::shared_ptr<net::http_cancellation> sending_;
  dispatch::attempt_history attempts_;
  summary summary_;
  // The turn's own state.
  bool is_turn_ = false;
  bool is_reserved_ = false;
  std::string output_;
  std::uint32_t events_ = 0;
  // How the request may end before its answer.
  bool is_caller_gone_ = false;
  bool is_timed_out_ = false;
};

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_REQUEST_FLOW_H_
