// Client of the platform's key-value service, which uses etcd's v3 JSON gateway
// protocol over HTTP.
#ifndef DAISYWIND_KV_CLIENT_H_
#define DAISYWIND_KV_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/kv_types.h"
#include "common/time.h"
#include "kv/etcd_json.h"
#include "kv/watch_stream.h"
#include "net/http_client.h"
#include "net/http_types.h"

namespace daisywind::kv {

// Result of a call. The response is valid only if the outcome is kAnswered.
template <class Response>
struct call_result {
  kv::outcome outcome = kv::outcome::kNotSent;
  Response response{};
  std::string error;
};

// Result of opening a watch. The stream is null unless the outcome is
// kAnswered.
struct watch_result {
  kv::outcome outcome = kv::outcome::kNotSent;
  std::unique_ptr<watch_stream> stream;
};

// Number of calls made since the client was created, by kind. The service
// counts every call.
struct call_counts {
  std::uint64_t ranges = 0;
  std::uint64_t puts = 0;
  std::uint64_t txns = 0;
  std::uint64_t grants = 0;
  std::uint64_t keep_alives = 0;
  std::uint64_t revokes = 0;
  std::uint64_t watches = 0;

  auto operator<=>(const call_counts&) const = default;
};

// Time-outs of the client's calls.
struct client_options {
  duration connect_timeout = 500ms;
  // Starts anew while a large response arrives fast enough.
  duration call_timeout = 3s;
  // A watch that receives nothing for this long is ended, since its connection
  // may be dead.
  duration watch_idle_timeout = 600s;
};

// Uses one of the addresses of the service and switches to the next one after a
// failure. Puts, lease grants and transactions that may write always use a new
// connection: on a pooled one the request could be sent twice, and a
// transaction that had succeeded would then be reported as failed. Renewals and
// revocations of leases may use a pooled connection, and so may be sent twice.
class client {
 public:
  client(boost::asio::io_context& context,
         std::vector<net::socket_address> addresses,
         client_options options);

  auto Range(range_request request)
      -> boost::asio::awaitable<call_result<range_response>>;
  auto Put(put_request request)
      -> boost::asio::awaitable<call_result<revision>>;
  auto Txn(txn_request request)
      -> boost::asio::awaitable<call_result<txn_response>>;

  // Grants a lease. The service chooses its id.
  auto Grant(std::int64_t ttl_seconds)
      -> boost::asio::awaitable<call_result<lease_state>>;
  auto KeepAlive(lease_id id)
      -> boost::asio::awaitable<call_result<lease_state>>;
  auto Revoke(lease_id id) -> boost::asio::awaitable<call_result<revision>>;

  // Watches a key, starting at the given revision. Zero means only changes from
  // now on.
  auto Watch(std::string key, revision start_revision)
      -> boost::asio::awaitable<watch_result>;

  [[nodiscard]] auto counts() const -> const call_counts& { return counts_; }

 private:
  template <class Response>
  using decoder = std::optional<Response> (*)(std::string_view);

  template <class Response>
  auto Call(std::string target,
            std::string body,
            bool needs_fresh_connection,
            decoder<Response> decode)
      -> boost::asio::awaitable<call_result<Response>>;
  auto MakeRequest(std::string target, std::string body) const
      -> net::http_request;
  auto UseNextAddress() -> void;

  net::http_client http_;
  std::vector<net::socket_address> addresses_;
  client_options options_;
  std::size_t current_ = 0;
  call_counts counts_;
};

}  // namespace daisywind::kv

#endif  // DAISYWIND_KV_CLIENT_H_
