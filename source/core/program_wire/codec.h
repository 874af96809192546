// Encodes and decodes the messages between program systems with FlatBuffers.
#ifndef DAISYWIND_PROGRAM_WIRE_CODEC_H_
#define DAISYWIND_PROGRAM_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "program/messages.h"

namespace daisywind::program {

// Encodes a message.
auto EncodeMessage(const message& content) -> std::string;

// Decodes a message. Returns nothing if the bytes are not a valid message.
auto DecodeMessage(std::string_view bytes) -> std::optional<message>;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_WIRE_CODEC_H_
