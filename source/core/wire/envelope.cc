#include "wire/envelope.h"

#include <envelope_generated.h>

namespace daisywind::wire {

auto EncodeEnvelope(const envelope& content) -> std::string {
  auto builder = flatbuffers::FlatBufferBuilder();
  const auto vm = builder.CreateString(content.from.vm.value);
  const auto address = builder.CreateString(content.address);
  const auto payload = builder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(content.payload.data()),
      content.payload.size());
  const auto root = fbs::CreateEnvelope(
      builder, vm, content.from.run, content.to_incarnation, address,
      static_cast<fbs::Protocol>(content.payload_protocol), payload);
  fbs::FinishEnvelopeBuffer(builder, root);
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

auto DecodeEnvelope(std::string_view bytes) -> std::optional<envelope> {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  auto verifier = flatbuffers::Verifier(data, bytes.size());
  if (!fbs::VerifyEnvelopeBuffer(verifier)) {
    return std::nullopt;
  }
  const auto* root = fbs::GetEnvelope(data);
  if (root->protocol() > fbs::Protocol_MAX) {
    return std::nullopt;
  }
  return envelope{
      {vm_id(root->vm()->str()), root->run()},
      root->to_run(),
      root->address()->str(),
      static_cast<protocol>(root->protocol()),
      {reinterpret_cast<const char*>(root->payload()->data()),
       root->payload()->size()},
  };
}

}  // namespace daisywind::wire
