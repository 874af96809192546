// FlatBuffers encoding of the membership messages.
#ifndef DAISYWIND_MEMBERSHIP_WIRE_CODEC_H_
#define DAISYWIND_MEMBERSHIP_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "membership/messages.h"

namespace daisywind::membership {

auto EncodeMessage(const message& content) -> std::string;

// Decodes a message. Returns nothing if the bytes are malformed or exceed the
// limits in membership/messages.h.
auto DecodeMessage(std::string_view bytes) -> std::optional<message>;

}  // namespace daisywind::membership

#endif  // DAISYWIND_MEMBERSHIP_WIRE_CODEC_H_
