// FlatBuffers encoding of membership messages. The schema is
// schema/membership.fbs.
#ifndef DAISYWIND_MEMBERSHIP_WIRE_MESSAGE_CODEC_H_
#define DAISYWIND_MEMBERSHIP_WIRE_MESSAGE_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "membership/messages.h"

namespace daisywind::membership {

// The largest encoded message accepted, in bytes.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{32} * 1024;

// Encodes a message.
auto EncodeMessage(const message& content) -> std::string;

// Decodes a message. Returns nothing when the bytes are no message, are longer
// than kMaxMessageBytes, or exceed the bounds of messages.h.
auto DecodeMessage(std::string_view bytes) -> std::optional<message>;

}  // namespace daisywind::membership

#endif  // DAISYWIND_MEMBERSHIP_WIRE_MESSAGE_CODEC_H_
