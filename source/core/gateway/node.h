// One entry VM's process: the decision libraries, their adapters and servers.
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

// Wires everything together. Runs on one context in one thread.
class node {
 public:
  node(boost::asio::io_context& context, const settings& values);
  node(const node&) = delete;
  auto operator=(const node&) -> node& = delete;
  ~node();

  // Binds all addresses and starts. Returns false when one can't be had.
  auto Start() -> bool;

  // Starts a graceful stop: unready at once, running calls end, programs are
  // handed over. The handler is called when nothing is left or the bound has
  // passed. A second call ends it at once.
  auto Stop(std::function<void()> on_stopped) -> void;

  // Ends everything at once, without a word to callers or peers, as a crash
  // does. The object must outlive the context's work all the same.
  auto Halt() -> void;

 private:
  struct parts;

  std::unique_ptr<parts> parts_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_NODE_H_
