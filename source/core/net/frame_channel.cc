#include "net/frame_channel.h"

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <set>
#include <utility>

#include "common/logging.h"
#include "net/acceptor.h"
#include "net/frame_length.h"
#include "net/frame_link.h"
#include "net/message_limits.h"
#include "net/socket_options.h"

namespace daisywind::net {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Size of one read.
constexpr auto kReadBufferBytes = std::size_t{16} * 1024;
// Delay before the next accept after one failed, for example because the
// process is out of file descriptors.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

// NOLINTNEXTLINE(cppcoreguidelines-avoid-non-const-global-variables)
std::atomic<std::uint64_t> dropped_frames{0};

}  // namespace

struct frame_channel::state : std::enable_shared_from_this<state> {
  state(tcp::socket from, channel_options initial_options)
      : socket(std::move(from)),
        timer(socket.get_executor()),
        options(std::move(initial_options)),
        memory(options.memory) {}

  auto Connect(const socket_address& address) -> void {
    auto error = boost::system::error_code{};
    const auto ip = asio::ip::make_address(address.host, error);
    if (error) {
      return Fail();
    }
    timer.expires_after(options.connect_timeout);
    timer.async_wait([self = shared_from_this()](
                         const boost::system::error_code& wait_error) {
      if (!wait_error && !self->is_connected) {
        self->Fail();
      }
    });
    socket.async_connect(tcp::endpoint(ip, address.port),
                         [self = shared_from_this()](
                             const boost::system::error_code& connect_error) {
                           self->timer.cancel();
                           if (connect_error || self->is_closed) {
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
    const auto used = receive_buffer.size();
    receive_buffer.resize(used + kReadBufferBytes);
    socket.async_read_some(
        asio::buffer(receive_buffer.data() + used, kReadBufferBytes),
        [self = shared_from_this(), used](
            const boost::system::error_code& error, std::size_t size) {
          if (self->is_closed) {
            return;
          }
          self->receive_buffer.resize(used + (error ? 0 : size));
          self->received_bytes += size;
          if (error || !self->DeliverFrames()) {
            return self->Fail();
          }
          if (!self->UpdateMemory(0)) {
            ReportOversized("peer", "memory for frames used up");
            return self->Fail();
          }
          self->Read();
        });
  }

  // Passes each complete frame to the handler. Returns false when the peer sent
  // an invalid length.
  auto DeliverFrames() -> bool {
    auto position = std::size_t{0};
    while (!is_closed && receive_buffer.size() - position >= kLengthBytes) {
      auto prefix = length_bytes{};
      std::copy_n(
          receive_buffer.begin() + static_cast<std::ptrdiff_t>(position),
          kLengthBytes, prefix.begin());
      const auto length = DecodeLength(prefix);
      if (length == 0 || length > kMaxFrameBytes) {
        Log(log_events::kFrameRejected,
            {{"reason", "expected a frame length from 1 byte to 16 MiB"}});
        return false;
      }
      if (receive_buffer.size() - position - kLengthBytes < length) {
        break;
      }
      handlers.on_frame(std::string_view(receive_buffer)
                            .substr(position + kLengthBytes, length));
      position += kLengthBytes + length;
    }
    receive_buffer.erase(0, position);
    return true;
  }

  auto Send(std::string_view frame) -> bool {
    if (is_closed) {
      return false;
    }
    if (frame.size() > kMaxFrameBytes ||
        send_buffer.size() + frame.size() > options.max_queued_bytes ||
        !UpdateMemory(frame.size())) {
      ++dropped_frames;
      Log(log_events::kFrameNotSent,
          {{"bytes", static_cast<std::int64_t>(frame.size())},
           {"queued_bytes", static_cast<std::int64_t>(send_buffer.size())}});
      return false;
    }
    const auto prefix = EncodeLength(frame.size());
    send_buffer.append(prefix.begin(), prefix.end());
    send_buffer.append(frame);
    Write();
    return true;
  }

  auto Write() -> void {
    if (!is_connected || is_writing || is_closed || send_buffer.empty()) {
      return;
    }
    is_writing = true;
    write_buffer = std::move(send_buffer);
    send_buffer.clear();
    asio::async_write(socket, asio::buffer(write_buffer),
                      [self = shared_from_this()](
                          const boost::system::error_code& error, std::size_t) {
                        self->is_writing = false;
                        FreeMemory(self->write_buffer);
                        self->UpdateMemory(0);
                        if (error) {
                          return self->Fail();
                        }
                        self->Write();
                      });
  }

  // Takes the memory of all buffers and of more bytes. Returns false when there
  // is not so much left.
  auto UpdateMemory(std::size_t more) -> bool {
    return memory.Resize(receive_buffer.size() + send_buffer.size() +
                         write_buffer.size() + more);
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
    FreeMemory(send_buffer);
    if (!is_writing) {
      FreeMemory(write_buffer);
    }
    memory.Resize(write_buffer.size());
    if (notify_server) {
      std::exchange(notify_server, nullptr)();
    }
  }

  tcp::socket socket;
  asio::steady_timer timer;
  channel_options options;
  channel_handlers handlers;
  // Notifies the server that accepted the connection.
  std::function<void()> notify_server;
  std::string receive_buffer;
  std::uint64_t received_bytes = 0;
  std::string send_buffer;
  std::string write_buffer;
  byte_share memory;
  bool is_connected = false;
  bool is_writing = false;
  bool is_closed = false;
};

frame_channel::frame_channel(asio::io_context& context,
                             const socket_address& address,
                             channel_options options,
                             channel_handlers handlers)
    : state_(
          std::make_shared<state>(tcp::socket(context), std::move(options))) {
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

auto frame_channel::ReceivedBytes() const -> std::uint64_t {
  return state_->received_bytes;
}

auto DroppedFrames() -> std::uint64_t {
  return dropped_frames;
}

auto frame_channel::IsConnected() const -> bool {
  return state_->is_connected;
}

struct channel_server::state : std::enable_shared_from_this<state> {
  state(asio::io_context& io,
        std::size_t limit,
        channel_options initial_options,
        channel_acceptor handle)
      : acceptor(io),
        accept_timer(io),
        max_channels(limit),
        options(std::move(initial_options)),
        on_accept(std::move(handle)) {}

  auto Accept() -> void {
    acceptor.async_accept(
        [self = shared_from_this()](const boost::system::error_code& error,
                                    tcp::socket socket) {
          if (error == asio::error::operation_aborted || self->is_closed) {
            return;
          }
          if (error) {
            return self->RetryAcceptLater();
          }
          if (self->channels.size() < self->max_channels) {
            self->AddChannel(std::move(socket));
          }
          self->Accept();
        });
  }

  auto RetryAcceptLater() -> void {
    accept_timer.expires_after(kAcceptRetryDelay);
    accept_timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error) {
            self->Accept();
          }
        });
  }

  auto AddChannel(tcp::socket socket) -> void {
    auto accepted =
        std::make_shared<frame_channel::state>(std::move(socket), options);
    auto channel = std::make_shared<frame_channel>(accepted);
    channels.insert(channel);
    accepted->notify_server = [weak = weak_from_this(), channel] {
      if (const auto self = weak.lock()) {
        // Deferred, since the channel may be running one of its handlers.
        asio::post(self->acceptor.get_executor(),
                   [self, channel] { self->channels.erase(channel); });
      }
    };
    accepted->handlers = on_accept(channel);
    accepted->Start();
  }

  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
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
                                     std::move(options),
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
  state_->accept_timer.cancel();
  const auto channels = std::exchange(state_->channels, {});
  for (const auto& channel : channels) {
    channel->Close();
  }
}

}  // namespace daisywind::net
