// Command line, settings and start of logging, common to all server programs.
#ifndef DAISYWIND_PROCESS_PROCESS_MAIN_H_
#define DAISYWIND_PROCESS_PROCESS_MAIN_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "common/log_events.h"
#include "common/settings.h"

namespace daisywind::process {

// The parts of a server program that differ from others.
struct program {
  std::string name;
  std::string help;
  settings_schema schema;
  // Checks constraints that involve several settings. May be empty.
  std::function<leaf::result<void>(const settings& values)> check;
  // Runs the program until it is stopped and returns its exit status. `reload`
  // reads the settings again; it returns nothing when they are invalid.
  std::function<int(const settings& values,
                    const std::function<std::optional<settings>()>& reload)>
      run;
};

// Parses the command line, reads and checks the settings, and runs the program.
// Returns the exit status: 2 on an invalid command line or invalid settings.
auto Main(const program& definition, int argc, char** argv) -> int;

// Calls `attempt` until it returns an exit status. Without one, or with an
// exception before that, the program could not start: an address, a file or
// another resource may be taken for a moment, so it is tried again after a
// pause and a line in the log.
auto StartUntilDone(const std::function<std::optional<int>()>& attempt) -> int;

// Starts bounded logging at the configured severity and logs the start of the
// program.
auto StartLog(std::string_view program, const settings& values) -> void;

// Parses the name of a severity. Returns kInfo for any other text.
auto ParseLogLevel(std::string_view text) -> log_level;

}  // namespace daisywind::process

#endif  // DAISYWIND_PROCESS_PROCESS_MAIN_H_
