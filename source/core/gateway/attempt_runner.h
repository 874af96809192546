// Sends attempts to endpoints over HTTP and reports their results.
#ifndef DAISYWIND_GATEWAY_ATTEMPT_RUNNER_H_
#define DAISYWIND_GATEWAY_ATTEMPT_RUNNER_H_

#include <boost/asio/io_context.hpp>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/time.h"
#include "net/http_client.h"

namespace daisywind::gateway {

// Token counts of one response, as reported by the engine.
struct token_usage {
  std::uint64_t prompt = 0;
  std::uint64_t cached = 0;
  std::uint64_t completion = 0;

  auto operator<=>(const token_usage&) const = default;
};

// How an attempt ended.
enum class attempt_outcome : std::uint8_t {
  // A complete response was received, with any status.
  kAnswered,
  // Nothing was sent, or the endpoint refused the request before running it.
  kNotRun,
  // The request was sent, but no complete response was received.
  kUnknown,
};

// The result of one attempt.
struct attempt_result {
  attempt_outcome outcome = attempt_outcome::kUnknown;
  unsigned status = 0;
  std::string content_type;
  // Body of a service's response. Empty for a chat call, whose text is passed
  // to the output handler.
  std::string body;
  token_usage usage;
  // The endpoint refused because it is leaving and accepts no new work.
  bool is_leaving = false;
  std::string error;
};

// An HTTP request to an endpoint, with its limits.
struct attempt_request {
  std::string id;
  net::socket_address address;
  net::http_request request;
  // Whether the response is a stream of server-sent events. The response of a
  // service is passed on as a whole.
  bool is_chat = false;
  // Time from the send to the end of a service's response, or to the first
  // event of a stream.
  duration timeout = 120s;
  // Time between two events of a stream, and between any two parts of a body.
  duration idle_timeout = 10s;
};

// Called with each new part of the generated text.
using output_handler = std::function<void(std::string text)>;
using result_handler = std::function<void(attempt_result result)>;

// Runs any number of attempts concurrently on one context. The handlers of a
// cancelled attempt are not called again.
class attempt_runner {
 public:
  struct attempt_state;

  attempt_runner(boost::asio::io_context& context, net::http_client& client);
  attempt_runner(const attempt_runner&) = delete;
  auto operator=(const attempt_runner&) -> attempt_runner& = delete;
  ~attempt_runner();

  // Starts an attempt. No attempt with the same identifier may be running.
  auto Start(attempt_request request,
             output_handler on_output,
             result_handler on_result) -> void;

  // Cancels an attempt and closes its connection if the body is being read.
  auto Cancel(const std::string& id) -> void;

  // Number of attempts in progress.
  [[nodiscard]] auto RunningCount() const -> std::size_t;

 private:
  boost::asio::io_context& context_;
  net::http_client& client_;
  std::shared_ptr<std::map<std::string, std::shared_ptr<attempt_state>>>
      running_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_ATTEMPT_RUNNER_H_
