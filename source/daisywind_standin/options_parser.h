// The command line of the stand-ins.
#ifndef DAISYWIND_DAISYWIND_STANDIN_OPTIONS_PARSER_H_
#define DAISYWIND_DAISYWIND_STANDIN_OPTIONS_PARSER_H_

#include <string>
#include <variant>

#include "standin/options.h"

namespace daisywind::standin {

// A whole command line.
struct command_line {
  std::string role;
  net::socket_address listen;
  // A file that gets the bound port; empty for none.
  std::string port_file;
  stand_in_options options;
};

// Text to print instead of a start, and the exit status that goes with it.
struct early_exit {
  int status = 0;
  std::string text;
};

// Parses the command line.
auto ParseCommandLine(int argc, char** argv)
    -> std::variant<command_line, early_exit>;

}  // namespace daisywind::standin

#endif  // DAISYWIND_DAISYWIND_STANDIN_OPTIONS_PARSER_H_
