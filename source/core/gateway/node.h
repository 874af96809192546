// The gateway process of one entry VM: decision libraries, adapters and
// servers.
#ifndef DAISYWIND_GATEWAY_NODE_H_
#define DAISYWIND_GATEWAY_NODE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "common/settings.h"
#include "common/time.h"

namespace daisywind::gateway {

// Creates the components of a gateway and connects them. Runs on one context in
// one thread.
class node {
 public:
  node(boost::asio::io_context& context, const settings& values);
  node(const node&) = delete;
  auto operator=(const node&) -> node& = delete;
  ~node();

  // Binds all addresses and starts. Returns false when an address cannot be
  // bound.
  auto Start() -> bool;

  // Starts a graceful stop: reports the VM as not ready, lets running calls end
  // and hands programs over to other VMs. Calls the handler when no work is
  // left or the time drain.bound_ms has passed. A second call calls its handler
  // at once.
  auto Stop(std::function<void()> on_stopped) -> void;

  // Closes all connections at once without notifying callers or peers, which
  // simulates a crash. The object must still outlive the pending work of the
  // context.
  auto Halt() -> void;

 private:
  struct components;

  std::unique_ptr<components> components_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_NODE_H_
