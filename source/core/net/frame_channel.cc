#include "net/frame_channel.h"

#include <array>
#include <boost/asio.hpp>
#include <set>
#include <utility>

#include "common/logging.h"
#include "net/acceptor.h"
#include "net/frame_length.h"
#include "net/frame_link.h"
#include "net/socket_options.h"

namespace daisywind::net {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Read at a time, in bytes.
constexpr auto kReadBytes = std::size_t{16} * 1024;
// Pause before accepting again when descriptors have run out.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);

}  // namespace

struct frame_channel::state : std::enable_shared_from_this<state> {
  state(tcp::socket from, channel_options bounds)
      : socket(std::move(from)),
        timer(socket.get_executor()),
        options(bounds) {}

  auto Connect(const socket_address& address) -> void {
    auto error = boost::system::error_code{};
    const auto ip = asio::ip::make_address(address.host, error);
    if (error) {
      return Fail();
    }
    timer.expires_after(options.connect_timeout);
    timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& waited) {
          if (!waited && !self->is_connected) {
            self->Fail();
          }
        });
    socket.async_connect(
        tcp::endpoint(ip, address.port),
        [self = shared_from_this()](const boost::system::error_code& failed) {
          self->timer.cancel();
          if (failed || self->is_closed) {
            return self->Fail();
          }
          self->Start();
        });
  }

  auto Start() -> void {
    is_connected = true;
    DetectDeadPeer(socket, options.dead_peer_timeout);
    Read();
    Write();
  }

  auto Read() -> void {
    const auto used = inbox.size();
    inbox.resize(used + kReadBytes);
    socket.async_read_some(
        asio::buffer(inbox.data() + used, kReadBytes),
        [self = shared_from_this(), used](
            const boost::system::error_code& error, std::size_t size) {
          if (self->is_closed) {
            return;
          }
          self->inbox.resize(used + (error ? 0 : size));
          if (error || !self->TakeFrames()) {
            return self->Fail();
          }
          self->Read();
        });
  }

  // Returns false when the peer breaks the framing.
  auto TakeFrames() -> bool {
    auto position = std::size_t{0};
    while (!is_closed && inbox.size() - position >= kLengthBytes) {
      auto prefix = length_bytes{};
      std::copy_n(inbox.begin() + static_cast<std::ptrdiff_t>(position),
                  kLengthBytes, prefix.begin());
      const auto length = DecodeLength(prefix);
      if (length == 0 || length > kMaxFrameBytes) {
        Log(log_events::kFrameRejected, {{"reason", "length out of range"}});
        return false;
      }
      if (inbox.size() - position - kLengthBytes < length) {
        break;
      }
      handlers.on_frame(
          std::string_view(inbox).substr(position + kLengthBytes, length));
      position += kLengthBytes + length;
    }
    inbox.erase(0, position);
    return true;
  }

  auto Send(std::string_view frame) -> bool {
    if (is_closed || frame.size() > kMaxFrameBytes ||
        outbox.size() + frame.size() > options.max_queued_bytes) {
      return false;
    }
    const auto prefix = EncodeLength(frame.size());
    outbox.append(prefix.begin(), prefix.end());
    outbox.append(frame);
    Write();
    return true;
  }

  auto Write() -> void {
    if (!is_connected || is_writing || is_closed || outbox.empty()) {
      return;
    }
    is_writing = true;
    in_flight = std::move(outbox);
    outbox.clear();
    asio::async_write(socket, asio::buffer(in_flight),
                      [self = shared_from_this()](
                          const boost::system::error_code& error, std::size_t) {
                        self->is_writing = false;
                        if (error) {
                          return self->Fail();
                        }
                        self->Write();
                      });
  }

  auto Fail() -> void {
    if (is_closed) {
      return;
    }
    auto handler = std::move(handlers.on_close);
    Close();
    if (handler) {
      handler();
    }
  }

  auto Close() -> void {
    is_closed = true;
    auto ignored = boost::system::error_code{};
    socket.close(ignored);
    timer.cancel();
    outbox.clear();
    if (on_gone) {
      std::exchange(on_gone, nullptr)();
    }
  }

  tcp::socket socket;
  asio::steady_timer timer;
  channel_options options;
  channel_handlers handlers;
  // Tells the server that accepted it.
  std::function<void()> on_gone;
  std::string inbox;
  std::string outbox;
  std::string in_flight;
  bool is_connected = false;
  bool is_writing = false;
  bool is_closed = false;
};

frame_channel::frame_channel(asio::io_context& context,
                             const socket_address& address,
                             channel_options options,
                             channel_handlers handlers)
    : state_(std::make_shared<state>(tcp::socket(context), options)) {
  state_->handlers = std::move(handlers);
  state_->Connect(address);
}

frame_channel::frame_channel(std::shared_ptr<state> accepted)
    : state_(std::move(accepted)) {}

frame_channel::~frame_channel() {
  Close();
}

auto frame_channel::Send(std::string_view frame) -> bool {
  return state_->Send(frame);
}

auto frame_channel::Close() -> void {
  if (!state_->is_closed) {
    state_->Close();
  }
}

auto frame_channel::IsOpen() const -> bool {
  return !state_->is_closed;
}

struct channel_server::state : std::enable_shared_from_this<state> {
  state(asio::io_context& io,
        std::size_t limit,
        channel_options bounds,
        channel_acceptor handle)
      : acceptor(io),
        pause(io),
        max_channels(limit),
        options(bounds),
        on_accept(std::move(handle)) {}

  auto Accept() -> void {
    acceptor.async_accept(
        [self = shared_from_this()](const boost::system::error_code& error,
                                    tcp::socket socket) {
          if (error == asio::error::operation_aborted || self->is_closed) {
            return;
          }
          if (error) {
            return self->AcceptLater();
          }
          if (self->channels.size() < self->max_channels) {
            self->Take(std::move(socket));
          }
          self->Accept();
        });
  }

  auto AcceptLater() -> void {
    pause.expires_after(kAcceptPause);
    pause.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error) {
            self->Accept();
          }
        });
  }

  auto Take(tcp::socket socket) -> void {
    auto accepted =
        std::make_shared<frame_channel::state>(std::move(socket), options);
    auto channel = std::make_shared<frame_channel>(accepted);
    channels.insert(channel);
    accepted->on_gone = [weak = weak_from_this(), channel] {
      if (const auto self = weak.lock()) {
        // Erased later: the channel may be running one of its handlers.
        asio::post(self->acceptor.get_executor(),
                   [self, channel] { self->channels.erase(channel); });
      }
    };
    accepted->handlers = on_accept(channel);
    accepted->Start();
  }

  tcp::acceptor acceptor;
  asio::steady_timer pause;
  std::size_t max_channels;
  channel_options options;
  channel_acceptor on_accept;
  std::set<std::shared_ptr<frame_channel>> channels;
  bool is_closed = false;
};

channel_server::channel_server(asio::io_context& context,
                               std::size_t max_channels,
                               channel_options options,
                               channel_acceptor on_accept)
    : state_(std::make_shared<state>(context,
                                     max_channels,
                                     options,
                                     std::move(on_accept))) {}

channel_server::~channel_server() {
  Close();
}

auto channel_server::Listen(const socket_address& address) -> std::uint16_t {
  const auto port = OpenAcceptor(state_->acceptor, address);
  if (port != 0) {
    state_->Accept();
  }
  return port;
}

auto channel_server::Close() -> void {
  state_->is_closed = true;
  auto ignored = boost::system::error_code{};
  state_->acceptor.close(ignored);
  state_->pause.cancel();
  const auto channels = std::exchange(state_->channels, {});
  for (const auto& channel : channels) {
    channel->Close();
  }
}

}  // namespace daisywind::net
