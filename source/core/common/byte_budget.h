// Bounds the memory that many holders use together.
#ifndef DAISYWIND_COMMON_BYTE_BUDGET_H_
#define DAISYWIND_COMMON_BYTE_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

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

// The bytes that one holder has taken from a budget. Returns them at its end.
class byte_share {
 public:
  // Without a budget the share is not limited.
  explicit byte_share(std::shared_ptr<byte_budget> budget = nullptr)
      : budget_(std::move(budget)) {}
  byte_share(const byte_share&) = delete;
  auto operator=(const byte_share&) -> byte_share& = delete;
  ~byte_share() { Resize(0); }

  // Changes the share to a number of bytes. Returns false, and changes nothing,
  // when the budget does not have so many left.
  auto Resize(std::size_t bytes) -> bool {
    if (budget_ != nullptr && bytes > held_ && !budget_->Take(bytes - held_)) {
      return false;
    }
    if (budget_ != nullptr && bytes < held_) {
      budget_->Return(held_ - bytes);
    }
    held_ = bytes;
    return true;
  }

 private:
  std::shared_ptr<byte_budget> budget_;
  std::size_t held_ = 0;
};

// Empties a value and frees its memory. Assigning an empty string, or an
// aggregate of them, keeps the memory of the old one.
template <class Value>
auto FreeMemory(Value& value) -> void {
  auto empty = Value{};
  std::swap(value, empty);
}

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_BYTE_BUDGET_H_
