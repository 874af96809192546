// Length prefix of a frame: a 32-bit little-endian integer.
#ifndef DAISYWIND_NET_FRAME_LENGTH_H_
#define DAISYWIND_NET_FRAME_LENGTH_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace daisywind::net {

inline constexpr auto kLengthBytes = std::size_t{4};

using length_bytes = std::array<std::uint8_t, kLengthBytes>;

inline auto EncodeLength(std::size_t length) -> length_bytes {
  auto bytes = length_bytes{};
  for (auto i = std::size_t{0}; i < kLengthBytes; ++i) {
    bytes[i] = static_cast<std::uint8_t>(length >> (8 * i));
  }
  return bytes;
}

inline auto DecodeLength(const length_bytes& bytes) -> std::size_t {
  auto length = std::size_t{0};
  for (auto i = std::size_t{0}; i < kLengthBytes; ++i) {
    length |= std::size_t{bytes[i]} << (8 * i);
  }
  return length;
}

}  // namespace daisywind::net

#endif  // DAISYWIND_NET_FRAME_LENGTH_H_
