// Makes attempts on behalf of fronts that reach no endpoint.
#ifndef DAISYWIND_FRONT_RELAY_SERVICE_H_
#define DAISYWIND_FRONT_RELAY_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>

#include "dispatch/endpoint_table.h"
#include "front/endpoint_paths.h"
#include "front/platform_codecs.h"
#include "net/http_client.h"
#include "relay/relay_server.h"

namespace daisywind::front {

// Sends each request to the endpoint that its sender has chosen, once, and
// neither retries nor relays it further. All arguments must outlive it.
class relay_service {
 public:
  // `memory` is for frames under way and requests until their response has
  // begun.
  relay_service(boost::asio::io_context& context,
                const request_codec& requests,
                dispatch::endpoint_table& endpoints,
                endpoint_paths& paths,
                net::http_client& client,
                const std::shared_ptr<byte_budget>& memory);

  [[nodiscard]] auto server() -> relay::relay_server& { return server_; }

 private:
  auto Serve(std::shared_ptr<relay::relay_exchange> exchange)
      -> boost::asio::awaitable<void>;
  auto Forward(relay::relay_exchange& exchange)
      -> boost::asio::awaitable<relay::response_end>;

  const request_codec& requests_;
  dispatch::endpoint_table& endpoints_;
  endpoint_paths& paths_;
  net::http_client& client_;
  std::shared_ptr<byte_budget> memory_;
  relay::relay_server server_;
};

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_RELAY_SERVICE_H_
