// Messages to and from the other VMs, sent as frames over TCP.
#ifndef DAISYWIND_GATEWAY_PEER_NETWORK_H_
#define DAISYWIND_GATEWAY_PEER_NETWORK_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/ids.h"
#include "net/frame_link.h"
#include "wire/envelope.h"

namespace daisywind::gateway {

// Called with each message of a peer. Returns false when the payload cannot be
// decoded, which closes the connection.
using envelope_handler = std::function<bool(const wire::envelope& received)>;

// Called when the connection to a peer breaks or cannot be established.
using peer_lost_handler = std::function<void(const vm_id& vm)>;

// Counts of the messages of one protocol and of their bytes.
struct traffic_count {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;

  auto operator<=>(const traffic_count&) const = default;
};

// A listening socket, and one outgoing connection to each peer to which
// messages are sent.
class peer_network {
 public:
  peer_network(boost::asio::io_context& context,
               vm_ref self,
               envelope_handler on_message,
               peer_lost_handler on_lost);
  peer_network(const peer_network&) = delete;
  auto operator=(const peer_network&) -> peer_network& = delete;
  ~peer_network();

  // Binds and starts accepting. Returns false when the address cannot be bound.
  auto Listen(const net::socket_address& address) -> bool;

  // Sets the address of a VM. If it has changed, closes the connection to the
  // old address.
  auto SetAddress(const vm_id& vm, const std::string& address) -> void;

  // Queues a message to one incarnation of a VM, or to any when to.run is zero.
  // Returns false when the address is unknown or the queue is full.
  auto Send(const vm_ref& to,
            wire::protocol payload_protocol,
            std::string payload) -> bool;

  // Queues a message to an address whose VM may not be known yet. Returns false
  // when the address is invalid or the queue is full.
  auto SendToAddress(const std::string& address,
                     wire::protocol payload_protocol,
                     std::string payload,
                     incarnation to_incarnation = 0) -> bool;

  // The bound address of this VM, as "ip:port".
  [[nodiscard]] auto own_address() const -> const std::string& {
    return own_address_;
  }

  // Message and byte counts by protocol since the start.
  [[nodiscard]] auto Traffic() const
      -> const std::map<wire::protocol, traffic_count>& {
    return traffic_;
  }

  // Closes every connection.
  auto Close() -> void;

 private:
  auto OnFrame(std::string_view frame) -> bool;
  auto LinkTo(const std::string& address) -> net::frame_link*;
  auto OnLinkState(const std::string& address, bool is_connected) -> void;

  boost::asio::io_context& context_;
  vm_ref self_;
  bool is_closed_ = false;
  envelope_handler on_message_;
  peer_lost_handler on_lost_;
  net::frame_server server_;
  std::string own_address_;
  std::map<vm_id, std::string> addresses_;
  std::map<std::string, std::unique_ptr<net::frame_link>> links_;
  std::map<wire::protocol, traffic_count> traffic_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_PEER_NETWORK_H_
