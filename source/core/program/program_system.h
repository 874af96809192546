// The programs that one VM takes part in. As entry it forwards callers'
// requests, as owner it runs a program, as witness it keeps a replica of the
// program's state, and as arbiter it only votes on the next replica set.
#ifndef DAISYWIND_PROGRAM_PROGRAM_SYSTEM_H_
#define DAISYWIND_PROGRAM_PROGRAM_SYSTEM_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "common/time.h"
#include "program/commands.h"
#include "program/events.h"
#include "program/program_options.h"
#include "program/types.h"

namespace daisywind::program {

// Statistics of the program system: current sizes, and counters since its
// start.
struct program_stats {
  std::size_t owned = 0;
  std::size_t witnessed = 0;
  std::size_t votes = 0;
  // Pending requests of local callers.
  std::size_t waiting_requests = 0;
  // Live calls of owned programs.
  std::size_t running_calls = 0;
  std::size_t releases_pending = 0;
  // Times that this VM became an owner after being a witness.
  std::uint64_t takeovers = 0;
  // Reconfigurations that were decided by proposals of this VM.
  std::uint64_t changes = 0;
  std::uint64_t handovers = 0;
  // Programs given up because their replica set lost its majority.
  std::uint64_t lost_programs = 0;

  auto operator<=>(const program_stats&) const = default;
};

struct system_tables;

// The state machine for programs. It does no I/O and reads no clock: it gets
// events with the current time and returns the commands to execute.
class program_system {
 public:
  program_system(const program_options& options,
                 const vm_ref& self,
                 std::uint64_t seed);
  ~program_system();
  program_system(program_system&&) noexcept;
  auto operator=(program_system&&) noexcept -> program_system&;
  program_system(const program_system&) = delete;
  auto operator=(const program_system&) -> program_system& = delete;

  // Handles one event.
  auto Handle(const event& input, instant now) -> std::vector<command>;

  // Runs the timers that are due. Call at least ten times a second.
  auto Tick(instant now) -> std::vector<command>;

  // True when a shutdown was requested and nothing is left to hand over or to
  // finish.
  [[nodiscard]] auto IsDrained() const -> bool;

  [[nodiscard]] auto Stats() const -> program_stats;

  // Views of the programs owned here, at most `limit` of them.
  [[nodiscard]] auto OwnedPrograms(std::size_t limit) const
      -> std::vector<program_view>;

  // Estimated memory use of all programs at this VM in bytes.
  [[nodiscard]] auto MemoryEstimate() const -> std::size_t;

 private:
  std::unique_ptr<system_tables> tables_;
};

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_PROGRAM_SYSTEM_H_
