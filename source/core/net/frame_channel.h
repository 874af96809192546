// Bidirectional frames over one TCP connection, for requests and replies
// between the processes of this system. The framing is the same as in
// frame_link.h.
#ifndef DAISYWIND_NET_FRAME_CHANNEL_H_
#define DAISYWIND_NET_FRAME_CHANNEL_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "common/byte_budget.h"
#include "common/time.h"
#include "net/http_types.h"

namespace daisywind::net {

// Callbacks to the owner of a channel. Neither is called after Close.
struct channel_handlers {
  std::function<void(std::string_view frame)> on_frame;
  // Called once, when the connection has failed or the peer has closed it.
  std::function<void()> on_close;
};

// Time-outs and limits of a channel.
struct channel_options {
  duration connect_timeout = 1500ms;
  // The connection fails when the peer has acknowledged nothing for this long.
  duration dead_peer_timeout = 3s;
  std::size_t max_queued_bytes = std::size_t{32} * 1024 * 1024;
  // Memory for the frames of several channels, those under way in both
  // directions; unlimited if null. A channel that receives more is closed, and
  // a frame to be sent beyond it is dropped.
  std::shared_ptr<byte_budget> memory = nullptr;
};

// One connection. Frames sent before it is established are queued.
class frame_channel {
 public:
  struct state;

  frame_channel(boost::asio::io_context& context,
                const socket_address& address,
                channel_options options,
                channel_handlers handlers);
  explicit frame_channel(std::shared_ptr<state> accepted);
  frame_channel(const frame_channel&) = delete;
  auto operator=(const frame_channel&) -> frame_channel& = delete;
  ~frame_channel();

  // Queues a frame. Returns false, and drops the frame, when the channel is
  // closed, its queue is full or the frame exceeds kMaxFrameBytes. Logs the
  // last two, which the peer does not learn of.
  auto Send(std::string_view frame) -> bool;

  // Closes the connection and drops the queued frames.
  auto Close() -> void;

  [[nodiscard]] auto IsOpen() const -> bool;

  // Bytes received so far, those of incomplete frames included.
  [[nodiscard]] auto ReceivedBytes() const -> std::uint64_t;

  // Whether the connection was established, even if it has closed since.
  [[nodiscard]] auto IsConnected() const -> bool;

 private:
  std::shared_ptr<state> state_;
};

// Number of frames that this process has dropped because they were too large or
// a queue was full.
auto DroppedFrames() -> std::uint64_t;

// Called with each accepted channel; returns its handlers. The server keeps the
// channel alive until the connection has closed.
using channel_acceptor =
    std::function<channel_handlers(std::shared_ptr<frame_channel> channel)>;

// Accepts channels on one address. Connections beyond `max_channels` are closed
// at once.
class channel_server {
 public:
  struct state;

  channel_server(boost::asio::io_context& context,
                 std::size_t max_channels,
                 channel_options options,
                 channel_acceptor on_accept);
  channel_server(const channel_server&) = delete;
  auto operator=(const channel_server&) -> channel_server& = delete;
  ~channel_server();

  // Binds and starts accepting; port 0 selects a free port. Returns the bound
  // port, or 0 when it could not listen on the address.
  auto Listen(const socket_address& address) -> std::uint16_t;

  // Stops accepting and closes every channel.
  auto Close() -> void;

 private:
  std::shared_ptr<state> state_;
};

}  // namespace daisywind::net

#endif  // DAISYWIND_NET_FRAME_CHANNEL_H_
