// Carries out the commands of the program system.
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
#include "gateway/reply_box.h"
#include "gateway/scheduler_adapter.h"
#include "net/http_client.h"
#include "program/program_system.h"

namespace daisywind::gateway {

// The parts of the process that the adapter works with.
struct program_parts {
  boost::asio::io_context& context;
  program::program_system& system;
  scheduler_adapter& scheduler;
  attempt_runner& runner;
  net::http_client& client;
  peer_network& peers;
  reply_table& replies;
  const endpoint_directory& endpoints;
  metrics& series;
  // Called when an endpoint says that it is leaving.
  std::function<void(const endpoint_id&)> on_leaving;
  // Called when an attempt was cut at an endpoint.
  std::function<void(const endpoint_id&)> on_cut;
};

// Time bounds of attempts.
struct attempt_bounds {
  duration call = 120s;
  duration token_idle = 10s;
};

// Feeds the program system one event at a time and carries out what it says.
class program_adapter {
 public:
  program_adapter(program_parts parts, attempt_bounds bounds);
  program_adapter(const program_adapter&) = delete;
  auto operator=(const program_adapter&) -> program_adapter& = delete;
  ~program_adapter();

  // Queues an event and works off the queue, unless that is under way already.
  auto Submit(program::event event) -> void;

  // Lets time pass.
  auto Tick() -> void;

  // Ends a call that shows no progress.
  auto EndHung(const program::call_ref& call) -> void;

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

  auto Drain() -> void;
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

  program_parts parts_;
  attempt_bounds bounds_;
  std::deque<program::event> queue_;
  bool is_draining_ = false;
  std::map<std::string, running_attempt> running_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_PROGRAM_ADAPTER_H_
