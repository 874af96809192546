// Exit codes of the operator's program. docs/CONFIGURATION.md lists them.
#ifndef DAISYWIND_CONTROL_EXIT_CODE_H_
#define DAISYWIND_CONTROL_EXIT_CODE_H_

#include <cstdint>

namespace daisywind::control {

enum class exit_code : std::uint8_t {
  kDone = 0,
  // The command line or a file is wrong; nothing was sent.
  kUsage = 2,
  // Another version is the newest; the patch was not accepted.
  kConflict = 3,
  // Refused: the patch or document is invalid, or the key is.
  kRefused = 4,
  // No answer could be had; nothing was changed.
  kUnavailable = 5,
  // The patch may have been accepted. Repeat it under the same patch id.
  kInDoubt = 6,
};

}  // namespace daisywind::control

#endif  // DAISYWIND_CONTROL_EXIT_CODE_H_
