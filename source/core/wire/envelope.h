// Envelope of every frame sent between VMs.
#ifndef DAISYWIND_WIRE_ENVELOPE_H_
#define DAISYWIND_WIRE_ENVELOPE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/ids.h"

namespace daisywind::wire {

// Protocol of a payload, which is decoded by the library of that name.
enum class protocol : std::uint8_t {
  kHello = 0,
  kProgram = 1,
  kConfiguration = 2,
  kMembership = 3,
  kPolicy = 4,
};

// Content of one frame: a payload with its sender, its intended receiver and
// the address on which the sender accepts frames.
struct envelope {
  vm_ref from;
  // Incarnation of the receiver that the payload is for; zero means any.
  incarnation to_incarnation = 0;
  std::string address;
  protocol payload_protocol = protocol::kHello;
  std::string payload;

  auto operator<=>(const envelope&) const = default;
};

// Encodes an envelope as the bytes of one frame.
auto EncodeEnvelope(const envelope& content) -> std::string;

// Decodes the bytes of one frame. Returns nothing when they are not a valid
// envelope.
auto DecodeEnvelope(std::string_view bytes) -> std::optional<envelope>;

}  // namespace daisywind::wire

#endif  // DAISYWIND_WIRE_ENVELOPE_H_
