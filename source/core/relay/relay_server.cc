#include "relay/relay_server.h"

#include <boost/asio.hpp>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "common/logging.h"
#include "relay/codec.h"

namespace daisywind::relay {
namespace {

namespace asio = boost::asio;

// One connection of another front.
struct sender_link {
  std::weak_ptr<net::frame_channel> channel;
  std::map<attempt_number, std::weak_ptr<net::http_cancellation>> attempts;

  auto Cancel(attempt_number id) -> void {
    const auto node = attempts.extract(id);
    const auto cancellation = node.empty() ? nullptr : node.mapped().lock();
    if (cancellation != nullptr) {
      cancellation->Cancel();
    }
  }

  auto CancelAll() -> void {
    while (!attempts.empty()) {
      Cancel(attempts.begin()->first);
    }
  }
};

class exchange : public relay_exchange {
 public:
  exchange(std::shared_ptr<sender_link> link,
           attempt_number id,
           attempt_request request)
      : link_(std::move(link)), id_(id), request_(std::move(request)) {
    link_->attempts.emplace(id_, cancellation_);
  }

  [[nodiscard]] auto request() -> attempt_request& override { return request_; }

  [[nodiscard]] auto cancellation()
      -> const std::shared_ptr<net::http_cancellation>& override {
    return cancellation_;
  }

  auto SendHead(response_head head) -> bool override {
    return Send(std::move(head));
  }

  auto SendPart(std::string bytes) -> bool override {
    return Send(response_part{std::move(bytes)});
  }

  auto SendEnd(response_end end) -> bool override {
    link_->attempts.erase(id_);
    const auto is_sent = Send(std::move(end));
    // The sender would wait for an end that was dropped.
    if (const auto channel = link_->channel.lock();
        !is_sent && channel != nullptr && !cancellation_->IsCancelled()) {
      link_->CancelAll();
      channel->Close();
    }
    return is_sent;
  }

 private:
  auto Send(message_body body) -> bool {
    const auto channel = link_->channel.lock();
    return channel != nullptr && !cancellation_->IsCancelled() &&
           channel->Send(EncodeMessage({id_, std::move(body)}));
  }

  std::shared_ptr<sender_link> link_;
  attempt_number id_;
  attempt_request request_;
  std::shared_ptr<net::http_cancellation> cancellation_ =
      std::make_shared<net::http_cancellation>();
};

auto ChannelOptions(std::shared_ptr<byte_budget> memory)
    -> net::channel_options {
  auto options = net::channel_options{};
  options.memory = std::move(memory);
  return options;
}

}  // namespace

struct relay_server::state : std::enable_shared_from_this<state> {
  state(asio::io_context& io,
        std::size_t max_connections,
        std::shared_ptr<byte_budget> memory,
        relay_handler handle)
      : context(io),
        handler(std::move(handle)),
        server(io,
               max_connections,
               ChannelOptions(std::move(memory)),
               [this](const std::shared_ptr<net::frame_channel>& channel) {
                 return MakeHandlers(channel);
               }) {}

  auto MakeHandlers(const std::shared_ptr<net::frame_channel>& channel)
      -> net::channel_handlers {
    auto link = std::make_shared<sender_link>();
    link->channel = channel;
    std::erase_if(links, [](const auto& item) { return item.expired(); });
    links.push_back(link);
    auto handlers = net::channel_handlers{};
    handlers.on_frame = [weak = weak_from_this(),
                         link](std::string_view frame) {
      if (const auto self = weak.lock()) {
        self->OnFrame(link, frame);
      }
    };
    handlers.on_close = [link] { link->CancelAll(); };
    return handlers;
  }

  auto OnFrame(const std::shared_ptr<sender_link>& link, std::string_view frame)
      -> void {
    auto received = DecodeMessage(frame);
    if (!received) {
      Log(log_events::kFrameRejected,
          {{"reason", "frame is not a valid relay message"}});
      link->CancelAll();
      if (const auto channel = link->channel.lock()) {
        channel->Close();
      }
      return;
    }
    if (std::holds_alternative<attempt_cancel>(received->body)) {
      link->Cancel(received->id);
      return;
    }
    auto* request = std::get_if<attempt_request>(&received->body);
    if (request == nullptr) {
      return;
    }
    auto attempt =
        std::make_shared<exchange>(link, received->id, std::move(*request));
    if (is_draining) {
      attempt->SendEnd({net::http_outcome::kNotSent, false, 0,
                        "the relay is stopping", true});
      return;
    }
    asio::co_spawn(context, Serve(shared_from_this(), std::move(attempt)),
                   asio::detached);
  }

  static auto Serve(std::shared_ptr<state> self,
                    std::shared_ptr<relay_exchange> attempt)
      -> asio::awaitable<void> {
    ++self->active;
    co_await self->handler(std::move(attempt));
    --self->active;
  }

  asio::io_context& context;
  relay_handler handler;
  // Those of open connections, and some of closed ones.
  std::vector<std::weak_ptr<sender_link>> links;
  std::size_t active = 0;
  bool is_draining = false;
  net::channel_server server;
};

relay_server::relay_server(asio::io_context& context,
                           std::size_t max_connections,
                           std::shared_ptr<byte_budget> memory,
                           relay_handler handler)
    : state_(std::make_shared<state>(context,
                                     max_connections,
                                     std::move(memory),
                                     std::move(handler))) {}

relay_server::~relay_server() {
  Close();
}

auto relay_server::Listen(const net::socket_address& address) -> std::uint16_t {
  return state_->server.Listen(address);
}

auto relay_server::Close() -> void {
  state_->server.Close();
  for (const auto& weak : std::exchange(state_->links, {})) {
    if (const auto link = weak.lock()) {
      link->CancelAll();
    }
  }
}

auto relay_server::Drain() -> void {
  state_->is_draining = true;
}

auto relay_server::ActiveCount() const -> std::size_t {
  return state_->active;
}

}  // namespace daisywind::relay
