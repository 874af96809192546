#include "net/frame_link.h"

#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <chrono>
#include <deque>
#include <set>
#include <utility>

#include "common/logging.h"
#include "net/acceptor.h"
#include "net/frame_length.h"

namespace daisywind::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto kConnectTimeout = std::chrono::milliseconds(1500);
constexpr auto kWriteTimeout = std::chrono::seconds(10);
constexpr auto kReconnectDelay = std::chrono::milliseconds(100);
// The rest of a frame must arrive within this time after its length prefix.
constexpr auto kFrameTimeout = std::chrono::seconds(30);

}  // namespace

struct frame_server::state {
  state(asio::io_context& io, std::size_t limit, frame_handler handle)
      : context(io),
        max_connections(limit),
        handler(std::move(handle)),
        acceptor(io) {}

  asio::io_context& context;
  std::size_t max_connections;
  frame_handler handler;
  tcp::acceptor acceptor;
  std::set<beast::tcp_stream*> streams;
};

struct frame_link::state {
  state(asio::io_context& io,
        socket_address to,
        std::size_t limit,
        state_handler handle)
      : context(io),
        address(std::move(to)),
        max_queued_bytes(limit),
        on_state(std::move(handle)),
        stream(io) {}

  auto SetConnected(bool value) -> void {
    if (is_connected == value) {
      return;
    }
    is_connected = value;
    if (!is_closed && on_state) {
      on_state(value);
    }
  }

  asio::io_context& context;
  socket_address address;
  std::size_t max_queued_bytes;
  state_handler on_state;
  beast::tcp_stream stream;
  std::deque<std::string> queue;
  std::size_t queued_bytes = 0;
  bool is_connected = false;
  bool is_running = false;
  bool is_closed = false;
};

namespace {

using server_state = std::shared_ptr<frame_server::state>;
using link_state = std::shared_ptr<frame_link::state>;

auto ReportRejected(std::string_view reason) -> void {
  Log(log_events::kFrameRejected, {{"reason", reason}});
}

auto ReadFrame(beast::tcp_stream& stream, std::string& frame)
    -> asio::awaitable<bool> {
  auto prefix = length_bytes{};
  stream.expires_never();
  const auto [prefix_error, prefix_size] =
      co_await asio::async_read(stream, asio::buffer(prefix), kAsTuple);
  if (prefix_error) {
    co_return false;
  }
  const auto length = DecodeLength(prefix);
  if (length == 0 || length > kMaxFrameBytes) {
    ReportRejected("expected a frame length from 1 byte to 16 MiB");
    co_return false;
  }
  frame.resize(length);
  stream.expires_after(kFrameTimeout);
  const auto [error, size] =
      co_await asio::async_read(stream, asio::buffer(frame), kAsTuple);
  if (error) {
    ReportRejected("connection failed or timed out within a frame");
  }
  co_return !error;
}

auto ServeFrames(server_state server, tcp::socket socket)
    -> asio::awaitable<void> {
  auto stream = beast::tcp_stream(std::move(socket));
  server->streams.insert(&stream);
  auto frame = std::string{};
  while (co_await ReadFrame(stream, frame)) {
    if (!server->handler(frame)) {
      ReportRejected("frame is not a valid protocol message");
      break;
    }
  }
  server->streams.erase(&stream);
}

auto AcceptFrames(server_state server) -> asio::awaitable<void> {
  while (server->acceptor.is_open()) {
    auto [error, socket] = co_await server->acceptor.async_accept(kAsTuple);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error || server->streams.size() >= server->max_connections) {
      auto timer = asio::steady_timer(server->context, kReconnectDelay);
      co_await timer.async_wait(kAsTuple);
      continue;
    }
    socket.set_option(tcp::no_delay(true), error);
    asio::co_spawn(server->context, ServeFrames(server, std::move(socket)),
                   asio::detached);
  }
}

auto WriteQueued(link_state self) -> asio::awaitable<bool> {
  while (!self->queue.empty() && !self->is_closed) {
    auto frame = std::move(self->queue.front());
    self->queue.pop_front();
    self->queued_bytes -= frame.size();
    const auto prefix = EncodeLength(frame.size());
    const auto parts = std::array<asio::const_buffer, 2>{asio::buffer(prefix),
                                                         asio::buffer(frame)};
    self->stream.expires_after(kWriteTimeout);
    const auto [error, size] =
        co_await asio::async_write(self->stream, parts, kAsTuple);
    if (error) {
      co_return false;
    }
  }
  co_return !self->is_closed;
}

auto EnsureConnected(link_state self) -> asio::awaitable<bool> {
  if (self->is_connected) {
    co_return true;
  }
  auto error = beast::error_code{};
  const auto ip = asio::ip::make_address(self->address.host, error);
  if (error) {
    co_return false;
  }
  self->stream.expires_after(kConnectTimeout);
  const auto [connect_error] = co_await self->stream.async_connect(
      tcp::endpoint(ip, self->address.port), kAsTuple);
  if (connect_error) {
    co_return false;
  }
  self->stream.socket().set_option(tcp::no_delay(true), error);
  self->SetConnected(true);
  co_return true;
}

// The peer never writes to this connection, so a readable socket means that the
// peer has closed it.
auto WatchForClose(link_state self) -> asio::awaitable<void> {
  auto byte = std::array<char, 1>{};
  const auto [error, size] = co_await self->stream.socket().async_read_some(
      asio::buffer(byte), kAsTuple);
  if (error != asio::error::operation_aborted) {
    self->stream.close();
    self->SetConnected(false);
  }
}

auto RunLink(link_state self) -> asio::awaitable<void> {
  while (!self->queue.empty() && !self->is_closed) {
    const auto was_connected = self->is_connected;
    auto is_sent = co_await EnsureConnected(self);
    if (is_sent && !was_connected) {
      asio::co_spawn(self->context, WatchForClose(self), asio::detached);
    }
    is_sent = is_sent && co_await WriteQueued(self);
    if (!is_sent) {
      self->queue.clear();
      self->queued_bytes = 0;
      self->stream.close();
      // Reported even when no connection was established, so that the owner of
      // the link learns that its frames were dropped.
      self->is_connected = true;
      self->SetConnected(false);
    }
  }
  self->is_running = false;
}

}  // namespace

frame_server::frame_server(asio::io_context& context,
                           std::size_t max_connections,
                           frame_handler handler)
    : state_(std::make_shared<state>(context,
                                     max_connections,
                                     std::move(handler))) {}

frame_server::~frame_server() {
  Close();
}

auto frame_server::Listen(const socket_address& address) -> std::uint16_t {
  const auto port = OpenAcceptor(state_->acceptor, address);
  if (port != 0) {
    asio::co_spawn(state_->context, AcceptFrames(state_), asio::detached);
  }
  return port;
}

auto frame_server::Close() -> void {
  auto ignored = beast::error_code{};
  state_->acceptor.close(ignored);
  for (auto* stream : state_->streams) {
    stream->close();
  }
}

frame_link::frame_link(asio::io_context& context,
                       socket_address address,
                       std::size_t max_queued_bytes,
                       state_handler on_state)
    : state_(std::make_shared<state>(context,
                                     std::move(address),
                                     max_queued_bytes,
                                     std::move(on_state))) {}

frame_link::~frame_link() {
  Close();
}

auto frame_link::Send(std::string frame) -> bool {
  const auto is_full =
      state_->queued_bytes + frame.size() > state_->max_queued_bytes;
  if (state_->is_closed || is_full || frame.size() > kMaxFrameBytes) {
    return false;
  }
  state_->queued_bytes += frame.size();
  state_->queue.push_back(std::move(frame));
  if (!state_->is_running) {
    state_->is_running = true;
    asio::co_spawn(state_->context, RunLink(state_), asio::detached);
  }
  return true;
}

auto frame_link::Close() -> void {
  state_->is_closed = true;
  state_->queue.clear();
  state_->queued_bytes = 0;
  state_->stream.close();
}

auto frame_link::address() const -> const socket_address& {
  return state_->address;
}

}  // namespace daisywind::net
