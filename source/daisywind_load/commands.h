// The subcommands of daisywind-load. Each takes the command line from its own
// name on and returns the exit status of the process.
#ifndef DAISYWIND_LOAD_COMMANDS_H_
#define DAISYWIND_LOAD_COMMANDS_H_

namespace daisywind {

// Runs policy experiments from their JSON files.
auto RunExperimentCommand(int argc, char** argv) -> int;

// Prints the time of scheduling decisions.
auto RunBenchmarkCommand(int argc, char** argv) -> int;

// Drives gateways with programs and writes a report. The arguments begin with
// the name of the subcommand. Returns 1 after a wrong answer.
auto RunLoadCommand(int argc, char** argv) -> int;

}  // namespace daisywind

#endif  // DAISYWIND_LOAD_COMMANDS_H_
