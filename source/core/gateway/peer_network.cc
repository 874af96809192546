#include "gateway/peer_network.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "common/logging.h"

namespace daisywind::gateway {
namespace {

constexpr auto kMaxPeerConnections = std::size_t{2048};
constexpr auto kMaxQueuedBytes = std::size_t{32} * 1024 * 1024;

}  // namespace

peer_network::peer_network(boost::asio::io_context& context,
                           vm_ref self,
                           envelope_handler on_message,
                           peer_lost_handler on_lost)
    : context_(context),
      self_(std::move(self)),
      on_message_(std::move(on_message)),
      on_lost_(std::move(on_lost)),
      server_(context, kMaxPeerConnections, [this](std::string_view frame) {
        return OnFrame(frame);
      }) {}

peer_network::~peer_network() = default;

auto peer_network::Listen(const net::socket_address& address) -> bool {
  const auto port = server_.Listen(address);
  if (port == 0) {
    return false;
  }
  auto bound = address;
  bound.port = port;
  own_address_ = net::ToString(bound);
  return true;
}

auto peer_network::SetAddress(const vm_id& vm, const std::string& address)
    -> void {
  auto& known = addresses_[vm];
  if (known == address) {
    return;
  }
  links_.erase(known);
  known = address;
}

auto peer_network::Send(const vm_ref& to,
                        wire::protocol payload_protocol,
                        std::string payload) -> bool {
  const auto found = addresses_.find(to.vm);
  return found != addresses_.end() &&
         SendToAddress(found->second, payload_protocol, std::move(payload),
                       to.run);
}

auto peer_network::SendToAddress(const std::string& address,
                                 wire::protocol payload_protocol,
                                 std::string payload,
                                 incarnation to_incarnation) -> bool {
  auto* link = is_closed_ ? nullptr : LinkTo(address);
  if (link == nullptr) {
    return false;
  }
  auto frame = wire::EncodeEnvelope({self_, to_incarnation, own_address_,
                                     payload_protocol, std::move(payload)});
  auto& count = traffic_[payload_protocol];
  ++count.sent_messages;
  count.sent_bytes += frame.size();
  return link->Send(std::move(frame));
}

auto peer_network::Close() -> void {
  is_closed_ = true;
  server_.Close();
  links_.clear();
}

auto peer_network::OnFrame(std::string_view frame) -> bool {
  const auto received = wire::DecodeEnvelope(frame);
  if (!received) {
    return false;
  }
  auto& count = traffic_[received->payload_protocol];
  ++count.received_messages;
  count.received_bytes += frame.size();
  // A restarted process must not act on messages to an earlier incarnation.
  if (received->to_incarnation != 0 && received->to_incarnation != self_.run) {
    return true;
  }
  if (!addresses_.contains(received->from.vm)) {
    SetAddress(received->from.vm, received->address);
  }
  return on_message_(*received);
}

auto peer_network::LinkTo(const std::string& address) -> net::frame_link* {
  const auto found = links_.find(address);
  if (found != links_.end()) {
    return found->second.get();
  }
  const auto parsed = net::ParseSocketAddress(address);
  if (!parsed) {
    return nullptr;
  }
  auto link = std::make_unique<net::frame_link>(
      context_, *parsed, kMaxQueuedBytes, [this, address](bool is_connected) {
        OnLinkState(address, is_connected);
      });
  return links_.emplace(address, std::move(link)).first->second.get();
}

auto peer_network::OnLinkState(const std::string& address, bool is_connected)
    -> void {
  Log(is_connected ? log_events::kPeerConnected : log_events::kPeerDisconnected,
      {{"address", std::string_view(address)}});
  if (is_connected) {
    return;
  }
  for (const auto& [vm, known] : addresses_) {
    if (known == address) {
      boost::asio::post(context_, [this, lost = vm] { on_lost_(lost); });
    }
  }
}

}  // namespace daisywind::gateway
