// A stand-in for the platform's key-value store, with the API of the etcd v3
// HTTP/JSON gateway.
#ifndef DAISYWIND_STANDIN_KV_ROLE_H_
#define DAISYWIND_STANDIN_KV_ROLE_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "standin/json_body.h"
#include "standin/kv_store.h"
#include "standin/role.h"

namespace daisywind::standin {

class kv_role : public role {
 public:
  kv_role(boost::asio::io_context& context, const stand_in_options& options);

  auto Handle(net::http_exchange& exchange)
      -> boost::asio::awaitable<void> override;

  // Handles any call except a watch.
  auto Answer(const net::http_request& request) -> net::http_response;

 private:
  using call = auto(kv_role::*)(const json::object&) -> net::http_response;

  struct call_entry {
    std::string_view path;
    // The name under which the call is counted.
    std::string_view kind;
    call run;
  };

  static auto Calls() -> std::span<const call_entry>;

  auto Range(const json::object& body) -> net::http_response;
  auto Put(const json::object& body) -> net::http_response;
  auto Txn(const json::object& body) -> net::http_response;
  auto DeleteRange(const json::object& body) -> net::http_response;
  auto Grant(const json::object& body) -> net::http_response;
  auto KeepAlive(const json::object& body) -> net::http_response;
  auto Revoke(const json::object& body) -> net::http_response;
  auto RunSingle(const kv_op& op) -> net::http_response;
  auto Counts() const -> net::http_response;
  auto Watch(net::http_exchange& exchange) -> boost::asio::awaitable<void>;
  auto SendEvents(net::http_exchange& exchange,
                  const key_range& range,
                  kv_revision& next) -> boost::asio::awaitable<bool>;
  auto WaitForChange(net::http_exchange& exchange, kv_revision next)
      -> boost::asio::awaitable<bool>;
  auto ExpireLeases() -> boost::asio::awaitable<void>;
  [[nodiscard]] auto Header() const -> json::object;

  kv_store store_;
  // Number of calls by kind.
  std::map<std::string, std::int64_t> counts_;
  // Never expires; cancelled on every change to wake the watches.
  boost::asio::steady_timer change_;
  // The revision at which the watches were last woken.
  kv_revision announced_revision_ = 0;
};

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_KV_ROLE_H_
