// Processing of one caller's request, from its arrival to its response.
#ifndef DAISYWIND_FRONT_REQUEST_FLOW_H_
#define DAISYWIND_FRONT_REQUEST_FLOW_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/byte_budget.h"
#include "common/time.h"
#include "dispatch/admission.h"
#include "dispatch/engine_memory.h"
#include "dispatch/placement.h"
#include "dispatch/retry_rules.h"
#include "dispatch/stream_progress.h"
#include "dispatch/types.h"
#include "front/front_node.h"
#include "front/platform_codecs.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/sse.h"

namespace daisywind::front {

// Serves one request. The exchange must outlive the returned awaitable.
auto ServeRequest(front_node& node, net::http_exchange& exchange)
    -> boost::asio::awaitable<void>;

// The state of one request in flight. Held by shared pointer, because the
// deadline timer and the caller's connection refer to it.
class request_flow : public std::enable_shared_from_this<request_flow> {
 public:
  request_flow(front_node& node,
               net::http_exchange& exchange,
               dispatch::call call,
               std::shared_ptr<const dispatch::route> matched_route,
               std::shared_ptr<const dispatch::organisation> caller);
  request_flow(const request_flow&) = delete;
  auto operator=(const request_flow&) -> request_flow& = delete;
  ~request_flow();

  auto Run() -> boost::asio::awaitable<void>;

  // Ends the request as if its deadline had passed.
  auto EndNow() -> void;

 private:
  // How the request ended, for its log event.
  struct summary {
    unsigned status = 0;
    std::string_view outcome = "answered";
    std::optional<dispatch::placement_choice> choice;
    // The front that made the last attempt for this one, if any.
    vm_id relay;
    std::optional<duration> first_byte;
    // Framing of the endpoint's response.
    std::optional<net::body_framing> framing;
    // Bytes after the last complete event of a stream.
    std::size_t partial_event_bytes = 0;
    bool is_reused = false;
  };

  // Cancels the attempt in flight when the deadline passes or the caller
  // disconnects.
  auto WatchForCancellation() -> void;
  // Whether admission control lets the request in, if it starts a program.
  // Refuses it otherwise.
  auto AdmitProgram() -> boost::asio::awaitable<bool>;
  // Whether the request may end in time at the chosen endpoint. Refuses it
  // otherwise.
  auto AdmitAttempt(const dispatch::placement_choice& choice)
      -> boost::asio::awaitable<bool>;
  // Refuses a request by a decision of admission control.
  auto RefuseAdmission(const dispatch::admission_result& result)
      -> boost::asio::awaitable<void>;
  // Lets a retry of a refused request start the program again.
  auto ForgetStart() -> void;
  // Tells admission control how long the request took.
  auto RecordDuration() -> void;
  // A time until the caller's retry, drawn from an interval. Nothing if the
  // caller has no time for one.
  [[nodiscard]] auto SpreadRetry(duration earliest, duration latest) const
      -> std::optional<duration>;
  // Ends what the request waits for.
  auto Cancel() -> void;
  // Takes the request from its organisation's limit. Returns false when the
  // request was refused.
  auto AcquireQuota() -> boost::asio::awaitable<bool>;
  // Takes one credit. Returns false when there is none, after refusing the
  // request.
  auto AcquireCredit(organisation_id account, history::request_limit limit)
      -> boost::asio::awaitable<bool>;
  // Gives back the credits of a request that was not sent to any endpoint.
  auto ReturnCredits() -> void;
  auto RunPlain() -> boost::asio::awaitable<void>;
  auto RunTurn() -> boost::asio::awaitable<void>;
  // Joins the turns of a chain and the request's body. Returns false when the
  // memory for requests does not suffice.
  auto MakeBody(const std::vector<history::turn_fact>& chain, std::string& body)
      -> bool;
  // Why the caller's API key does not allow an attempt now; nothing when it
  // does. A key may be withdrawn while its request waits.
  [[nodiscard]] auto KeyRefusal() const -> std::optional<refusal_reason>;
  // The caller's organisation; empty without one.
  [[nodiscard]] auto Owner() const -> organisation_id;
  // The caller's organisation for an endpoint.
  [[nodiscard]] auto CallerIdentity() const -> std::optional<organisation_id>;
  // The program's name at the journals. Organisations choose the names of their
  // programs independently.
  [[nodiscard]] auto ProgramName() const -> history::program_name;
  // Whether the caller may continue a turn. A turn that an earlier version
  // stored belongs to no organisation.
  [[nodiscard]] auto MayContinue(const history::turn_fact& turn) const -> bool;
  // Whether the request reserves tokens at the journals: a turn of a route that
  // stores turns, or any stream that counts against a budget.
  [[nodiscard]] auto IsTurn() const -> bool;

  // Sends the request to endpoints until one of them answers, the retry rules
  // forbid another attempt, or the deadline passes. Refuses the request in the
  // last two cases.
  auto Dispatch(const std::string& body, dispatch::placement_request placement)
      -> boost::asio::awaitable<void>;
  // Continues without an endpoint: returns true when one may be found now, and
  // false after ending the request. `is_next` is false when requests that wait
  // for memory go before this one.
  auto HandleUnplaced(dispatch::placement_request& placement, bool is_next)
      -> boost::asio::awaitable<bool>;
  // Sends the request to one endpoint. Returns nothing when the request is
  // over: its response was forwarded, or its stream was aborted.
  auto Attempt(const std::string& body,
               const dispatch::placement_choice& choice,
               const attempt_path& path)
      -> boost::asio::awaitable<std::optional<dispatch::attempt_result>>;
  // Sends it from this VM, or through a relay.
  auto SendDirectly(const dispatch::placement_choice& choice,
                    const attempt_path& path,
                    net::http_request request,
                    net::http_options options)
      -> boost::asio::awaitable<net::http_stream_result>;
  auto SendThroughRelay(const dispatch::placement_choice& choice,
                        const history::sender_state& relay,
                        net::http_request request,
                        net::http_options options)
      -> boost::asio::awaitable<net::http_stream_result>;
  // Chooses how to reach an endpoint that was placed for the given relay, or
  // for this VM. Returns nothing when no path leads to it.
  auto ChoosePath(const dispatch::placement_choice& choice,
                  std::optional<history::sender_state> relay)
      -> std::optional<attempt_path>;
  // `entry` is that of the endpoint when the request was sent.
  auto HandleResponse(net::http_stream_result& opened,
                      const dispatch::endpoint& entry)
      -> boost::asio::awaitable<std::optional<dispatch::attempt_result>>;
  // Reads the whole response before it is forwarded. Returns false when it is
  // incomplete or its status must not be forwarded.
  auto ForwardBuffered(net::http_stream_result& opened)
      -> boost::asio::awaitable<bool>;
  // Forwards a stream as it arrives. Returns nothing when the response is over,
  // and how the attempt ended when another endpoint may continue it.
  auto ForwardStream(net::http_stream_result& opened,
                     const endpoint_id& endpoint)
      -> boost::asio::awaitable<std::optional<dispatch::attempt_result>>;
  // Records what complete events say. Drops the first event that does not
  // continue the stream and all after it, and returns whether there was none.
  auto ProcessEvents(std::vector<net::sse_part>& parts) -> bool;
  // Records how far a stream that may be resumed has come with an event.
  // Returns false if the event does not continue it.
  auto FollowEvent(const net::sse_part& event) -> bool;
  // Starts the caller's response with the head of the first endpoint's, unless
  // it has been started.
  auto StartResponse(const net::http_response& head) -> void;
  // Sends bytes of the stream, with the head before the first ones. Returns
  // false when the caller has disconnected.
  auto WriteToCaller(const net::http_response& head, std::string_view bytes)
      -> boost::asio::awaitable<bool>;
  // Ends a stream whose endpoint has completed it.
  auto CompleteStream(const net::http_response& head,
                      const endpoint_id& endpoint)
      -> boost::asio::awaitable<void>;
  // Cuts a response off so that it does not look complete.
  auto BreakOff() -> void;
  // Takes memory for the next part of a response that is held until its end.
  // Returns false when the memory for such parts is used up.
  auto HoldBytes(std::size_t bytes) -> bool;
  // Records the finished turn at the journals, or only what it has spent if the
  // route stores no turns. Returns false when too few of them stored it in
  // time.
  auto RecordTurn(const endpoint_id& endpoint) -> boost::asio::awaitable<bool>;
  // Reports what a turn without a recorded response has spent, without waiting.
  auto SettleTurn() -> void;
  // Where the request may be placed, without its chain.
  [[nodiscard]] auto MakePlacement() -> dispatch::placement_request;
  // The turn's fact for the journals, without its content. Its settled tokens
  // are those generated so far, computed from the number of stream events.
  [[nodiscard]] auto MakeTurnFact() const -> history::turn_fact;
  // How long the journals are to keep the turn after its reservation.
  [[nodiscard]] auto RetentionMs() const -> std::uint32_t;

  // Records that an endpoint failed an attempt, and reports it to other fronts.
  auto RecordFailure(const endpoint_id& endpoint,
                     dispatch::health_signal signal) -> void;
  // Sends an error response, or breaks the response off if it has begun.
  auto Refuse(refusal_reason reason, std::optional<duration> retry_after)
      -> boost::asio::awaitable<void>;
  // Ends a request for which no endpoint can be chosen.
  auto RefuseUnplaced() -> boost::asio::awaitable<void>;
  // Whether no request that waits for memory goes before this one.
  [[nodiscard]] auto IsNextForMemory() const -> bool;
  // Waits until memory may be free. Returns false when the request may not wait
  // or has waited for as long as it may.
  auto WaitForMemory() -> boost::asio::awaitable<bool>;
  auto StopWaiting() -> void;
  // Refuses a request that no engine has memory for.
  auto RefuseForMemory(std::optional<dispatch::memory_shortage> shortage)
      -> boost::asio::awaitable<void>;
  // Ends a request that is over before an endpoint has answered it.
  auto GiveUp() -> boost::asio::awaitable<void>;
  [[nodiscard]] auto TimeLeft() const -> duration;
  // Whether the caller has disconnected or the deadline has passed.
  [[nodiscard]] auto IsOver() const -> bool;
  [[nodiscard]] auto Urgency() const -> std::uint32_t;
  auto LogEnd() -> void;

  front_node& node_;
  net::http_exchange& exchange_;
  dispatch::call call_;
  std::shared_ptr<const dispatch::route> route_;
  // The organisation that owns the caller's API key; null without one.
  std::shared_ptr<const dispatch::organisation> organisation_;
  // Version of the configuration that selected the route.
  version_number version_ = 0;
  dispatch::service_id service_;
  // Set when the endpoints of the service are model replicas.
  std::optional<dispatch::engine_profile> engine_;
  // What the request takes of an engine's memory; zero without engines.
  std::uint64_t tokens_ = 0;
  instant started_at_;
  // Time since the store's last answer when the request arrived.
  std::optional<duration> store_age_;
  instant deadline_;
  boost::asio::steady_timer deadline_timer_;
  std::shared_ptr<net::http_cancellation> cancellation_;
  dispatch::attempt_history attempts_;
  // Endpoints that have refused the request. Such a refusal may come once more
  // on its connection, as if it were that of the next attempt.
  std::set<endpoint_id> refused_by_;
  // Relays that could not be reached or reached no endpoint.
  std::set<vm_id> unusable_relays_;
  summary summary_;
  // Whether a journal may hold a reservation of this turn, which has to be
  // settled unless the turn is recorded.
  bool needs_settling_ = false;
  // What was streamed so far. `output_` is kept for stored turns only.
  std::string output_;
  std::uint32_t events_ = 0;
  dispatch::stream_progress progress_;
  // Size of the parts of the response that are held until its end.
  std::size_t held_bytes_ = 0;
  // The body with its chain, which is sent to endpoints.
  byte_share body_memory_;
  // Its place among the requests that wait for memory, and how long it may.
  std::optional<dispatch::waiting_order> waiting_position_;
  instant waits_until_{};
  // What was taken from the organisation's limits, by account.
  std::vector<std::pair<organisation_id, history::quota_credit>> credits_;
  // Whether the request is the first of its program.
  bool is_program_start_ = false;
  // Why the request may be over before its response is.
  bool is_caller_disconnected_ = false;
  bool is_timed_out_ = false;
};

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_REQUEST_FLOW_H_
