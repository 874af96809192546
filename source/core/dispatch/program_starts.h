// Tells requests that start an agent program from those of programs under way.
#ifndef DAISYWIND_DISPATCH_PROGRAM_STARTS_H_
#define DAISYWIND_DISPATCH_PROGRAM_STARTS_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "common/time.h"
#include "dispatch/types.h"

namespace daisywind::dispatch {

// Limit on the programs that an organisation starts.
struct program_limit {
  double per_second = 0;
  double burst = 0;

  auto operator<=>(const program_limit&) const = default;
};

// Returns how many programs an organisation's request limit lets finish. A
// program needs its requests over several seconds and not all at once, so the
// limit is a little above the mean.
auto ProgramLimit(const organisation& of, double requests_per_program)
    -> program_limit;

// Remembers the programs whose requests this VM has seen, and learns how many
// requests a program makes.
class program_starts {
 public:
  // Number of programs that are remembered.
  static constexpr auto kMaxPrograms = std::size_t{8192};

  // Whether a request is the first of its program: a turn that continues none,
  // of a program that this VM does not know. The program may be known
  // elsewhere: then its prompt has more than a shared part and one turn's own,
  // since the prompts of later turns and of sub-agents contain those before
  // them. `turn_tokens` is what a turn adds to a prompt on average, if it is
  // known.
  [[nodiscard]] auto IsStart(const call& request,
                             const route& from,
                             std::string_view program,
                             std::optional<std::uint64_t> turn_tokens) const
      -> bool;

  // Records a request of a program.
  auto OnRequest(std::string_view program, bool is_start, instant now) -> void;

  // Forgets a program whose first request was refused: a retry starts it again.
  auto OnStartRefused(std::string_view program) -> void;

  // Mean number of requests of a program, at least one.
  [[nodiscard]] auto RequestsPerProgram() const -> double;

 private:
  std::list<std::string> by_recency_;
  std::unordered_map<std::string_view, std::list<std::string>::iterator>
      programs_;
  // Counts of the last seconds, each weighted down exponentially with its age.
  double requests_ = 0;
  double starts_ = 0;
  instant counted_at_{};
};

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_PROGRAM_STARTS_H_
