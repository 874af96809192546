// Lossless compression of byte strings (RFC 1951, without a header).
#ifndef DAISYWIND_COMMON_DEFLATE_H_
#define DAISYWIND_COMMON_DEFLATE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace daisywind {

auto Deflate(std::string_view bytes) -> std::string;

// Returns the `size` bytes that were compressed, or nothing if the input is not
// a whole compressed string of that size.
auto Inflate(std::string_view deflated, std::size_t size)
    -> std::optional<std::string>;

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_DEFLATE_H_
