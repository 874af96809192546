// The requests of a stand-in engine and their progress. It has no I/O and no
// clock.
#ifndef DAISYWIND_STANDIN_ENGINE_BATCH_H_
#define DAISYWIND_STANDIN_ENGINE_BATCH_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "standin/prefix_cache.h"

namespace daisywind::standin {

// A chat request as the batch sees it.
struct engine_request {
  std::string id;
  std::string model;
  std::string prompt;
  std::vector<std::string> answer;
  std::int64_t priority = 0;
  bool is_cut_by_bound = false;

  auto operator<=>(const engine_request&) const = default;
};

// Where a request is.
enum class run_state : std::uint8_t {
  kWaiting,
  kPrefilling,
  kDecoding,
  kFinished,
  kCancelled,
};

// A request with its progress.
struct engine_run {
  engine_request request;
  std::uint64_t sequence = 0;
  run_state state = run_state::kWaiting;
  std::size_t prompt_tokens = 0;
  std::size_t cached_tokens = 0;
  // Tokens of the answer that are ready.
  std::size_t emitted = 0;
  // The end of the prefill, then the time of the next token.
  instant next_step_at;
  // Connections that wait for the answer, and when the last one left.
  std::size_t readers = 0;
  instant last_reader_at;

  // True while the request waits or runs.
  [[nodiscard]] auto IsActive() const -> bool;
};

// Costs and bounds of a batch.
struct batch_options {
  // Requests that run at once.
  std::size_t capacity = 8;
  duration prefill_per_token{};
  duration decode_per_token{};
  // Time for which a request without reader goes on, and for which an ended
  // one can still be resumed.
  duration grace{};
};

// Prompt tokens of all requests that have started.
struct token_totals {
  std::size_t prompt = 0;
  std::size_t cached = 0;

  auto operator<=>(const token_totals&) const = default;
};

// Runs requests side by side, the lowest priority value first.
class engine_batch {
 public:
  engine_batch(batch_options options, prefix_cache& cache)
      : options_(options), cache_(cache) {}

  // Takes a request. A known id keeps its run.
  auto Submit(engine_request request, instant now) -> void;

  // The run of an id, or null when it is not known.
  [[nodiscard]] auto Find(const std::string& id) const -> const engine_run*;

  // Counts a connection that waits for the run's answer.
  auto Attach(const std::string& id) -> void;

  // Takes back an Attach.
  auto Detach(const std::string& id, instant now) -> void;

  // Ends a run. Returns false when it is not known or has ended.
  auto Cancel(const std::string& id) -> bool;

  // Advances all runs and returns the ids of those that have changed.
  auto Tick(instant now) -> std::vector<std::string>;

  // When Tick has something to do next; nothing without runs.
  [[nodiscard]] auto NextStepAt() const -> std::optional<instant>;

  [[nodiscard]] auto RunningCount() const -> std::size_t;
  [[nodiscard]] auto WaitingCount() const -> std::size_t;

  [[nodiscard]] auto totals() const -> const token_totals& { return totals_; }

 private:
  auto CancelAbandoned(instant now, std::vector<std::string>& changed) -> void;
  auto Admit(instant now) -> void;
  auto Start(engine_run& run, instant now) -> void;
  auto Advance(engine_run& run, instant now) -> bool;
  auto Finish(engine_run& run, instant now) -> void;
  [[nodiscard]] auto Count(run_state first, run_state last) const
      -> std::size_t;
  [[nodiscard]] auto NextWaiting() -> engine_run*;

  batch_options options_;
  prefix_cache& cache_;
  std::map<std::string, engine_run> runs_;
  std::uint64_t last_sequence_ = 0;
  token_totals totals_;
};

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_ENGINE_BATCH_H_
