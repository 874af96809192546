// Replays a load of programs against fake engines, with the decisions of
// several VMs, in simulated time.
#ifndef DAISYWIND_UNIT_TESTS_DISPATCH_ADMISSION_REPLAY_H_
#define DAISYWIND_UNIT_TESTS_DISPATCH_ADMISSION_REPLAY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "common/time.h"
#include "dispatch/admission.h"

namespace daisywind::dispatch {

// Programs that arrive at random times.
struct replay_class {
  std::string organisation;
  std::uint32_t priority = 0;
  double programs_per_second = 0;
  // The rate is multiplied by this between `burst_begin` and `burst_end` of the
  // replay.
  double burst_factor = 1.0;
  // Programs that all arrive at `burst_begin`.
  std::size_t programs_at_once = 0;
};

// The engines have a prefill that takes one request at a time, and decode all
// others at once. Together they process about 333 turns, 67 programs, a second.
struct program_replay_options {
  std::vector<replay_class> classes;
  bool has_admission = true;
  duration length = 30s;
  duration burst_begin = 5s;
  duration burst_end = 20s;
  // Engines whose prefill takes three times as long during the burst.
  std::size_t slow_engines = 0;
  // Engines restart one after the other during the burst.
  bool has_release = false;
  admission_options admission{};
};

// What became of the programs of one class.
struct class_result {
  std::size_t programs = 0;
  std::size_t in_time = 0;
  std::size_t late = 0;
  // Programs none of whose requests was let in.
  std::size_t refused = 0;
  // Programs that ended before their last turn.
  std::size_t failed = 0;

  // Value per program: 1 in time, a part of it within twice the time.
  [[nodiscard]] auto Value() const -> double;
};

struct program_replay_result {
  std::vector<class_result> classes;
  // Refusals of requests that start a program.
  std::size_t refusals = 0;
  // First requests of programs in each tenth of a second, retries included.
  std::map<std::int64_t, std::size_t> starts;

  [[nodiscard]] auto Total() const -> class_result;
};

auto ReplayPrograms(const program_replay_options& options)
    -> program_replay_result;

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_UNIT_TESTS_DISPATCH_ADMISSION_REPLAY_H_
