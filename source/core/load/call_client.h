// Sends calls to the gateways with retries and backoff, until a call is
// answered, refused for good, or its timeout expires.
#ifndef DAISYWIND_LOAD_CALL_CLIENT_H_
#define DAISYWIND_LOAD_CALL_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "common/random.h"
#include "load/chat_receiver.h"
#include "load/gateway_pool.h"
#include "load/reply.h"
#include "net/http_client.h"

namespace daisywind::load {

// The current handle of a program, updated from the responses to its calls.
class program_session {
 public:
  // Stores the handle from a response unless its epoch is older than that of
  // the current handle. An empty handle is ignored.
  auto Update(std::string_view handle) -> void;

  [[nodiscard]] auto handle() const -> const std::string& { return handle_; }

 private:
  std::string handle_;
};

// The request of one call.
struct call {
  std::string method = "POST";
  std::string target;
  std::string body;
  // Values of request headers. A header is left out when its value is empty or
  // zero.
  std::string branch;
  std::uint64_t turn = 0;
  std::string key;
  bool is_stream = false;
};

// How a call ended. In doubt: an attempt may have been executed, but none was
// answered.
enum class call_status : std::uint8_t { kDone, kRefused, kInDoubt };

struct call_result {
  call_status status = call_status::kInDoubt;
  // The response body; empty for a stream.
  std::string body;
  // The reason of the last refusal. A refused connection is recorded only when
  // no attempt gave another reason. A call that is done keeps the reason of its
  // earlier attempts.
  std::string reason;
  // Number of attempts, the first one included.
  std::int64_t attempts = 0;
};

// Counters over all calls.
struct client_counts {
  std::map<std::string, std::int64_t> refusals_by_outcome;
  std::map<std::string, std::int64_t> refusals_by_reason;
  std::int64_t refused_connections = 0;
  std::int64_t broken_connections = 0;
  std::int64_t retries = 0;
};

// Credentials and timeouts of the calls.
struct client_options {
  std::string key;
  // No attempt is repeated after this time from the start of the call.
  duration call_timeout = 60s;
  duration head_timeout = 30s;
  duration idle_timeout = 15s;
};

class call_client {
 public:
  call_client(boost::asio::io_context& context,
              gateway_pool& gateways,
              client_options options,
              random_source& random);

  // Sends a call until it is answered, refused for good, or its timeout
  // expires. The receiver collects the streamed response; it may be null for
  // calls that are not streams.
  auto SendWithRetries(program_session& session,
                       call item,
                       chat_receiver* receiver)
      -> boost::asio::awaitable<call_result>;

  [[nodiscard]] auto counts() const -> const client_counts& { return counts_; }

 private:
  // The result of one attempt: a response, or the reason why there is none.
  struct attempt_result {
    bool is_answered = false;
    std::string body;
    refusal cause;
  };

  auto SendOnce(program_session& session,
                const call& item,
                chat_receiver* receiver,
                const net::socket_address& gateway)
      -> boost::asio::awaitable<attempt_result>;
  auto ReadStream(net::http_body_stream& body, chat_receiver& receiver)
      -> boost::asio::awaitable<attempt_result>;
  auto MakeRequest(const program_session& session,
                   const call& item,
                   const chat_receiver* receiver) const -> net::http_request;
  auto CountRefusal(const refusal& cause) -> void;
  auto Backoff(std::int64_t attempts, const refusal& cause)
      -> boost::asio::awaitable<void>;

  boost::asio::io_context& context_;
  net::http_client client_;
  gateway_pool& gateways_;
  client_options options_;
  random_source& random_;
  client_counts counts_;
};

}  // namespace daisywind::load

#endif  // DAISYWIND_LOAD_CALL_CLIENT_H_
