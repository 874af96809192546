// A small fake of an endpoint: a batching engine with a prefix cache, or a
// plain service.
#ifndef DAISYWIND_EXPERIMENT_ENDPOINT_FAKE_H_
#define DAISYWIND_EXPERIMENT_ENDPOINT_FAKE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "experiment/event_queue.h"
#include "experiment/prefix_cache.h"
#include "experiment/specification.h"
#include "policy/types.h"

namespace daisywind::experiment {

// A call as an endpoint sees it. A service call has a length and no tokens.
struct endpoint_request {
  std::uint64_t id = 0;
  std::int32_t priority = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  // Whole blocks of the prompt, then those that the answer completes.
  std::vector<policy::block_hash> blocks;
  std::size_t prompt_blocks = 0;
  duration service_time{0};
};

// How a call ended at the endpoint.
struct endpoint_result {
  policy::finish_kind how = policy::finish_kind::kCompleted;
  policy::token_usage usage;
  // Prompt tokens computed here although some engine had held them.
  std::uint32_t wasted_tokens = 0;

  auto operator<=>(const endpoint_result&) const = default;
};

// What an endpoint tells the sender of a call, at the time it happens.
struct endpoint_callbacks {
  std::function<void()> started;
  std::function<void()> first_token;
  std::function<void(const endpoint_result&)> finished;
};

// The endpoint as the rest of an experiment uses it.
class endpoint_backend {
 public:
  endpoint_backend() = default;
  virtual ~endpoint_backend() = default;
  endpoint_backend(const endpoint_backend&) = delete;
  auto operator=(const endpoint_backend&) -> endpoint_backend& = delete;
  endpoint_backend(endpoint_backend&&) = delete;
  auto operator=(endpoint_backend&&) -> endpoint_backend& = delete;

  virtual auto Submit(const endpoint_request& request,
                      const endpoint_callbacks& callbacks) -> void = 0;

  // Ends the caller's interest. A waiting call is dropped; a running one keeps
  // its place until its grace ends. No callback follows.
  virtual auto Abandon(std::uint64_t id) -> void = 0;

  // Stops at once. Calls fail when their callers notice, after `detection`.
  virtual auto Crash(duration detection) -> void = 0;
  virtual auto Restore() -> void = 0;

  // Makes all work take `factor` times as long.
  virtual auto SetSlowness(double factor) -> void = 0;

  [[nodiscard]] virtual auto Running() const -> std::uint32_t = 0;
  [[nodiscard]] virtual auto Queued() const -> std::uint32_t = 0;
  [[nodiscard]] virtual auto IsUp() const -> bool = 0;
  virtual auto TakeCacheEvents() -> std::vector<policy::cache_event> = 0;
};

// Calls take one of `capacity` slots by priority. An engine computes prompts
// one at a time by priority and decodes all other running calls together, each
// at the decode rate, while it computes no prompt: it is one processor.
class endpoint_fake : public endpoint_backend {
 public:
  endpoint_fake(event_queue& events,
                const engine_shape& shape,
                block_set& ever_held);

  auto Submit(const endpoint_request& request,
              const endpoint_callbacks& callbacks) -> void override;
  auto Abandon(std::uint64_t id) -> void override;
  auto Crash(duration detection) -> void override;
  auto Restore() -> void override;
  auto SetSlowness(double factor) -> void override;
  [[nodiscard]] auto Running() const -> std::uint32_t override;
  [[nodiscard]] auto Queued() const -> std::uint32_t override;
  [[nodiscard]] auto IsUp() const -> bool override { return is_up_; }
  auto TakeCacheEvents() -> std::vector<policy::cache_event> override;

 private:
  struct place {
    std::int32_t priority = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const place&) const = default;
  };
  struct item {
    endpoint_request request;
    endpoint_callbacks callbacks;
    endpoint_result result;
    bool is_abandoned = false;
  };

  auto StartWaiting() -> void;
  auto Start(const place& order, const item& waiting) -> void;
  auto StartService(std::uint64_t id, duration length) -> void;
  auto LookUp(item& started) -> void;
  auto AdvanceDecoding() -> void;
  auto Continue() -> void;
  auto StartPrefill() -> void;
  auto EndPrefill(std::uint64_t id) -> void;
  auto EndDecoding(std::uint64_t generation) -> void;
  auto Finish(std::uint64_t id) -> void;
  auto FailAll(duration detection) -> void;
  [[nodiscard]] auto Scaled(double seconds) const -> duration;

  event_queue& events_;
  engine_shape shape_;
  block_set& ever_held_;
  prefix_cache cache_;
  std::map<place, item> waiting_;
  std::unordered_map<std::uint64_t, item> running_;
  // Running calls whose prompts wait to be computed.
  std::map<place, std::uint64_t> prefill_queue_;
  std::optional<std::uint64_t> prefilling_;
  // Running calls by the decoding time at which they end.
  std::set<std::pair<duration, std::uint64_t>> decoding_;
  // Time that the engine has spent decoding.
  duration decoded_{0};
  instant last_advance_;
  // Tells the latest planned end of decoding from outdated ones.
  std::uint64_t generation_ = 0;
  double slowness_ = 1.0;
  bool is_up_ = true;
  duration detection_{0};
  std::uint64_t next_sequence_ = 0;
};

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_ENDPOINT_FAKE_H_
