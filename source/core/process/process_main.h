// Command line and settings, the same for all server programs.
#ifndef DAISYWIND_PROCESS_PROCESS_MAIN_H_
#define DAISYWIND_PROCESS_PROCESS_MAIN_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "common/log_events.h"
#include "common/settings.h"

namespace daisywind::process {

// What a program adds to the common frame.
struct program {
  std::string name;
  std::string help;
  settings_schema schema;
  // Checks what no single setting shows.
  std::function<leaf::result<void>(const settings& values)> check;
  // Runs until the program is to end and returns its exit status. Reload reads
  // the settings file again, or returns nothing when it is not valid.
  std::function<int(const settings& values,
                    const std::function<std::optional<settings>()>& reload)>
      run;
};

// Parses the command line, reads and checks the settings, and runs the program.
auto Main(const program& what, int argc, char** argv) -> int;

// Starts bounded logging and says that a program has started on a VM.
auto StartLog(std::string_view program, const settings& values) -> void;

// The severity of a name, or information for any other text.
auto ParseLogLevel(std::string_view text) -> log_level;

}  // namespace daisywind::process

#endif  // DAISYWIND_PROCESS_PROCESS_MAIN_H_
