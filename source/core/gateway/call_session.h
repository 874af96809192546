// Serves one caller's request until its last reply.
#ifndef DAISYWIND_GATEWAY_CALL_SESSION_H_
#define DAISYWIND_GATEWAY_CALL_SESSION_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/reply_queue.h"
#include "net/http_server.h"
#include "program/events.h"

namespace daisywind::gateway {

// The properties of a call that its response depends on.
struct call_summary {
  program::call_kind kind = program::call_kind::kChat;
  bool is_stream = false;
  // Model or adapter, as named by the caller.
  std::string model;
};

// Waits for the replies to a request and writes them to the caller. Submits
// caller_disconnected if the caller closes the connection first.
class call_session {
 public:
  call_session(net::http_exchange& exchange,
               reply_table& replies,
               std::function<void(program::event)> submit);
  call_session(const call_session&) = delete;
  auto operator=(const call_session&) -> call_session& = delete;
  ~call_session();

  // The identifier to which the replies are addressed.
  [[nodiscard]] auto request() const -> program::request_id { return request_; }

  // Serves a call until its last reply. Returns the name of the outcome.
  auto ServeCall(call_summary call) -> boost::asio::awaitable<std::string_view>;

  // Serves a request whose response is the state of a program. The status is
  // that of a successful response.
  auto ServeControl(unsigned status) -> boost::asio::awaitable<void>;

 private:
  auto NextReply() -> boost::asio::awaitable<std::optional<reply_item>>;
  auto StartStream(const program::program_handle& handle)
      -> boost::asio::awaitable<bool>;
  auto WritePart(const call_summary& call, const program::reply_part& part)
      -> boost::asio::awaitable<bool>;
  auto WriteEnd(const call_summary& call, const program::reply_end& end)
      -> boost::asio::awaitable<void>;
  auto WriteProblem(const program::reply_problem& problem_reply)
      -> boost::asio::awaitable<void>;

  net::http_exchange& exchange_;
  reply_table& replies_;
  std::function<void(program::event)> submit_;
  program::request_id request_ = 0;
  std::shared_ptr<reply_queue> queue_;
  bool is_streaming_ = false;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_CALL_SESSION_H_
