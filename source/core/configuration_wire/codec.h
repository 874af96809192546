// Codec of the messages between configuration systems, with FlatBuffers.
#ifndef DAISYWIND_CONFIGURATION_WIRE_CODEC_H_
#define DAISYWIND_CONFIGURATION_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "configuration/messages.h"

namespace daisywind::configuration {

// Renders a message as bytes.
auto EncodeMessage(const message& content) -> std::string;

// Reads a message. Returns nothing on any bytes that are not one.
auto DecodeMessage(std::string_view bytes) -> std::optional<message>;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_WIRE_CODEC_H_
