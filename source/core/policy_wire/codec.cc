#include "policy_wire/codec.h"

#include <policy_generated.h>
#include <cstdint>

#include "wire/mapping.h"

namespace daisywind::policy {

// `domain_of` is the type of the value in the given direction: const when it is
// encoded.
using wire::domain_of;

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, crash_evidence>& value,
            fbs::CrashEvidenceT& object) -> void {
  codec.Name(value.endpoint, object.endpoint);
  // `window_us` is a point in time, not a length of time.
  codec.Instant(value.observed_at, object.window_us);
  codec.Digests(value.bodies, object.bodies);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, quarantine_message>& value,
            fbs::QuarantineMessageT& object) -> void {
  codec.Objects(value.crashes, object.crashes);
  codec.Digests(value.cleared, object.cleared);
}

auto EncodeMessage(const quarantine_message& content) -> std::string {
  auto codec = wire::wire_encoder();
  auto object = fbs::QuarantineMessageT();
  Fields(codec, content, object);
  auto builder = flatbuffers::FlatBufferBuilder();
  fbs::FinishQuarantineMessageBuffer(
      builder, fbs::QuarantineMessage::Pack(builder, &object));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

auto DecodeMessage(std::string_view bytes)
    -> std::optional<quarantine_message> {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  auto verifier = flatbuffers::Verifier(data, bytes.size());
  if (!fbs::VerifyQuarantineMessageBuffer(verifier)) {
    return std::nullopt;
  }
  auto object = fbs::QuarantineMessageT();
  fbs::GetQuarantineMessage(data)->UnPackTo(&object);
  auto codec = wire::wire_decoder();
  auto content = quarantine_message();
  Fields(codec, content, object);
  if (!codec.IsValid()) {
    return std::nullopt;
  }
  return content;
}

}  // namespace daisywind::policy
