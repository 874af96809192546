// Bounds the memory that many holders use together.
#ifndef DAISYWIND_COMMON_BYTE_BUDGET_H_
#define DAISYWIND_COMMON_BYTE_BUDGET_H_

#include <cstddef>

namespace daisywind {

// Bytes that may be held at the same time. Used on one thread.
class byte_budget {
 public:
  explicit byte_budget(std::size_t limit) : limit_(limit) {}

  // Takes bytes if so many are left. Returns whether it did.
  [[nodiscard]] auto Take(std::size_t bytes) -> bool {
    if (bytes > limit_ - held_) {
      return false;
    }
    held_ += bytes;
    return true;
  }

  // Returns bytes that were taken.
  auto Return(std::size_t bytes) -> void { held_ -= bytes; }

  [[nodiscard]] auto held() const -> std::size_t { return held_; }

 private:
  std::size_t limit_;
  std::size_t held_ = 0;
};

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_BYTE_BUDGET_H_
