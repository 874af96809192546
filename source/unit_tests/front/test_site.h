// One front before endpoints on loopback, in a plain dialect of its own.
#ifndef DAISYWIND_UNIT_TESTS_FRONT_TEST_SITE_H_
#define DAISYWIND_UNIT_TESTS_FRONT_TEST_SITE_H_

#include <boost/asio/io_context.hpp>
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
#include "testing/fake_store.h"

namespace daisywind::front {

// Headers by single words; refusals bear the reason as their body.
class test_request_codec : public request_codec {
 public:
  [[nodiscard]] auto ReadCall(const net::http_request& from) const
      -> std::optional<dispatch::call> override;
  [[nodiscard]] auto MakeAttempt(const net::http_request& from,
                                 const attempt_head& head) const
      -> net::http_request override;
  [[nodiscard]] auto ReadAnswer(const net::http_response& from) const
      -> answer_head override;
  [[nodiscard]] auto MakeAnswer(const net::http_response& from) const
      -> net::http_response override;
  [[nodiscard]] auto MakeRefusal(const refusal& from) const
      -> net::http_response override;
  [[nodiscard]] auto IsReadinessProbe(const net::http_request& from) const
      -> bool override;
};

// The configuration is a version number; routes are fixed. An endpoint's entry
// is its address.
class test_codec : public directory_codec {
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

class test_site {
 public:
  test_site();
  test_site(const test_site&) = delete;
  auto operator=(const test_site&) -> test_site& = delete;
  ~test_site();

  // Starts an endpoint and registers it.
  auto AddEndpoint(const std::string& id, endpoint_handler handler) -> void;

  // Puts the configuration in place and waits until the front is ready.
  auto Configure() -> void;

  // Sends a request as a caller. `kind` is "once", "again" or "stream".
  auto Send(const std::string& kind, const std::string& id) -> net::http_result;

  // Sends a request as a caller that leaves once the condition holds.
  auto SendAndLeave(const std::string& kind,
                    const std::string& id,
                    const std::function<bool()>& condition) -> void;

  // Runs until the condition holds or the test's patience is over.
  auto Until(const std::function<bool()>& condition) -> bool;

  boost::asio::io_context context{1};
  testing::fake_store store;

 private:
  [[nodiscard]] static auto Request(const std::string& kind,
                                    const std::string& id) -> net::http_request;

  test_request_codec request_codec_;
  test_codec codec_;
  int port_ = 0;
  std::vector<std::unique_ptr<net::http_server>> servers_;
  std::unique_ptr<front_node> node_;
  std::unique_ptr<net::http_client> client_;
};

}  // namespace daisywind::front

#endif  // DAISYWIND_UNIT_TESTS_FRONT_TEST_SITE_H_
