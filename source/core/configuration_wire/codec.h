// FlatBuffers codec for the messages between configuration systems.
#ifndef DAISYWIND_CONFIGURATION_WIRE_CODEC_H_
#define DAISYWIND_CONFIGURATION_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "configuration/messages.h"

namespace daisywind::configuration {

auto EncodeMessage(const message& content) -> std::string;

// Returns nothing when the bytes are not a valid message.
auto DecodeMessage(std::string_view bytes) -> std::optional<message>;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_WIRE_CODEC_H_
