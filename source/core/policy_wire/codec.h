// Codec of the messages between schedulers, with FlatBuffers.
#ifndef DAISYWIND_POLICY_WIRE_CODEC_H_
#define DAISYWIND_POLICY_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "policy/types.h"

namespace daisywind::policy {

// Renders a message as bytes.
auto EncodeMessage(const quarantine_message& content) -> std::string;

// Reads a message. Returns nothing on any bytes that are not one.
auto DecodeMessage(std::string_view bytes) -> std::optional<quarantine_message>;

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_WIRE_CODEC_H_
