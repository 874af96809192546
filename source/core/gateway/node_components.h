// Internal definition of a node, shared by its source files.
#ifndef DAISYWIND_GATEWAY_NODE_COMPONENTS_H_
#define DAISYWIND_GATEWAY_NODE_COMPONENTS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "common/metrics.h"
#include "common/random.h"
#include "common/settings.h"
#include "gateway/admin_api.h"
#include "gateway/attempt_runner.h"
#include "gateway/bearer_keys.h"
#include "gateway/caller_api.h"
#include "gateway/configuration_adapter.h"
#include "gateway/conversions.h"
#include "gateway/endpoint_directory.h"
#include "gateway/endpoint_poller.h"
#include "gateway/membership_adapter.h"
#include "gateway/migration_adapter.h"
#include "gateway/node.h"
#include "gateway/peer_network.h"
#include "gateway/program_adapter.h"
#include "gateway/reconciler_lease.h"
#include "gateway/reply_queue.h"
#include "gateway/scheduler_adapter.h"
#include "kv/client.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "policy/scheduler.h"
#include "program/program_system.h"
#include "wire/envelope.h"

namespace daisywind::gateway {

// The decision libraries, adapters and servers of one process, and the calls
// between them.
struct node::components {
  components(boost::asio::io_context& io, const settings& initial_values);

  auto Start() -> bool;
  auto Stop(std::function<void()> on_stopped) -> void;
  auto Halt() -> void;

  auto OnEnvelope(const wire::envelope& received) -> bool;
  auto OnQuarantine(const std::string& payload) -> bool;
  auto ShareQuarantine() -> void;
  auto OnMembers(const membership::member_list& members) -> void;
  auto OnPeerLost(const vm_id& vm) -> void;
  auto OnInstall(const configuration::install_version& version) -> void;
  auto OnRouting(const migration::routing_state& state) -> void;
  auto OnLeaving(const endpoint_id& endpoint) -> void;
  auto UpdateEndpoints() -> void;
  auto UpdateGauges() -> void;
  auto IsReady() const -> bool;
  auto HasSeenEndpoints() const -> bool;

  auto CallerHooks() -> caller_api_hooks;
  auto AdminHooks() -> admin_api_hooks;
  auto ProgramDependencies() -> program_dependencies;
  auto MembershipHandlers() -> membership_handlers;

  auto RunSchedulerTicks() -> boost::asio::awaitable<void>;
  auto RunSlowTicks() -> boost::asio::awaitable<void>;
  auto RunVmListReads() -> boost::asio::awaitable<void>;
  auto RunSessionReads() -> boost::asio::awaitable<void>;
  auto IsSessionReaderOf(const endpoint_id& endpoint) const -> bool;
  auto Drain(std::function<void()> on_stopped) -> boost::asio::awaitable<void>;
  auto IsDrained() const -> bool;

  boost::asio::io_context& context;
  settings values;
  // The incarnation is the time at which the process started, in microseconds,
  // so that a later process of the VM has a higher one.
  vm_ref self;
  std::uint64_t seed = SystemSeed();
  metrics metrics_registry;
  net::http_client client;
  kv::client kv_client;
  endpoint_directory endpoints;
  organisation_keys keys;
  reply_table caller_replies;
  admin_replies pending_admin_replies;
  peer_network peers;
  policy::scheduler scheduler;
  scheduler_adapter scheduler_io;
  attempt_runner runner;
  program::program_system programs;
  program_adapter program_io;
  configuration_adapter configuration_io;
  membership_adapter membership_io;
  reconciler_lease lease;
  migration_adapter migration_io;
  endpoint_poller poller;
  caller_api callers;
  admin_api admin;
  net::http_server caller_server;
  net::http_server admin_server;
  routing_table routing;
  std::map<vm_id, vm_ref> live_members;
  std::optional<instant> first_install;
  bool has_routing_changed = false;
  bool is_stopping = false;
  bool is_stopped = false;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_NODE_COMPONENTS_H_
