// Executes the commands of the program system.
#ifndef DAISYWIND_GATEWAY_PROGRAM_ADAPTER_H_
#define DAISYWIND_GATEWAY_PROGRAM_ADAPTER_H_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "common/metrics.h"
#include "common/time.h"
#include "gateway/attempt_runner.h"
#include "gateway/endpoint_directory.h"
#include "gateway/peer_network.h"
#include "gateway/reply_queue.h"
#include "gateway/scheduler_adapter.h"
#include "net/http_client.h"
#include "program/program_system.h"

namespace daisywind::gateway {

// The components of the process that the adapter uses.
struct program_dependencies {
  boost::asio::io_context& context;
  program::program_system& system;
  scheduler_adapter& scheduler;
  attempt_runner& runner;
  net::http_client& client;
  peer_network& peers;
  reply_table& replies;
  const endpoint_directory& endpoints;
  metrics& metrics_registry;
  // Called when an endpoint refuses an attempt because it is leaving.
  std::function<void(const endpoint_id&)> on_leaving;
  // Called when an attempt ended without a complete response.
  std::function<void(const endpoint_id&)> on_interrupted;
};

// Timeouts of attempts: to the response head, and between two parts of the
// body.
struct attempt_timeouts {
  duration call = 120s;
  duration token_idle = 10s;
};

// Submits events to the program system one at a time and executes the commands
// that it returns.
class program_adapter {
 public:
  program_adapter(program_dependencies dependencies, attempt_timeouts timeouts);
  program_adapter(const program_adapter&) = delete;
  auto operator=(const program_adapter&) -> program_adapter& = delete;
  ~program_adapter();

  // Queues an event and processes the queue, unless it is already being
  // processed.
  auto Submit(program::event event) -> void;

  // Lets the program system handle its timers.
  auto Tick() -> void;

  // Cancels the attempt of a call that makes no progress. Its result is
  // unknown.
  auto AbortHungCall(const program::call_ref& call) -> void;

 private:
  struct running_attempt {
    program::attempt_ref attempt;
    endpoint_id endpoint;
    std::string text;
    instant started;
    organisation_id organisation;
    class_id service_class;
    program::call_kind kind = program::call_kind::kChat;
    bool is_resume = false;
    bool has_output = false;
  };
  using commands = std::vector<program::command>;

  auto ProcessQueue() -> void;
  auto Execute(const commands& list) -> void;
  auto Execute(const program::send_message& command) -> void;
  auto Execute(const program::acquire_endpoint& command) -> void;
  auto Execute(const program::abandon_endpoint& command) -> void;
  auto Execute(const program::release_endpoint_slot& command) -> void;
  auto Execute(const program::start_attempt& command) -> void;
  auto Execute(const program::cancel_attempt& command) -> void;
  auto Execute(const program::reply_head& command) -> void;
  auto Execute(const program::reply_part& command) -> void;
  auto Execute(const program::reply_end& command) -> void;
  auto Execute(const program::reply_problem& command) -> void;
  auto Execute(const program::reply_view& command) -> void;
  auto Execute(const program::request_lookup& command) -> void;
  auto Execute(const program::release_memory& command) -> void;

  auto OnOutput(const std::string& id, const std::string& text) -> void;
  auto OnResult(const std::string& id, const attempt_result& result) -> void;
  auto EndAttempt(const program::attempt_ref& attempt,
                  program::attempt_result result) -> void;

  program_dependencies dependencies_;
  attempt_timeouts timeouts_;
  std::deque<program::event> queue_;
  bool is_processing_ = false;
  std::map<std::string, running_attempt> running_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_PROGRAM_ADAPTER_H_
