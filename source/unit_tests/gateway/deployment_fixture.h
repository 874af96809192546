// A small deployment in one process: gateway nodes and stand-ins for the
// platform and the endpoints, all on loopback addresses and one context.
#ifndef DAISYWIND_UNIT_TESTS_GATEWAY_DEPLOYMENT_FIXTURE_H_
#define DAISYWIND_UNIT_TESTS_GATEWAY_DEPLOYMENT_FIXTURE_H_

#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/json.h"
#include "gateway/node.h"
#include "net/http_client.h"
#include "standin/options.h"
#include "standin/stand_in.h"

namespace daisywind::gateway {

inline constexpr std::string_view kOrganisationKey = "organisation-key";
inline constexpr std::string_view kOperatorKey = "operator-key";

// One running node and its ports. All nodes run in the process of the test.
struct running_node {
  std::unique_ptr<node> instance;
  std::uint16_t caller_port = 0;
  std::uint16_t admin_port = 0;
};

// Two engines, a service, the key-value service and a number of nodes.
class test_deployment {
 public:
  explicit test_deployment(std::size_t node_count);

  // Runs the context until the work is done.
  auto Run(std::function<boost::asio::awaitable<void>()> work) -> void;

  // Sends a request to a node with the key of the organisation.
  auto Call(std::size_t node, net::http_request request)
      -> boost::asio::awaitable<net::http_response>;

  // Sends a request to a node with the key of the operators.
  auto Admin(std::size_t node, net::http_request request)
      -> boost::asio::awaitable<net::http_response>;

  // Sends a request to a port on the loopback address.
  auto SendTo(std::uint16_t port, net::http_request request)
      -> boost::asio::awaitable<net::http_response>;

  // Waits until every node is ready and lists all nodes as members.
  auto WaitReady() -> boost::asio::awaitable<void>;

  // Simulates a crash of a node.
  auto Kill(std::size_t node) -> void { nodes_.at(node).instance->Halt(); }

  [[nodiscard]] auto engine_ports() const -> const std::vector<std::uint16_t>& {
    return engine_ports_;
  }
  [[nodiscard]] auto service_port() const -> std::uint16_t {
    return service_port_;
  }

  // Waits 20 ms, the interval at which tests check for a condition.
  auto WaitPollInterval() -> boost::asio::awaitable<void>;

 private:
  auto StartStandIn(const std::string& stand_in_role,
                    const standin::stand_in_options& options) -> std::uint16_t;
  auto StartNode(std::size_t index) -> void;
  auto WriteConfiguration() -> boost::asio::awaitable<void>;
  auto Document() const -> std::string;

  boost::asio::io_context context_;
  net::http_client client_;
  std::vector<std::unique_ptr<standin::stand_in>> stand_ins_;
  std::vector<std::uint16_t> engine_ports_;
  std::uint16_t service_port_ = 0;
  std::uint16_t kv_port_ = 0;
  std::vector<running_node> nodes_;
  std::vector<std::uint16_t> peer_ports_;
};

// A request with a JSON body.
auto Post(std::string target,
          const json::value& body,
          net::http_headers headers = {}) -> net::http_request;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_UNIT_TESTS_GATEWAY_DEPLOYMENT_FIXTURE_H_
