// The command line of the stand-ins.
#ifndef DAISYWIND_DAISYWIND_STANDIN_OPTIONS_PARSER_H_
#define DAISYWIND_DAISYWIND_STANDIN_OPTIONS_PARSER_H_

#include <string>
#include <variant>

#include "standin/options.h"

namespace daisywind::standin {

// A validated command line.
struct command_line {
  std::string role;
  net::socket_address listen;
  // File to which the bound port is written; empty for none.
  std::string port_file;
  stand_in_options options;
};

// Text to print, and the exit status, when the program must not start.
struct early_exit {
  int status = 0;
  std::string text;
};

// Parses and validates the command line. Returns an early_exit for --help,
// --version and usage errors. The role name is not checked here.
auto ParseCommandLine(int argc, char** argv)
    -> std::variant<command_line, early_exit>;

}  // namespace daisywind::standin

#endif  // DAISYWIND_DAISYWIND_STANDIN_OPTIONS_PARSER_H_
