// Writes the installed version back to a key-value service that was restored
// from an outdated backup, because an accepted version must never be reverted.
#ifndef DAISYWIND_CONFIGURATION_HEAD_RESTORE_H_
#define DAISYWIND_CONFIGURATION_HEAD_RESTORE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "configuration/system_state.h"

namespace daisywind::configuration {

class head_restore {
 public:
  explicit head_restore(system_state& state) : state_(&state) {}

  // Starts a restore after a random delay once an outdated head has been read.
  auto Advance(instant now) -> void;

  // Returns true once after each finished restore, whether it succeeded or not.
  // The caller must then read the head again.
  auto TakeFinished() -> bool;

 private:
  auto Begin() -> void;
  auto WriteNext() -> void;
  auto HandleResult(const kv_result& result) -> void;

  system_state* state_;
  std::optional<instant> begin_at_;
  std::vector<kv::txn_request> writes_;
  std::size_t written_ = 0;
  bool is_running_ = false;
  bool has_finished_ = false;
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_HEAD_RESTORE_H_
