// Makes one call until it is answered, finally refused or out of time.
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

// The handle of a program, kept up to date by the answers of all its calls.
class program_session {
 public:
  // Takes the handle of an answer unless it is older than the known one.
  auto Update(std::string_view handle) -> void;

  [[nodiscard]] auto handle() const -> const std::string& { return handle_; }

 private:
  std::string handle_;
};

// What one call sends.
struct call {
  std::string method = "POST";
  std::string target;
  std::string body;
  // Empty where the call has none.
  std::string branch;
  std::uint64_t turn = 0;
  std::string key;
  bool is_stream = false;
};

// How a call ended.
enum class call_status : std::uint8_t { kDone, kRefused, kInDoubt };

struct call_result {
  call_status status = call_status::kInDoubt;
  // The body of the answer; empty for a stream.
  std::string body;
  // The last refusal, for calls that are not done.
  std::string reason;
  // Tries that it took.
  std::int64_t tries = 0;
};

// Counts over all calls.
struct client_counts {
  std::map<std::string, std::int64_t> refusals_by_outcome;
  std::map<std::string, std::int64_t> refusals_by_reason;
  std::int64_t refused_connections = 0;
  std::int64_t broken_connections = 0;
  std::int64_t retries = 0;
};

// Bounds of a call.
struct client_options {
  std::string key;
  // Time after which a call is given up.
  duration call_bound = 60s;
  duration head_timeout = 30s;
  duration idle_timeout = 15s;
};

class call_client {
 public:
  call_client(boost::asio::io_context& context,
              gateway_pool& gateways,
              client_options options,
              random_source& random);

  // Makes a call. The receiver takes the answer of a stream; it may be null
  // for other calls.
  auto Make(program_session& session, call item, chat_receiver* receiver)
      -> boost::asio::awaitable<call_result>;

  [[nodiscard]] auto counts() const -> const client_counts& { return counts_; }

 private:
  // How one try went: an answer, or a refusal.
  struct try_result {
    bool is_answered = false;
    std::string body;
    refusal why;
  };

  auto Try(program_session& session,
           const call& item,
           chat_receiver* receiver,
           const net::socket_address& gateway)
      -> boost::asio::awaitable<try_result>;
  auto ReadStream(net::http_body_stream& body, chat_receiver& receiver)
      -> boost::asio::awaitable<try_result>;
  auto MakeRequest(const program_session& session,
                   const call& item,
                   const chat_receiver* receiver) const -> net::http_request;
  auto Count(const refusal& why) -> void;
  auto Backoff(std::int64_t tries, const refusal& why)
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
