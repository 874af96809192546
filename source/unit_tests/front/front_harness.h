// Test harness: one front with a fake store and endpoints on loopback, and
// minimal codecs for its protocols.
#ifndef DAISYWIND_UNIT_TESTS_FRONT_FRONT_HARNESS_H_
#define DAISYWIND_UNIT_TESTS_FRONT_FRONT_HARNESS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "front/front_node.h"
#include "front/platform_codecs.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "testing/early_endpoint.h"
#include "testing/fake_store.h"

namespace daisywind::front {

// Uses the headers Host, Id (of the request), Deadline-Ms, Endpoint (the id of
// the chosen endpoint), After (the last event of a resumed stream), Weights
// (the version that a resumed stream needs, and the one of a response), and for
// turns Program, Previous, Budget, Prompt-Tokens and Max-Tokens. A caller's Key
// is its API key; an endpoint gets the Organisation and the Urgency. An
// endpoint sets Not-Run in its response when it has not run the request,
// Leaving when it leaves, and Limit to name a rate limit. A refusal's body is
// the name of its reason, and its header Retry-Ms when the caller should retry.
class test_request_codec : public request_codec {
 public:
  [[nodiscard]] auto ReadCall(const net::http_request& from) const
      -> std::optional<dispatch::call> override;
  [[nodiscard]] auto MakeEndpointRequest(const net::http_request& from,
                                         const attempt_metadata& metadata) const
      -> net::http_request override;
  [[nodiscard]] auto ReadResponse(const net::http_response& from) const
      -> response_metadata override;
  [[nodiscard]] auto ReadWeightsChange(std::string_view event) const
      -> std::optional<std::uint64_t> override;
  [[nodiscard]] auto MakeCallerResponse(const net::http_response& from) const
      -> net::http_response override;
  [[nodiscard]] auto MakeRefusal(const refusal& from) const
      -> net::http_response override;
  [[nodiscard]] auto IsReadinessProbe(const net::http_request& from) const
      -> bool override;
};

// Slots of each endpoint, and memory of the engines.
inline constexpr auto kTestSlots = 4U;
inline constexpr auto kTestMemoryTokens = 1000U;

// The configuration value is a version number; the routes are fixed. The word
// "keys" and organisations may follow, each as its name, key, requests per
// second, burst and priority, which is none if it is negative. The value of an
// endpoint entry is its address. Endpoints whose ids begin with "engine" are
// model replicas.
class test_directory_codec : public directory_codec {
 public:
  [[nodiscard]] auto configuration_key() const -> std::string_view override {
    return "configuration";
  }
  [[nodiscard]] auto endpoint_prefix() const -> std::string_view override {
    return "endpoints/";
  }
  [[nodiscard]] auto ReadConfiguration(std::string_view value) const
      -> std::optional<dispatch::configuration> override;
  [[nodiscard]] auto ReadEndpoint(const endpoint_id& id,
                                  std::string_view value) const
      -> std::optional<dispatch::endpoint> override;
};

using endpoint_handler = net::http_handler;

class front_harness {
 public:
  // `response_mb` is the memory for parts of responses that the front holds.
  // Harnesses that share a context run together. `grace` is the time that the
  // front has to stop, and `keys_withdrawn` that of a withdrawn API key to be
  // refused, zero for no such time.
  explicit front_harness(int response_mb = 32,
                         std::shared_ptr<boost::asio::io_context> shared =
                             std::make_shared<boost::asio::io_context>(1),
                         std::chrono::seconds grace = std::chrono::seconds(8),
                         std::chrono::milliseconds keys_withdrawn = {},
                         bool engines_crash_when_full = false);
  front_harness(const front_harness&) = delete;
  auto operator=(const front_harness&) -> front_harness& = delete;
  ~front_harness();

  // Starts an endpoint and registers it in the store.
  auto AddEndpoint(const std::string& id, endpoint_handler handler) -> void;

  // Starts an endpoint that sends the same bytes in response to each request
  // and closes the connection.
  auto AddClosingEndpoint(const std::string& id, std::string response) -> void;

  // Starts an endpoint whose responses are written by a function of the
  // connection's number, the number of the request on it and the request's id.
  // It closes the connection after an empty response.
  using response_writer = std::function<
      std::string(int connection, int request, const std::string& id)>;
  auto AddRawEndpoint(const std::string& id, response_writer writer) -> void;

  // Starts an endpoint that responds before it has read the body of a request.
  auto AddEarlyEndpoint(const std::string& id, testing::early_response response)
      -> void;

  // Registers an endpoint at an address that refuses connections.
  auto AddUnreachableEndpoint(const std::string& id) -> void;

  // Lets the front know others through which it can make attempts.
  auto SetFronts(const std::vector<std::string>& relay_addresses) -> void;
  // Lets the front know a view of journals at these addresses.
  auto UseJournals(const std::vector<std::string>& addresses) -> void;
  [[nodiscard]] auto relay_address() const -> const std::string& {
    return relay_address_;
  }
  [[nodiscard]] auto node() -> front_node& { return *node_; }

  // Stores the configuration and waits until the front has it and all
  // endpoints.
  auto Configure(const std::string& value = "1") -> void;

  // Whether the front's response to a readiness probe says that it is ready.
  auto IsReady() -> bool;

  // Sends a request as a caller and waits for its end. `kind` selects the
  // route: "once" (may run once), "slow" (the same with a long time-out),
  // "open" (the same for callers without an API key), "again" (idempotent),
  // "stream" (may run once, with a stream of events as its response), "resume"
  // (a stream that may be resumed), "kept" (a stream whose turns are stored) or
  // "engine" (a stream of a model replica).
  // `headers` are added to the request's own.
  auto Send(const std::string& kind,
            const std::string& id,
            net::http_headers headers = {},
            std::string body = {}) -> net::http_result;

  // The metrics that the front serves.
  auto Metrics() -> std::string;

  // Sends a request as a caller. Sets the result, which must outlive the
  // request, at its end.
  auto StartSend(const std::string& kind,
                 const std::string& id,
                 std::optional<net::http_result>& result,
                 net::http_headers headers = {},
                 std::string body = {}) -> void;

  // Sends a request as a caller that disconnects once the condition holds.
  auto SendAndDisconnect(const std::string& kind,
                         const std::string& id,
                         const std::function<bool()>& condition) -> void;

  // Runs the context until the condition holds or 30 s have passed. Returns
  // whether the condition holds.
  auto RunUntil(const std::function<bool()>& condition) -> bool;

 private:
  std::shared_ptr<boost::asio::io_context> shared_context_;

 public:
  boost::asio::io_context& context;
  testing::fake_store store;

 private:
  auto Register(const std::string& id, std::uint16_t port) -> void;
  [[nodiscard]] static auto Request(const std::string& kind,
                                    const std::string& id) -> net::http_request;

  test_request_codec request_codec_;
  test_directory_codec directory_codec_;
  int front_port_ = 0;
  int ready_port_ = 0;
  int metrics_port_ = 0;
  std::string relay_address_;
  std::vector<std::unique_ptr<net::http_server>> servers_;
  // Hold the ports of unreachable endpoints.
  std::vector<boost::asio::ip::tcp::socket> unreachable_;
  std::size_t endpoints_ = 0;
  std::unique_ptr<front_node> node_;
  std::unique_ptr<net::http_client> client_;
};

}  // namespace daisywind::front

#endif  // DAISYWIND_UNIT_TESTS_FRONT_FRONT_HARNESS_H_
