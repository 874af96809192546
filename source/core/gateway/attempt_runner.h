// Sends attempts to endpoints and reports what comes back.
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

// Tokens of one answer, as the engine counts them.
struct token_usage {
  std::uint64_t prompt = 0;
  std::uint64_t cached = 0;
  std::uint64_t completion = 0;

  auto operator<=>(const token_usage&) const = default;
};

// How an attempt ended.
enum class attempt_outcome : std::uint8_t {
  // A whole answer came, of whatever status.
  kAnswered,
  // No byte left this VM, or the endpoint refused before running.
  kNotRun,
  // The request left and no whole answer came.
  kUnknown,
};

// The end of one attempt.
struct attempt_result {
  attempt_outcome outcome = attempt_outcome::kUnknown;
  unsigned status = 0;
  std::string content_type;
  // Body of a service's answer. A chat answer has come in parts before.
  std::string body;
  token_usage usage;
  // The endpoint said that it is leaving and takes no new work.
  bool is_leaving = false;
  std::string error;
};

// What to send, and where.
struct attempt_request {
  std::string id;
  net::socket_address address;
  net::http_request request;
  // A chat answer comes as server-sent events; a service's as a whole.
  bool is_chat = false;
  bool is_idempotent = false;
  duration timeout = 120s;
  duration idle_timeout = 10s;
};

// Called with each further part of the answer's text.
using output_handler = std::function<void(std::string text)>;
using result_handler = std::function<void(attempt_result result)>;

// Runs any number of attempts on one context. Handlers of a cancelled attempt
// are not called again.
class attempt_runner {
 public:
  struct running;

  attempt_runner(boost::asio::io_context& context, net::http_client& client);
  attempt_runner(const attempt_runner&) = delete;
  auto operator=(const attempt_runner&) -> attempt_runner& = delete;
  ~attempt_runner();

  // Starts an attempt under its identifier, which must not be running.
  auto Start(attempt_request request,
             output_handler on_output,
             result_handler on_result) -> void;

  // Closes the attempt's connection and forgets it.
  auto Cancel(const std::string& id) -> void;

  // Number of attempts under way.
  [[nodiscard]] auto RunningCount() const -> std::size_t;

 private:
  boost::asio::io_context& context_;
  net::http_client& client_;
  std::shared_ptr<std::map<std::string, std::shared_ptr<running>>> running_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_ATTEMPT_RUNNER_H_
