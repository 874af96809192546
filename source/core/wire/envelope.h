// The envelope of every frame between two VMs.
#ifndef DAISYWIND_WIRE_ENVELOPE_H_
#define DAISYWIND_WIRE_ENVELOPE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/ids.h"

namespace daisywind::wire {

// The library that a payload belongs to.
enum class protocol : std::uint8_t {
  kHello = 0,
  kProgram = 1,
  kConfiguration = 2,
  kMembership = 3,
  kPolicy = 4,
};

// One frame: its sender, where the sender takes frames, and a message.
struct envelope {
  vm_ref from;
  // Run of the receiver that the message is for; zero for any.
  incarnation to_run = 0;
  std::string address;
  protocol kind = protocol::kHello;
  std::string payload;

  auto operator<=>(const envelope&) const = default;
};

// Renders an envelope as the bytes of one frame.
auto EncodeEnvelope(const envelope& message) -> std::string;

// Reads the bytes of one frame. Returns nothing when they are no envelope.
auto DecodeEnvelope(std::string_view bytes) -> std::optional<envelope>;

}  // namespace daisywind::wire

#endif  // DAISYWIND_WIRE_ENVELOPE_H_
