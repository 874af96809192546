#include "membership_wire/codec.h"

#include <membership_generated.h>
#include <cstdint>

#include "wire/mapping.h"
#include "wire/union_codec.h"

namespace daisywind {

template <class Direction>
auto Fields(Direction& codec,
            wire::domain_of<Direction, vm_ref>& value,
            membership::fbs::VmRefT& object) -> void {
  codec.Name(value.vm, object.vm);
  codec.Number(value.run, object.run);
}

}  // namespace daisywind

namespace daisywind::membership {

// `domain_of` is the type of the value in the given direction: const when it is
// encoded. It has nothing to do with failure domains.
using wire::domain_of;

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, member>& value,
            fbs::MemberT& object) -> void {
  codec.Object(value.ref, object.ref);
  codec.Number(value.refutation, object.refutation);
  codec.Enumerator(value.state, object.state, /*last=*/member_state::kLeft);
  codec.Text(value.address, object.address);
  codec.Name(value.failure_domain, object.failure_domain);
  codec.Name(value.region, object.region);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, ping>& value,
            fbs::PingT& object) -> void {
  codec.Number(value.sequence, object.sequence);
  codec.Object(value.target, object.target);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, ping_req>& value,
            fbs::PingReqT& object) -> void {
  codec.Number(value.sequence, object.sequence);
  codec.Object(value.target, object.target);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, ack>& value,
            fbs::AckT& object) -> void {
  codec.Number(value.sequence, object.sequence);
  codec.Object(value.answered_by, object.answered_by);
}

template <class Direction>
auto Fields(Direction& /*codec*/,
            domain_of<Direction, join>& /*value*/,
            fbs::JoinT& /*object*/) -> void {}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, sync>& value,
            fbs::SyncT& object) -> void {
  codec.Number(value.live_members_digest, object.view_digest);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, page>& value,
            fbs::PageT& object) -> void {
  codec.Objects(value.members, object.members);
  codec.Number(value.wants_answer, object.wants_answer);
}

template <class Direction>
auto Fields(Direction& /*codec*/,
            domain_of<Direction, leave>& /*value*/,
            fbs::LeaveT& /*object*/) -> void {}

namespace {

template <class T>
struct body_object;
template <>
struct body_object<ping> {
  using type = fbs::PingT;
};
template <>
struct body_object<ping_req> {
  using type = fbs::PingReqT;
};
template <>
struct body_object<ack> {
  using type = fbs::AckT;
};
template <>
struct body_object<join> {
  using type = fbs::JoinT;
};
template <>
struct body_object<sync> {
  using type = fbs::SyncT;
};
template <>
struct body_object<page> {
  using type = fbs::PageT;
};
template <>
struct body_object<leave> {
  using type = fbs::LeaveT;
};

auto IsWithinBounds(const message& content) -> bool {
  const auto* part = std::get_if<page>(&content.body);
  const auto is_page_small =
      part == nullptr || part->members.size() <= kMaxMembersPerPage;
  return is_page_small && content.updates.size() <= kMaxUpdatesPerMessage;
}

}  // namespace

auto EncodeMessage(const message& content) -> std::string {
  auto codec = wire::wire_encoder();
  auto object = fbs::MessageT();
  codec.Object(content.sender, object.sender);
  wire::WriteUnion<body_object>(codec, content.body, object.body);
  codec.Objects(content.updates, object.updates);
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
  codec.Object(content.sender, object.sender);
  wire::ReadUnion<body_object, fbs::BodyUnionTraits>(codec, content.body,
                                                     object.body);
  codec.Objects(content.updates, object.updates);
  if (!codec.IsValid() || !IsWithinBounds(content)) {
    return std::nullopt;
  }
  return content;
}

}  // namespace daisywind::membership
