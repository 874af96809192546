// Makes attempts at endpoints through another front.
#ifndef DAISYWIND_RELAY_RELAY_CLIENT_H_
#define DAISYWIND_RELAY_RELAY_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "net/frame_channel.h"
#include "net/http_client.h"
#include "relay/messages.h"

namespace daisywind::relay {

// Result of an attempt through a relay.
struct relay_result {
  net::http_stream_result response;
  // Whether the relay could not be reached or makes no attempts for now, so
  // that another one may serve.
  bool is_relay_unusable = false;
};

// Keeps one connection to each relay that was used.
class relay_client {
 public:
  struct state;

  explicit relay_client(boost::asio::io_context& context,
                        net::channel_options options = {});
  relay_client(const relay_client&) = delete;
  auto operator=(const relay_client&) -> relay_client& = delete;
  ~relay_client();

  // Sends a request to an endpoint through the relay at an address, "ip:port",
  // and returns when the head of the response has arrived. Of the options,
  // those for time-outs after the connection, for the size of the body and for
  // cancellation apply. The outcome is kNotSent only if the relay got no byte
  // of the request or says that the endpoint did not.
  auto Open(std::string address,
            attempt_request request,
            net::http_options options) -> boost::asio::awaitable<relay_result>;

  // Closes the connections to relays that are not in use.
  auto CloseIdle() -> void;

 private:
  std::shared_ptr<state> state_;
};

}  // namespace daisywind::relay

#endif  // DAISYWIND_RELAY_RELAY_CLIENT_H_
