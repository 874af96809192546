#include "program_wire/codec.h"

#include <cstdint>

#include "program_wire/fields.h"

namespace daisywind::program {

auto EncodeMessage(const message& content) -> std::string {
  auto codec = wire::wire_encoder();
  auto object = fbs::MessageT();
  wire::WriteUnion<body_object>(codec, content, object.body);
  auto builder = flatbuffers::FlatBufferBuilder();
  fbs::FinishMessageBuffer(builder, fbs::Message::Pack(builder, &object));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

auto DecodeMessage(std::string_view bytes) -> std::optional<message> {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  auto verifier = flatbuffers::Verifier(data, bytes.size());
  if (!fbs::VerifyMessageBuffer(verifier)) {
    return std::nullopt;
  }
  auto object = fbs::MessageT();
  fbs::GetMessage(data)->UnPackTo(&object);
  auto codec = wire::wire_decoder();
  auto content = message();
  wire::ReadUnion<body_object, fbs::BodyUnionTraits>(codec, content,
                                                     object.body);
  if (!codec.IsValid()) {
    return std::nullopt;
  }
  return content;
}

}  // namespace daisywind::program
