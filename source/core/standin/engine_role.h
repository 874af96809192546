// A stand-in for a model engine: the OpenAI-compatible chat API, and what vLLM
// publishes in addition, such as metrics and cache events.
#ifndef DAISYWIND_STANDIN_ENGINE_ROLE_H_
#define DAISYWIND_STANDIN_ENGINE_ROLE_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "net/http_client.h"
#include "standin/engine_batch.h"
#include "standin/json_body.h"
#include "standin/prefix_cache.h"
#include "standin/role.h"

namespace daisywind::standin {

// The desired state that an order sets on an engine. It replaces the
// previous one.
struct engine_order {
  std::int64_t fence = 0;
  std::int64_t version = 0;
  version_map models;
  version_map adapters;
  std::string role = "serving";

  auto operator<=>(const engine_order&) const = default;
};

// Parses an order from JSON. Missing members get their defaults.
auto ParseOrder(const json::object& body) -> engine_order;

class engine_role : public role {
 public:
  engine_role(boost::asio::io_context& context,
              const stand_in_options& options);

  auto Handle(net::http_exchange& exchange)
      -> boost::asio::awaitable<void> override;

 private:
  using handler = auto(engine_role::*)(net::http_exchange&)
                      -> boost::asio::awaitable<void>;

  struct route {
    std::string_view method;
    std::string_view path;
    bool is_prefix = false;
    handler run = nullptr;
  };

  // Identifies the weights of a model or adapter.
  struct weights_id {
    std::string name;
    std::string version;
    bool is_adapter = false;

    auto operator<=>(const weights_id&) const = default;
  };

  struct load_sample {
    std::size_t running = 0;
    std::size_t waiting = 0;
    double cache_usage = 0;
    instant taken_at;
  };

  static auto Routes() -> std::span<const route>;

  auto Chat(net::http_exchange& exchange) -> boost::asio::awaitable<void>;
  auto Resume(net::http_exchange& exchange) -> boost::asio::awaitable<void>;
  auto CancelRun(net::http_exchange& exchange) -> boost::asio::awaitable<void>;
  auto Metrics(net::http_exchange& exchange) -> boost::asio::awaitable<void>;
  auto CacheEvents(net::http_exchange& exchange)
      -> boost::asio::awaitable<void>;
  auto Pin(net::http_exchange& exchange) -> boost::asio::awaitable<void>;
  auto Release(net::http_exchange& exchange) -> boost::asio::awaitable<void>;
  auto Sessions(net::http_exchange& exchange) -> boost::asio::awaitable<void>;
  auto Export(net::http_exchange& exchange) -> boost::asio::awaitable<void>;
  auto Import(net::http_exchange& exchange) -> boost::asio::awaitable<void>;
  auto State(net::http_exchange& exchange) -> boost::asio::awaitable<void>;
  auto Order(net::http_exchange& exchange) -> boost::asio::awaitable<void>;
  auto Tokens(net::http_exchange& exchange) -> boost::asio::awaitable<void>;

  // Returns the error response when a chat request must be rejected, otherwise
  // an empty response with status 200.
  [[nodiscard]] auto CheckChat(const json::object& body) const
      -> net::http_response;
  auto SubmitChat(const net::http_request& request, const json::object& body)
      -> std::string;
  auto SendCompletion(net::http_exchange& exchange, const std::string& id)
      -> boost::asio::awaitable<void>;
  auto StreamCompletion(net::http_exchange& exchange,
                        const std::string& id,
                        std::size_t offset,
                        bool includes_usage) -> boost::asio::awaitable<void>;
  auto WaitForRun(const std::string& id) -> boost::asio::awaitable<void>;
  auto WaitForEnd(const std::string& id) -> boost::asio::awaitable<void>;
  auto RunBatch() -> boost::asio::awaitable<void>;
  auto WakeBatch() -> void;
  auto Notify(const std::string& id) -> void;

  auto Apply(engine_order order) -> void;
  auto UnloadUnwanted() -> void;
  auto StartLoads() -> void;
  auto Load(weights_id item) -> boost::asio::awaitable<void>;
  auto Pull(const weights_id& item) -> boost::asio::awaitable<bool>;
  auto Sleep(duration time) -> boost::asio::awaitable<void>;
  [[nodiscard]] auto IsWanted(const weights_id& item) const -> bool;
  [[nodiscard]] auto IsLoaded(const weights_id& item) const -> bool;

  boost::asio::io_context& context_;
  stand_in_options options_;
  net::http_client client_;
  prefix_cache cache_;
  engine_batch batch_;
  // Expires at the next step of the batch; cancelled to run the batch earlier.
  boost::asio::steady_timer batch_timer_;
  // One timer per run that connections wait for; cancelled when the run
  // changes.
  std::map<std::string, std::shared_ptr<boost::asio::steady_timer>> waiters_;
  engine_order wanted_;
  version_map models_;
  version_map adapters_;
  std::set<weights_id> loading_;
  // The load that the next metrics response reports.
  load_sample sample_;
  std::uint64_t unnamed_requests_ = 0;
};

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_ENGINE_ROLE_H_
