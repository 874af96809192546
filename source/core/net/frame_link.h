// One-way frames between the processes of this system over TCP. A frame is a
// length prefix and that many bytes.
#ifndef DAISYWIND_NET_FRAME_LINK_H_
#define DAISYWIND_NET_FRAME_LINK_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "common/time.h"
#include "net/http_types.h"

namespace daisywind::net {

// Maximum size of a frame, without its length prefix.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{16} * 1024 * 1024;

// Handles one frame. Returns false when the frame is invalid, which closes the
// connection.
using frame_handler = std::function<bool(std::string_view frame)>;

// Accepts connections from peers and passes each complete frame to the handler.
class frame_server {
 public:
  struct state;

  frame_server(boost::asio::io_context& context,
               std::size_t max_connections,
               frame_handler handler);
  frame_server(const frame_server&) = delete;
  auto operator=(const frame_server&) -> frame_server& = delete;
  ~frame_server();

  // Binds and starts accepting; port 0 selects a free port. Returns the bound
  // port, or 0 when it could not listen on the address.
  auto Listen(const socket_address& address) -> std::uint16_t;

  // Stops accepting and closes every connection.
  auto Close() -> void;

 private:
  std::shared_ptr<state> state_;
};

// Sends frames to one peer in order, over one connection at a time. Frames that
// are queued when the connection fails are dropped: the protocols that use the
// link retransmit what must arrive.
class frame_link {
 public:
  struct state;

  // Called when the connection is established or lost, and after each failed
  // attempt to connect.
  using state_handler = std::function<void(bool is_connected)>;

  frame_link(boost::asio::io_context& context,
             socket_address address,
             std::size_t max_queued_bytes,
             state_handler on_state);
  frame_link(const frame_link&) = delete;
  auto operator=(const frame_link&) -> frame_link& = delete;
  ~frame_link();

  // Queues a frame and connects if necessary. Returns false, and drops the
  // frame, when the link is closed, its queue is full or the frame exceeds
  // kMaxFrameBytes.
  auto Send(std::string frame) -> bool;

  // Closes the connection and drops the queued frames.
  auto Close() -> void;

  [[nodiscard]] auto address() const -> const socket_address&;

 private:
  std::shared_ptr<state> state_;
};

}  // namespace daisywind::net

#endif  // DAISYWIND_NET_FRAME_LINK_H_
