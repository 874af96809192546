// Client of the platform's key-value service (etcd v3 HTTP/JSON gateway).
#ifndef DAISYWIND_KV_KV_CLIENT_H_
#define DAISYWIND_KV_KV_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/kv_types.h"
#include "common/time.h"
#include "net/http_client.h"

namespace daisywind::kv {

// The end of a transaction. The response is valid when answered.
struct txn_result {
  outcome how = outcome::kUnknown;
  txn_response response;
};

// The end of a call about a lease. The lease is zero when it does not exist.
struct lease_result {
  outcome how = outcome::kUnknown;
  lease_id lease = 0;
};

// Called with each value written under a watched key. Returns false to end the
// watch.
using watch_handler = std::function<bool(const key_value& item)>;

// Calls made so far, by kind.
struct call_counts {
  std::uint64_t txns = 0;
  std::uint64_t leases = 0;
  std::uint64_t watches = 0;

  auto operator<=>(const call_counts&) const = default;
};

// Sends each call to one of the service's addresses; after a failure the next
// call goes to the next address.
class kv_client {
 public:
  kv_client(net::http_client& client,
            std::vector<net::socket_address> addresses,
            duration bound);

  // Carries out a transaction.
  auto Txn(txn_request request) -> boost::asio::awaitable<txn_result>;

  // Grants a lease of whole seconds, rounded up.
  auto GrantLease(duration time_to_live)
      -> boost::asio::awaitable<lease_result>;

  // Renews a lease.
  auto KeepAlive(lease_id lease) -> boost::asio::awaitable<lease_result>;

  // Ends a lease and removes its keys.
  auto RevokeLease(lease_id lease) -> boost::asio::awaitable<lease_result>;

  // Watches one key from a revision on. Returns when the watch has ended, for
  // whatever reason.
  auto Watch(std::string key, revision start, watch_handler on_item)
      -> boost::asio::awaitable<void>;

  [[nodiscard]] auto counts() const -> const call_counts& { return counts_; }

 private:
  struct reply {
    outcome how = outcome::kUnknown;
    std::string body;
  };

  auto Post(std::string path, std::string body)
      -> boost::asio::awaitable<reply>;
  auto LeaseCall(std::string path, std::string body)
      -> boost::asio::awaitable<lease_result>;
  auto NextAddress() -> void;

  net::http_client& client_;
  std::vector<net::socket_address> addresses_;
  duration bound_;
  std::size_t current_ = 0;
  call_counts counts_;
};

}  // namespace daisywind::kv

#endif  // DAISYWIND_KV_KV_CLIENT_H_
