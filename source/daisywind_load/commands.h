// The subcommands of daisywind-load. Each gets the command line from its own
// name on and returns the exit status of the process.
#ifndef DAISYWIND_LOAD_COMMANDS_H_
#define DAISYWIND_LOAD_COMMANDS_H_

namespace daisywind {

// Runs policy experiments from their JSON files. Returns 1 when a file is
// invalid or can't be read, 2 when none is named.
auto RunExperimentCommand(int argc, char** argv) -> int;

// Measures and prints the latency of scheduling decisions.
auto RunBenchmarkCommand(int argc, char** argv) -> int;

// Runs a load test against gateways and writes a report. Returns 1 when a
// response had wrong content, 2 when an option is invalid or the report can't
// be written.
auto RunLoadCommand(int argc, char** argv) -> int;

}  // namespace daisywind

#endif  // DAISYWIND_LOAD_COMMANDS_H_
