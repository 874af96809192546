// Codec of the messages between membership systems, with FlatBuffers.
#ifndef DAISYWIND_MEMBERSHIP_WIRE_CODEC_H_
#define DAISYWIND_MEMBERSHIP_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "membership/messages.h"

namespace daisywind::membership {

// Renders a message as bytes.
auto EncodeMessage(const message& content) -> std::string;

// Reads a message. Returns nothing on any bytes that are not one.
auto DecodeMessage(std::string_view bytes) -> std::optional<message>;

}  // namespace daisywind::membership

#endif  // DAISYWIND_MEMBERSHIP_WIRE_CODEC_H_
