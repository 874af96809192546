// Writes the installed version back to a service that was restored from an old
// copy, since an accepted version never reverts.
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

  // Starts a restore when an outdated head was met, and goes on with it.
  auto Advance(instant now) -> void;

  // True once after each restore that has ended, so that the head is read.
  auto TakeEnded() -> bool;

 private:
  auto Begin() -> void;
  auto WriteNext() -> void;
  auto HandleResult(const kv_result& result) -> void;

  system_state* state_;
  std::optional<instant> begin_at_;
  std::vector<kv::txn_request> writes_;
  std::size_t written_ = 0;
  bool is_running_ = false;
  bool has_ended_ = false;
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_HEAD_RESTORE_H_
