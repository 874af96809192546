#include "program_wire/program_wire.h"

#include <flatbuffers/flatbuffers.h>

#include <cstdint>

#include "program_wire/walkers.h"

namespace daisywind::program_wire {

auto EncodeMessage(const program::message& item) -> std::string {
  auto native = MessageT{};
  auto walk = encoder{};
  // The walk is shared with the decoder; an encoder only reads the message.
  walk(const_cast<program::message&>(item), native.body);
  auto builder = flatbuffers::FlatBufferBuilder{};
  builder.Finish(Message::Pack(builder, &native));
  return std::string{reinterpret_cast<const char*>(builder.GetBufferPointer()),
                     builder.GetSize()};
}

auto DecodeMessage(std::string_view bytes) -> std::optional<program::message> {
  // Words are read in place, so the bytes must begin at an aligned address.
  auto aligned = std::vector<std::uint64_t>(
      (bytes.size() + sizeof(std::uint64_t) - 1) / sizeof(std::uint64_t));
  if (bytes.empty()) {
    return std::nullopt;
  }
  std::memcpy(aligned.data(), bytes.data(), bytes.size());
  const auto* data = reinterpret_cast<const std::uint8_t*>(aligned.data());
  auto verifier = flatbuffers::Verifier{data, bytes.size()};
  if (!VerifyMessageBuffer(verifier)) {
    return std::nullopt;
  }
  auto native = MessageT{};
  GetMessage(data)->UnPackTo(&native);
  auto item = program::message{};
  auto walk = decoder{};
  walk(item, native.body);
  if (!walk.is_valid) {
    return std::nullopt;
  }
  return item;
}

}  // namespace daisywind::program_wire
