// Requests to one VM that holds facts.
#ifndef DAISYWIND_HISTORY_CLIENT_MEMBER_CLIENT_H_
#define DAISYWIND_HISTORY_CLIENT_MEMBER_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "common/time.h"
#include "history/messages.h"
#include "net/http_types.h"

namespace daisywind::history {

// Nothing stands for no reply: the request may have been carried out.
using reply_handler = std::function<void(std::optional<message_body> reply)>;

// Keeps one connection and connects again when need be.
class member_client {
 public:
  struct state;

  member_client(boost::asio::io_context& context, net::socket_address address);
  member_client(const member_client&) = delete;
  auto operator=(const member_client&) -> member_client& = delete;
  ~member_client();

  // Sends a request. The handler is called once, never from within Ask.
  auto Ask(view_number view,
           message_body body,
           duration timeout,
           reply_handler handler) -> void;

  // Sends a request and waits for its reply.
  auto AskAndWait(view_number view, message_body body, duration timeout)
      -> boost::asio::awaitable<std::optional<message_body>>;

  [[nodiscard]] auto address() const -> const net::socket_address&;

  // Failures since the last reply.
  [[nodiscard]] auto failures() const -> std::uint32_t;

 private:
  std::shared_ptr<state> state_;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_CLIENT_MEMBER_CLIENT_H_
