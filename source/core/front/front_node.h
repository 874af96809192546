// The front: the node on an entry VM that serves callers, and the state that
// all of its requests share.
#ifndef DAISYWIND_FRONT_FRONT_NODE_H_
#define DAISYWIND_FRONT_FRONT_NODE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "common/byte_budget.h"
#include "common/metrics.h"
#include "common/random.h"
#include "common/settings.h"
#include "dispatch/admission.h"
#include "dispatch/placement.h"
#include "dispatch/program_starts.h"
#include "dispatch/prompt_growth.h"
#include "dispatch/retry_rules.h"
#include "front/directory.h"
#include "front/endpoint_paths.h"
#include "front/limit_coordinator.h"
#include "front/platform_codecs.h"
#include "front/quota_client.h"
#include "front/relay_service.h"
#include "front/store_fallback.h"
#include "front/waiting_requests.h"
#include "history_client/mirrored_store.h"
#include "history_client/turn_client.h"
#include "kv/store.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "relay/relay_client.h"

namespace daisywind::front {

// Platform-specific parts of the front. They must outlive the node.
struct adapters {
  const request_codec& requests;
  const directory_codec& directory;
  kv::store& store;
  // An engine crashes when its requests exceed its memory.
  bool engines_crash_when_full = false;
};

// Times of an orderly stop, counted from its begin.
struct stop_schedule {
  // New connections are served until then.
  duration accepts_until{};
  // Requests that are still under way are ended then, so that their callers get
  // a response before the process is killed.
  duration ends_at{};

  auto operator<=>(const stop_schedule&) const = default;
};

// Returns the times for a process that is killed after `grace`. `accept` is the
// time for new connections if the grace period leaves enough for the requests
// on them.
auto StopSchedule(duration grace, duration accept) -> stop_schedule;

class request_flow;

// Serves callers on one VM. All methods must be called on the context's thread.
class front_node {
 public:
  front_node(boost::asio::io_context& context,
             const settings& values,
             const adapters& platform);
  front_node(const front_node&) = delete;
  auto operator=(const front_node&) -> front_node& = delete;
  ~front_node();

  // Starts serving. Returns false when it cannot listen on an address.
  auto Start() -> bool;

  // Stops gracefully and then calls the handler: readiness turns false, new
  // connections are still served for the drain delay, and requests in flight
  // may finish within the grace period (settings stop.leave_ms, stop.grace_s).
  auto Stop(std::function<void()> on_stopped) -> void;

  // Shared by all requests.
  [[nodiscard]] auto context() -> boost::asio::io_context& { return context_; }
  [[nodiscard]] auto requests() const -> const request_codec& {
    return platform_.requests;
  }
  [[nodiscard]] auto DoEnginesCrashWhenFull() const -> bool {
    return platform_.engines_crash_when_full;
  }
  [[nodiscard]] auto service_directory() -> directory& { return directory_; }
  [[nodiscard]] auto turns() -> history::turn_client& { return turns_; }
  [[nodiscard]] auto limits() -> limit_coordinator& { return limits_; }
  [[nodiscard]] auto quotas() -> quota_client& { return quotas_; }
  [[nodiscard]] auto programs() -> dispatch::program_starts& {
    return programs_;
  }
  [[nodiscard]] auto admission() -> dispatch::admission& { return admission_; }
  [[nodiscard]] auto random() -> random_source& { return random_; }
  [[nodiscard]] auto waiting() -> waiting_requests& { return waiting_; }
  // Memory for parts of responses that are held until their end.
  // For whole responses of ordinary size, from the begin of their body until
  // they were sent.
  [[nodiscard]] auto ordinary_response_memory() const
      -> const std::shared_ptr<byte_budget>& {
    return ordinary_response_memory_;
  }
  [[nodiscard]] auto response_memory() -> byte_budget& {
    return response_memory_;
  }
  // Memory for the bodies of all requests.
  [[nodiscard]] auto request_memory() const
      -> const std::shared_ptr<byte_budget>& {
    return request_memory_;
  }
  [[nodiscard]] auto paths() -> endpoint_paths& { return paths_; }
  // Makes attempts through other fronts.
  [[nodiscard]] auto relays() -> relay::relay_client& { return relays_; }
  [[nodiscard]] auto endpoint_client() -> net::http_client& {
    return endpoint_client_;
  }
  [[nodiscard]] auto metrics_registry() -> metrics& { return metrics_; }
  // How the prompts of routes that store no turns grow.
  [[nodiscard]] auto prompts() -> dispatch::prompt_growth& { return prompts_; }
  [[nodiscard]] auto retries() const -> const dispatch::retry_options& {
    return retries_;
  }
  [[nodiscard]] auto IsStopping() const -> bool { return is_stopping_; }
  // Whether no API key may have been withdrawn for longer than the settings
  // allow without this front knowing it.
  [[nodiscard]] auto AreKeysProven(instant now) const -> bool;
  // Requests under way, which a stop ends when its time is over.
  auto AddFlow(request_flow& flow) -> void { flows_.insert(&flow); }
  auto RemoveFlow(request_flow& flow) -> void { flows_.erase(&flow); }
  [[nodiscard]] auto FlowCount() const -> std::size_t { return flows_.size(); }

  // When a caller may return whose API key can't be proven now.
  [[nodiscard]] auto KeysOutdatedRetry(instant now) const -> duration;

  // A random time up to half as long again, so that callers which are refused
  // together don't return together.
  [[nodiscard]] auto Spread(duration time) -> duration;

  // Chooses an endpoint from the current tables, for an attempt from this VM or
  // from the given one. Returns nothing when none may be used.
  auto Place(const dispatch::placement_request& request,
             const std::optional<history::sender_state>& relay)
      -> std::optional<dispatch::placement_choice>;

 private:
  auto ServeReady(net::http_exchange& exchange) -> boost::asio::awaitable<void>;
  auto ServeMetrics(net::http_exchange& exchange)
      -> boost::asio::awaitable<void>;
  // Sets the gauges of how evenly the load of each service is spread.
  auto MeasureLoadSpread(instant now) -> void;
  auto Tick() -> boost::asio::awaitable<void>;
  auto DrainAndStop(std::function<void()> on_stopped)
      -> boost::asio::awaitable<void>;
  // Waits until no request of callers or of other fronts is under way, or until
  // a time.
  auto WaitUntilIdle(instant until) -> boost::asio::awaitable<void>;
  auto Pause(duration length) -> boost::asio::awaitable<void>;
  auto ListenForRelays() -> bool;
  // Tells the other fronts whether this one makes attempts for them.
  auto AnnounceRelay() -> void;
  auto OnPathChanged() -> void;
  auto ApplyLimits() -> void;
  auto UpdateReadiness() -> void;

  boost::asio::io_context& context_;
  adapters platform_;
  dispatch::location location_;
  dispatch::placement_options placement_;
  dispatch::retry_options retries_;
  std::optional<duration> key_proof_lifetime_;
  dispatch::prompt_growth prompts_;
  dispatch::program_starts programs_;
  dispatch::admission admission_{dispatch::admission_options{}};
  waiting_requests waiting_;
  random_source random_;
  metrics metrics_;
  byte_budget response_memory_;
  std::shared_ptr<byte_budget> ordinary_response_memory_;
  std::shared_ptr<byte_budget> request_memory_;
  // Parts of responses that callers have not read.
  std::shared_ptr<byte_budget> unsent_memory_;
  // Frames and requests of other fronts that make attempts through this one.
  std::shared_ptr<byte_budget> relay_memory_;
  net::http_client endpoint_client_;
  history::turn_client turns_;
  history::mirrored_store store_;
  directory directory_;
  endpoint_paths paths_;
  relay::relay_client relays_;
  relay_service relay_service_;
  store_fallback fallback_;
  limit_coordinator limits_;
  quota_client quotas_;
  net::http_server callers_;
  net::http_server ready_;
  net::http_server metrics_server_;
  boost::asio::steady_timer timer_;
  std::string caller_address_;
  std::string ready_address_;
  std::string metrics_address_;
  std::string relay_address_;
  std::size_t max_connections_;
  duration grace_;
  stop_schedule stop_schedule_;
  std::set<request_flow*> flows_;
  std::set<dispatch::service_id> measured_services_;
  bool is_ready_ = false;
  bool is_stopping_ = false;
};

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_FRONT_NODE_H_
