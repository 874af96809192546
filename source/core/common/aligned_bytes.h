// A copy of a buffer at an aligned address, as FlatBuffers requires it.
#ifndef DAISYWIND_COMMON_ALIGNED_BYTES_H_
#define DAISYWIND_COMMON_ALIGNED_BYTES_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace daisywind {

class aligned_bytes {
 public:
  explicit aligned_bytes(std::string_view from)
      : words_((from.size() + kAlignment - 1) / kAlignment) {
    std::copy(from.begin(), from.end(), reinterpret_cast<char*>(words_.data()));
  }

  [[nodiscard]] auto data() const -> const std::uint8_t* {
    return reinterpret_cast<const std::uint8_t*>(words_.data());
  }

 private:
  static constexpr std::size_t kAlignment = sizeof(std::uint64_t);

  std::vector<std::uint64_t> words_;
};

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_ALIGNED_BYTES_H_
