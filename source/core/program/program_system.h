// Programs at one VM: its roles as entry, owner, witness and arbiter.
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

// Counters and sizes of the program system.
struct program_stats {
  std::size_t owned = 0;
  std::size_t witnessed = 0;
  std::size_t votes = 0;
  std::size_t waiting_requests = 0;
  std::size_t running_calls = 0;
  std::size_t releases_pending = 0;
  std::uint64_t takeovers = 0;
  std::uint64_t changes = 0;
  std::uint64_t handovers = 0;
  std::uint64_t lost_programs = 0;

  auto operator<=>(const program_stats&) const = default;
};

struct system_tables;

// Decides about programs. It does no I/O and reads no clock: events come in
// with the time, commands go out.
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

  // Takes in one event.
  auto Handle(const event& input, instant now) -> std::vector<command>;

  // Lets time pass. Call at least ten times a second.
  auto Tick(instant now) -> std::vector<command>;

  // True when a requested shutdown has nothing left to hand over.
  [[nodiscard]] auto IsDrained() const -> bool;

  [[nodiscard]] auto Stats() const -> program_stats;

  // Programs owned here, at most `limit` of them.
  [[nodiscard]] auto OwnedPrograms(std::size_t limit) const
      -> std::vector<program_view>;

  // An estimate in bytes of the memory that all programs take here.
  [[nodiscard]] auto MemoryEstimate() const -> std::size_t;

 private:
  std::unique_ptr<system_tables> tables_;
};

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_PROGRAM_SYSTEM_H_
