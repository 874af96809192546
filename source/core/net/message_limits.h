// Limits on the memory for messages of others.
#ifndef DAISYWIND_NET_MESSAGE_LIMITS_H_
#define DAISYWIND_NET_MESSAGE_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace daisywind::net {

// Maximum size of the parts of a message that a parser needs as a whole, other
// than its head: the line of a chunk with its extensions, and the trailer.
inline constexpr auto kMaxParserBytes = std::size_t{64} * 1024;

// Logs that a message exceeded a memory limit, which has ended its exchange,
// and counts it.
auto ReportOversized(std::string_view source, std::string_view reason) -> void;

// Number of such messages of this process.
auto OversizedMessages() -> std::uint64_t;

}  // namespace daisywind::net

#endif  // DAISYWIND_NET_MESSAGE_LIMITS_H_
