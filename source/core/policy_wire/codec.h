// FlatBuffers encoding of the messages between schedulers.
#ifndef DAISYWIND_POLICY_WIRE_CODEC_H_
#define DAISYWIND_POLICY_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "policy/types.h"

namespace daisywind::policy {

auto EncodeMessage(const quarantine_message& content) -> std::string;

// Decodes a message. Returns nothing if the bytes are malformed.
auto DecodeMessage(std::string_view bytes) -> std::optional<quarantine_message>;

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_WIRE_CODEC_H_
