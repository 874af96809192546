// The FlatBuffers form of the messages between VMs, see schema/program.fbs.
#ifndef DAISYWIND_PROGRAM_WIRE_PROGRAM_WIRE_H_
#define DAISYWIND_PROGRAM_WIRE_PROGRAM_WIRE_H_

#include <optional>
#include <string>
#include <string_view>

#include "program/messages.h"

namespace daisywind::program_wire {

// Encodes a message.
auto EncodeMessage(const program::message& item) -> std::string;

// Decodes a message. Returns nothing when the bytes are not a valid message;
// it reads nothing outside of them.
auto DecodeMessage(std::string_view bytes) -> std::optional<program::message>;

}  // namespace daisywind::program_wire

#endif  // DAISYWIND_PROGRAM_WIRE_PROGRAM_WIRE_H_
