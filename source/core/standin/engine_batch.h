// The scheduler of a stand-in engine, which runs chat requests concurrently. It
// does no I/O and takes the time as an argument.
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

// A chat request with its precomputed answer.
struct engine_request {
  std::string id;
  std::string model;
  std::string prompt;
  // The tokens of the answer.
  std::vector<std::string> answer;
  // Lower values run first.
  std::int64_t priority = 0;
  // True when the answer has reached max_tokens.
  bool is_truncated = false;

  auto operator<=>(const engine_request&) const = default;
};

enum class run_state : std::uint8_t {
  kWaiting,
  kPrefilling,
  kDecoding,
  kFinished,
  kCancelled,
};

// A request and its progress.
struct engine_run {
  engine_request request;
  // Order of submission, from 1.
  std::uint64_t sequence = 0;
  run_state state = run_state::kWaiting;
  std::size_t prompt_tokens = 0;
  std::size_t cached_tokens = 0;
  // Number of answer tokens that have been generated.
  std::size_t generated_tokens = 0;
  // End of the prefill, then the time of the next token.
  instant next_step_at;
  // Number of connections that wait for the answer, and when the last one was
  // detached. Submission, cancellation for lack of a reader, and completion
  // set the time too.
  std::size_t readers = 0;
  instant last_reader_at;

  // True while the request is waiting, prefilling or decoding.
  [[nodiscard]] auto IsActive() const -> bool;
};

// Costs and limits of a batch.
struct batch_options {
  // Maximum number of concurrently running requests.
  std::size_t capacity = 8;
  duration prefill_per_token{};
  duration decode_per_token{};
  // How long a request without a reader keeps running, and how long an ended
  // one can be resumed.
  duration grace{};
};

// Prompt tokens of all started requests, and how many of them were cached.
struct token_totals {
  std::size_t prompt = 0;
  std::size_t cached = 0;

  auto operator<=>(const token_totals&) const = default;
};

// Runs requests concurrently up to the capacity; the lowest priority value is
// admitted first, and equal values in the order of submission.
class engine_batch {
 public:
  engine_batch(batch_options options, prefix_cache& cache)
      : options_(options), cache_(cache) {}

  // Adds a request. Does nothing when a run with this id exists.
  auto Submit(engine_request request, instant now) -> void;

  // The run with the given id, or null when there is none.
  [[nodiscard]] auto Find(const std::string& id) const -> const engine_run*;

  // Adds a reader to a run.
  auto Attach(const std::string& id) -> void;

  // Removes a reader from a run.
  auto Detach(const std::string& id, instant now) -> void;

  // Cancels a run. Returns false when it is unknown or has already ended.
  auto Cancel(const std::string& id) -> bool;

  // Advances all runs to the given time and returns the ids of those that
  // changed. Cancels active runs, and erases ended ones, that had no reader for
  // the grace period.
  auto Tick(instant now) -> std::vector<std::string>;

  // When Tick must be called next; nullopt when no step is pending.
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
