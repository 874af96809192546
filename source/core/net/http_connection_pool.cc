#include "net/http_connection_pool.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio.hpp>
#include <cerrno>
#include <utility>

#include "net/socket_options.h"

namespace daisywind::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

// A readable idle connection was closed by the server or carries a response
// to no request.
auto HasNoUnreadBytes(pooled_connection& connection) -> bool {
  auto byte = char{};
  const auto size = ::recv(connection.stream.socket().native_handle(), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

auto pooled_connection::Delivery() -> request_delivery {
  if (has_write_failed || !stream.socket().is_open()) {
    return request_delivery::kFailed;
  }
  if (!is_written) {
    return request_delivery::kUnderWay;
  }
  const auto socket = stream.socket().native_handle();
  auto unacknowledged_bytes = int{0};
  auto info = tcp_info{};
  auto info_size = socklen_t{sizeof(info)};
  const auto is_known =
      ::ioctl(socket, SIOCOUTQ, &unacknowledged_bytes) == 0 &&
      ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &info_size) == 0;
  if (!is_known || unacknowledged_bytes == 0) {
    return request_delivery::kReceived;
  }
  return info.tcpi_state == TCP_CLOSE ? request_delivery::kFailed
                                      : request_delivery::kUnderWay;
}

auto IsCancelled(const http_options& options) -> bool {
  return options.cancellation != nullptr && options.cancellation->IsCancelled();
}

auto http_connection_pool::Open(const socket_address& address,
                                const http_options& options,
                                beast::error_code& error)
    -> asio::awaitable<connection_ptr> {
  const auto ip = asio::ip::make_address(address.host, error);
  if (error) {
    co_return nullptr;
  }
  auto connection = std::make_shared<pooled_connection>(context_);
  if (options.cancellation != nullptr) {
    options.cancellation->SetHook([connection] { connection->Close(); });
  }
  connection->stream.expires_after(options.connect_timeout);
  const auto [connect_error] = co_await connection->stream.async_connect(
      tcp::endpoint(ip, address.port), kAsTuple);
  error = connect_error;
  if (options.on_connected && !IsCancelled(options)) {
    options.on_connected(!error);
  }
  if (error) {
    co_return nullptr;
  }
  ++opened_connections_;
  DetectDeadPeer(connection->stream.socket(), options_.dead_peer_timeout);
  co_return connection;
}

auto http_connection_pool::Take(const socket_address& address)
    -> connection_ptr {
  const auto found = idle_.find(address);
  const auto now = std::chrono::steady_clock::now();
  while (found != idle_.end() && !found->second.empty()) {
    auto candidate = std::move(found->second.back());
    found->second.pop_back();
    if (now - candidate->idle_since < candidate->keep_alive_timeout &&
        HasNoUnreadBytes(*candidate)) {
      return candidate;
    }
    candidate->Close();
  }
  return nullptr;
}

auto http_connection_pool::HasUsable(const socket_address& address) -> bool {
  auto candidate = Take(address);
  if (candidate == nullptr) {
    return false;
  }
  idle_[address].push_back(std::move(candidate));
  return true;
}

auto http_connection_pool::Return(const socket_address& address,
                                  connection_ptr connection) -> void {
  auto& list = idle_[address];
  const auto is_usable =
      connection->buffer.size() == 0 && connection->is_written &&
      list.size() < options_.max_idle_connections_per_address;
  if (!is_usable) {
    connection->Close();
    return;
  }
  connection->stream.expires_never();
  connection->idle_since = std::chrono::steady_clock::now();
  list.push_back(std::move(connection));
}

}  // namespace daisywind::net
