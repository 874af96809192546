#include "history_client/member_client.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <map>
#include <string_view>
#include <utility>

#include "history_wire/codec.h"
#include "net/frame_channel.h"
#include "net/http_types.h"

namespace daisywind::history {
namespace {

namespace asio = boost::asio;

// How often the time-out of a long reply starts anew.
constexpr auto kMaxExtensions = 10;

struct pending_request {
  explicit pending_request(asio::io_context& context) : timer(context) {}

  asio::steady_timer timer;
  reply_handler handler;
  // Number of frames that had been received when the request was sent.
  std::uint64_t frames_at_send = 0;
  // For a long reply: the time that may pass without a byte, and the number of
  // bytes received when it began.
  std::optional<duration> max_silence;
  std::uint64_t bytes_before = 0;
  int extensions = 0;
};

}  // namespace

struct member_client::state : std::enable_shared_from_this<state> {
  state(asio::io_context& io, net::socket_address to)
      : context(io), address(std::move(to)) {}

  auto Connect() -> void {
    if (channel != nullptr && channel->IsOpen()) {
      return;
    }
    const auto weak = weak_from_this();
    auto handlers = net::channel_handlers{};
    handlers.on_frame = [weak](std::string_view frame) {
      if (const auto self = weak.lock()) {
        self->OnFrame(frame);
      }
    };
    handlers.on_close = [weak] {
      if (const auto self = weak.lock()) {
        self->OnClose();
      }
    };
    bytes_on_earlier_channels = ReceivedBytes();
    channel = std::make_shared<net::frame_channel>(
        context, address, net::channel_options{}, std::move(handlers));
  }

  auto ReceivedBytes() const -> std::uint64_t {
    return bytes_on_earlier_channels +
           (channel != nullptr ? channel->ReceivedBytes() : 0);
  }

  auto OnFrame(std::string_view frame) -> void {
    ++frames_received;
    auto reply = DecodeMessage(frame);
    if (!reply) {
      return CloseConnection();
    }
    const auto found = pending.find(reply->id);
    // The request has already timed out.
    if (found == pending.end()) {
      return;
    }
    failures = 0;
    Finish(found->first, std::move(reply->body));
  }

  // Fails every request in flight on the connection.
  auto OnClose() -> void {
    ++failures;
    const auto failed = std::exchange(pending, {});
    for (const auto& [id, item] : failed) {
      item->timer.cancel();
      asio::post(context, [handler = std::move(item->handler)] {
        handler(std::nullopt);
      });
    }
  }

  auto OnTimeout(std::uint64_t id) -> void {
    const auto found = pending.find(id);
    if (found == pending.end()) {
      return;
    }
    if (IsReceiving(*found->second)) {
      ++found->second->extensions;
      return StartTimer(id, *found->second->max_silence);
    }
    const auto is_unresponsive =
        found->second->frames_at_send == frames_received;
    ++failures;
    Finish(id, std::nullopt);
    // A dead connection does not always report an error, so if no frame has
    // arrived since the request, the next request uses a new connection.
    if (is_unresponsive) {
      CloseConnection();
    }
  }

  // Whether a part of a long reply has arrived since the timer was started.
  auto IsReceiving(const pending_request& item) const -> bool {
    return item.max_silence && item.extensions < kMaxExtensions &&
           channel != nullptr && channel->IsOpen() &&
           ReceivedBytes() > item.bytes_before;
  }

  auto StartTimer(std::uint64_t id, duration timeout) -> void {
    const auto& item = pending.at(id);
    item->bytes_before = ReceivedBytes();
    item->timer.expires_after(timeout);
    item->timer.async_wait(
        [weak = weak_from_this(), id](const boost::system::error_code& error) {
          const auto self = weak.lock();
          if (!error && self != nullptr) {
            self->OnTimeout(id);
          }
        });
  }

  auto Send(view_number view,
            message_body body,
            duration timeout,
            bool has_long_reply,
            reply_handler handler) -> void {
    Connect();
    const auto id = ++last_id;
    auto item = std::make_shared<pending_request>(context);
    item->handler = std::move(handler);
    item->frames_at_send = frames_received;
    if (has_long_reply) {
      item->max_silence = timeout;
    }
    pending.emplace(id, std::move(item));
    StartTimer(id, timeout);
    const auto frame = EncodeMessage({id, view, std::move(body)});
    if (!channel->Send(frame)) {
      asio::post(context, [weak = weak_from_this(), id] {
        const auto self = weak.lock();
        if (self != nullptr && self->pending.contains(id)) {
          self->Finish(id, std::nullopt);
        }
      });
    }
  }

  // Sends a request and waits until it has ended.
  static auto SendAndWait(std::shared_ptr<state> self,
                          view_number view,
                          message_body body,
                          duration timeout,
                          bool has_long_reply)
      -> asio::awaitable<std::optional<message_body>> {
    struct wait_state {
      explicit wait_state(asio::io_context& io)
          : wake(io, asio::steady_timer::time_point::max()) {}

      asio::steady_timer wake;
      std::optional<message_body> reply;
      bool is_done = false;
    };
    const auto shared = std::make_shared<wait_state>(self->context);
    self->Send(view, std::move(body), timeout, has_long_reply,
               [shared](std::optional<message_body> reply) {
                 shared->reply = std::move(reply);
                 shared->is_done = true;
                 shared->wake.cancel();
               });
    self.reset();
    while (!shared->is_done) {
      co_await shared->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return std::move(shared->reply);
  }

  auto CloseConnection() -> void {
    bytes_on_earlier_channels = ReceivedBytes();
    const auto old = std::exchange(channel, nullptr);
    if (old != nullptr) {
      old->Close();
    }
    OnClose();
  }

  auto Finish(std::uint64_t id, std::optional<message_body> body) -> void {
    auto node = pending.extract(id);
    node.mapped()->timer.cancel();
    auto handler = std::move(node.mapped()->handler);
    handler(std::move(body));
  }

  asio::io_context& context;
  net::socket_address address;
  std::shared_ptr<net::frame_channel> channel;
  std::map<std::uint64_t, std::shared_ptr<pending_request>> pending;
  std::uint64_t last_id = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t bytes_on_earlier_channels = 0;
  std::uint32_t failures = 0;
};

member_client::member_client(asio::io_context& context,
                             const std::string& address)
    : state_(std::make_shared<state>(
          context,
          net::ParseSocketAddress(address).value_or(net::socket_address{}))) {}

member_client::~member_client() {
  if (state_->channel != nullptr) {
    state_->channel->Close();
  }
  state_->OnClose();
}

auto member_client::SendRequest(view_number view,
                                message_body body,
                                duration timeout,
                                reply_handler handler) -> void {
  state_->Send(view, std::move(body), timeout, false, std::move(handler));
}

auto member_client::SendAndWait(view_number view,
                                message_body body,
                                duration timeout)
    -> asio::awaitable<std::optional<message_body>> {
  return state::SendAndWait(state_, view, std::move(body), timeout, false);
}

auto member_client::SendAndWaitForLong(view_number view,
                                       message_body body,
                                       duration timeout)
    -> asio::awaitable<std::optional<message_body>> {
  return state::SendAndWait(state_, view, std::move(body), timeout, true);
}

auto member_client::failures() const -> std::uint32_t {
  return state_->failures;
}

auto member_client::ReceivedBytes() const -> std::uint64_t {
  return state_->ReceivedBytes();
}

auto member_clients::ClientFor(const std::string& address)
    -> std::shared_ptr<member_client> {
  auto& client = clients_[address];
  if (client == nullptr) {
    client = std::make_shared<member_client>(context_, address);
  }
  return client;
}

auto member_clients::HasFailed(const std::string& address) const -> bool {
  const auto found = clients_.find(address);
  return found != clients_.end() && found->second->failures() != 0;
}

auto member_clients::CloseNonMembers(const view& current) -> void {
  std::erase_if(clients_, [&](const auto& item) {
    return std::none_of(
        current.members.begin(), current.members.end(),
        [&](const member& of) { return of.address == item.first; });
  });
}

}  // namespace daisywind::history
