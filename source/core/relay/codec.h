// FlatBuffers encoding of the relay messages.
#ifndef DAISYWIND_RELAY_CODEC_H_
#define DAISYWIND_RELAY_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "relay/messages.h"

namespace daisywind::relay {

// Encodes a message as the payload of one frame.
auto EncodeMessage(const message& from) -> std::string;

// Decodes the payload of one frame. Returns nothing when it is not a valid
// message.
auto DecodeMessage(std::string_view frame) -> std::optional<message>;

}  // namespace daisywind::relay

#endif  // DAISYWIND_RELAY_CODEC_H_
