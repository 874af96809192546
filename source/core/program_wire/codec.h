// Codec of the messages between program systems, with FlatBuffers.
#ifndef DAISYWIND_PROGRAM_WIRE_CODEC_H_
#define DAISYWIND_PROGRAM_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "program/messages.h"

namespace daisywind::program {

// Renders a message as bytes.
auto EncodeMessage(const message& content) -> std::string;

// Reads a message. Returns nothing on any bytes that are not one.
auto DecodeMessage(std::string_view bytes) -> std::optional<message>;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_WIRE_CODEC_H_
