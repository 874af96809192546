// The HTTP interface for callers.
#ifndef DAISYWIND_GATEWAY_CALLER_API_H_
#define DAISYWIND_GATEWAY_CALLER_API_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "common/metrics.h"
#include "configuration/document.h"
#include "gateway/bearer_keys.h"
#include "gateway/call_reader.h"
#include "gateway/reply_queue.h"
#include "net/http_server.h"
#include "program/events.h"

namespace daisywind::gateway {

// Callbacks that the caller interface needs from the rest of the process.
struct caller_api_hooks {
  // Submits an event to the program system.
  std::function<void(program::event)> submit;
  // The installed configuration; null when there is none yet.
  std::function<std::shared_ptr<const configuration::document>()> document;
  // Whether the load balancer should send calls to this VM.
  std::function<bool()> is_ready;
};

// Authenticates callers, routes their requests to the program system and writes
// its replies.
class caller_api {
 public:
  caller_api(caller_api_hooks hooks,
             reply_table& replies,
             organisation_keys& keys,
             metrics& metrics_registry);

  auto Handle(net::http_exchange& exchange) -> boost::asio::awaitable<void>;

 private:
  using exchange_ref = net::http_exchange&;
  using handler = boost::asio::awaitable<void> (
      caller_api::*)(exchange_ref, const caller_context&);
  struct route {
    std::string method;
    std::string path;
    bool is_prefix = false;
    handler handle = nullptr;
  };

  static auto Routes() -> const std::vector<route>&;
  static auto FindRoute(const net::http_request& request) -> const route*;

  auto Open(exchange_ref exchange, const caller_context& caller)
      -> boost::asio::awaitable<void>;
  auto Chat(exchange_ref exchange, const caller_context& caller)
      -> boost::asio::awaitable<void>;
  auto CallService(exchange_ref exchange, const caller_context& caller)
      -> boost::asio::awaitable<void>;
  auto QueryProgram(exchange_ref exchange, const caller_context& caller)
      -> boost::asio::awaitable<void>;
  auto End(exchange_ref exchange, const caller_context& caller)
      -> boost::asio::awaitable<void>;
  auto StartBranch(exchange_ref exchange, const caller_context& caller)
      -> boost::asio::awaitable<void>;
  auto JoinBranch(exchange_ref exchange, const caller_context& caller)
      -> boost::asio::awaitable<void>;

  auto RunCall(exchange_ref exchange, program::call_arrived arrived)
      -> boost::asio::awaitable<void>;
  // Runs an action on a program other than a call. Responds with
  // `success_status` when it succeeds.
  auto RunControl(exchange_ref exchange,
                  const caller_context& caller,
                  program::control_action action,
                  unsigned success_status) -> boost::asio::awaitable<void>;
  auto Refuse(exchange_ref exchange, const problem& refusal)
      -> boost::asio::awaitable<void>;

  caller_api_hooks hooks_;
  reply_table& replies_;
  organisation_keys& keys_;
  metrics& metrics_registry_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_CALLER_API_H_
