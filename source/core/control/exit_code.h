// Exit codes of daisywind-ctl. docs/CONFIGURATION.md lists them.
#ifndef DAISYWIND_CONTROL_EXIT_CODE_H_
#define DAISYWIND_CONTROL_EXIT_CODE_H_

#include <cstdint>

namespace daisywind::control {

enum class exit_code : std::uint8_t {
  kDone = 0,
  // The command line or a file is invalid; nothing was sent.
  kUsage = 2,
  // The newest version is not the one that the patch is for; the patch was not
  // accepted.
  kConflict = 3,
  // Rejected: the patch, the document or the operator key is invalid.
  kRefused = 4,
  // No response or a server error; nothing was changed. Also the end of a watch
  // whose version was not in force on all VMs in time.
  kUnavailable = 5,
  // The patch may have been accepted. Retry it with the same patch id.
  kInDoubt = 6,
};

}  // namespace daisywind::control

#endif  // DAISYWIND_CONTROL_EXIT_CODE_H_
