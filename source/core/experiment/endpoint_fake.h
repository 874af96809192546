// Simulation model of an endpoint: an inference engine with batching and a
// prefix cache, or a service.
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

// A call as submitted to an endpoint. A service call has a service time and no
// tokens; an engine call has tokens and no service time.
struct endpoint_request {
  std::uint64_t id = 0;
  std::int32_t priority = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  // Hashes of the complete blocks of the prompt, followed by those of the
  // blocks that the output completes.
  std::vector<policy::block_hash> blocks;
  // How many of `blocks` belong to the prompt.
  std::size_t prompt_blocks = 0;
  duration service_time{0};
};

// Result of a call at the endpoint.
struct endpoint_result {
  policy::finish_kind finish = policy::finish_kind::kCompleted;
  policy::token_usage usage;
  // Prompt tokens computed although some engine had cached them earlier.
  // Counted in whole blocks.
  std::uint32_t wasted_tokens = 0;

  auto operator<=>(const endpoint_result&) const = default;
};

// Progress notifications to the sender of a call.
struct endpoint_callbacks {
  std::function<void()> started;
  std::function<void()> first_token;
  std::function<void(const endpoint_result&)> finished;
};

// Interface of an endpoint to the rest of the simulation.
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

  // Cancels a call. A waiting call is dropped at once; a running one occupies
  // its slot until a grace period ends. No further callback is invoked.
  virtual auto Abandon(std::uint64_t id) -> void = 0;

  // Stops immediately. The callers see their calls fail after the given delay.
  // Calls submitted later finish as not run after the same delay.
  virtual auto Crash(duration detection_delay) -> void = 0;

  // Restarts after a crash, with an empty cache.
  virtual auto Restore() -> void = 0;

  // Multiplies the duration of all processing by `factor`.
  virtual auto SetSlowdown(double factor) -> void = 0;

  [[nodiscard]] virtual auto Running() const -> std::uint32_t = 0;
  [[nodiscard]] virtual auto Queued() const -> std::uint32_t = 0;
  [[nodiscard]] virtual auto IsUp() const -> bool = 0;

  // Returns the cache events since the previous call.
  virtual auto TakeCacheEvents() -> std::vector<policy::cache_event> = 0;
};

// Calls are admitted to `capacity` slots by priority; the lowest value goes
// first. An engine is modelled as a single processor: it prefills one prompt at
// a time, by priority, and decodes all other running calls as one batch, each
// at the full decode rate. Decoding pauses during a prefill.
class endpoint_fake : public endpoint_backend {
 public:
  endpoint_fake(event_queue& events,
                const engine_config& config,
                block_set& ever_cached);

  auto Submit(const endpoint_request& request,
              const endpoint_callbacks& callbacks) -> void override;
  auto Abandon(std::uint64_t id) -> void override;
  auto Crash(duration detection_delay) -> void override;
  auto Restore() -> void override;
  auto SetSlowdown(double factor) -> void override;
  [[nodiscard]] auto Running() const -> std::uint32_t override;
  [[nodiscard]] auto Queued() const -> std::uint32_t override;
  [[nodiscard]] auto IsUp() const -> bool override { return is_up_; }
  auto TakeCacheEvents() -> std::vector<policy::cache_event> override;

 private:
  struct queue_position {
    std::int32_t priority = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const queue_position&) const = default;
  };
  struct item {
    endpoint_request request;
    endpoint_callbacks callbacks;
    endpoint_result result;
    bool is_abandoned = false;
  };

  auto StartWaitingCalls() -> void;
  auto Start(const queue_position& position, const item& waiting) -> void;
  auto StartService(std::uint64_t id, duration length) -> void;
  auto LookUpPrefix(item& started) -> void;
  auto AdvanceDecoding() -> void;
  auto ScheduleNextWork() -> void;
  auto StartPrefill() -> void;
  auto EndPrefill(std::uint64_t id) -> void;
  auto EndDecoding(std::uint64_t generation) -> void;
  auto Finish(std::uint64_t id) -> void;
  auto FailAll(duration detection_delay) -> void;
  [[nodiscard]] auto ScaleBySlowdown(double seconds) const -> duration;

  event_queue& events_;
  engine_config config_;
  block_set& ever_cached_;
  prefix_cache cache_;
  std::map<queue_position, item> waiting_;
  std::unordered_map<std::uint64_t, item> running_;
  // Running calls that wait for their prefill.
  std::map<queue_position, std::uint64_t> prefill_queue_;
  std::optional<std::uint64_t> prefilling_;
  // Decoding calls, ordered by the value of decoding_time_ at which they end.
  std::set<std::pair<duration, std::uint64_t>> decoding_;
  // Total time that the engine has spent decoding, at normal speed.
  duration decoding_time_{0};
  instant decoding_updated_at_;
  // Generation of the event that ends the next decoding call. Events of earlier
  // generations are ignored.
  std::uint64_t plan_generation_ = 0;
  double slowdown_ = 1.0;
  bool is_up_ = true;
  duration detection_delay_{0};
  std::uint64_t next_sequence_ = 0;
};

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_ENDPOINT_FAKE_H_
