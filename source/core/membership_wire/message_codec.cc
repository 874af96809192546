#include "membership_wire/message_codec.h"

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <utility>
#include <vector>

#include "membership_generated.h"

namespace daisywind::membership {
namespace {

constexpr std::size_t kInitialBytes = 512;

using builder = flatbuffers::FlatBufferBuilder;
using wire_members = flatbuffers::Vector<flatbuffers::Offset<wire::Member>>;

auto EncodeMember(builder& out, const member& record)
    -> flatbuffers::Offset<wire::Member> {
  const auto vm = out.CreateString(record.ref.vm.value);
  const auto address = out.CreateString(record.address);
  // Many members share these two.
  const auto domain = out.CreateSharedString(record.failure_domain.value);
  const auto region = out.CreateSharedString(record.region.value);
  return wire::CreateMember(out, vm, record.ref.run, record.refutation,
                            static_cast<wire::State>(record.state), address,
                            domain, region);
}

auto EncodeMembers(builder& out, const std::vector<member>& records)
    -> flatbuffers::Offset<wire_members> {
  auto items = std::vector<flatbuffers::Offset<wire::Member>>{};
  items.reserve(records.size());
  for (const auto& record : records) {
    items.push_back(EncodeMember(out, record));
  }
  return out.CreateVector(items);
}

// An encoded body and the tag of its type.
struct encoded_body {
  wire::Body type = wire::Body::NONE;
  flatbuffers::Offset<void> offset;
};

auto Encode(builder& out, const ping& body) -> encoded_body {
  const auto vm = out.CreateString(body.target.vm.value);
  const auto target = wire::CreateRef(out, vm, body.target.run);
  return {wire::Body::Ping,
          wire::CreatePing(out, body.sequence, target).Union()};
}

auto Encode(builder& out, const ping_req& body) -> encoded_body {
  const auto target = EncodeMember(out, body.target);
  return {wire::Body::PingReq,
          wire::CreatePingReq(out, body.sequence, target).Union()};
}

auto Encode(builder& out, const ack& body) -> encoded_body {
  const auto answered_by = EncodeMember(out, body.answered_by);
  return {wire::Body::Ack,
          wire::CreateAck(out, body.sequence, answered_by).Union()};
}

auto Encode(builder& out, const join& /*body*/) -> encoded_body {
  return {wire::Body::Join, wire::CreateJoin(out).Union()};
}

auto Encode(builder& out, const sync& body) -> encoded_body {
  return {wire::Body::Sync, wire::CreateSync(out, body.view_digest).Union()};
}

auto Encode(builder& out, const page& body) -> encoded_body {
  const auto members = EncodeMembers(out, body.members);
  return {wire::Body::Page,
          wire::CreatePage(out, members, body.wants_answer).Union()};
}

auto Encode(builder& out, const leave& /*body*/) -> encoded_body {
  return {wire::Body::Leave, wire::CreateLeave(out).Union()};
}

auto DecodeMember(const wire::Member& item) -> std::optional<member> {
  if (item.state() > wire::State::MAX) {
    return std::nullopt;
  }
  auto record = member{};
  record.ref = vm_ref{vm_id{item.vm()->str()}, item.run()};
  record.refutation = item.refutation();
  record.state = static_cast<member_state>(item.state());
  record.address = item.address()->str();
  record.failure_domain = failure_domain_id{item.failure_domain()->str()};
  record.region = region_id{item.region()->str()};
  return record;
}

auto DecodeMembers(const wire_members* items, std::size_t bound)
    -> std::optional<std::vector<member>> {
  auto records = std::vector<member>{};
  if (items == nullptr) {
    return records;
  }
  if (items->size() > bound) {
    return std::nullopt;
  }
  for (const auto* item : *items) {
    auto record = DecodeMember(*item);
    if (!record) {
      return std::nullopt;
    }
    records.push_back(std::move(*record));
  }
  return records;
}

auto DecodePing(const wire::Ping& item) -> std::optional<message_body> {
  const auto target =
      vm_ref{vm_id{item.target()->vm()->str()}, item.target()->run()};
  return ping{item.sequence(), target};
}

auto DecodePingReq(const wire::PingReq& item) -> std::optional<message_body> {
  auto target = DecodeMember(*item.target());
  if (!target) {
    return std::nullopt;
  }
  return ping_req{item.sequence(), std::move(*target)};
}

auto DecodeAck(const wire::Ack& item) -> std::optional<message_body> {
  auto answered_by = DecodeMember(*item.answered_by());
  if (!answered_by) {
    return std::nullopt;
  }
  return ack{item.sequence(), std::move(*answered_by)};
}

auto DecodePage(const wire::Page& item) -> std::optional<message_body> {
  auto members = DecodeMembers(item.members(), kMaxMembersPerPage);
  if (!members) {
    return std::nullopt;
  }
  return page{std::move(*members), item.wants_answer()};
}

auto DecodeBody(const wire::Message& item) -> std::optional<message_body> {
  switch (item.body_type()) {
    case wire::Body::Ping:
      return DecodePing(*item.body_as_Ping());
    case wire::Body::PingReq:
      return DecodePingReq(*item.body_as_PingReq());
    case wire::Body::Ack:
      return DecodeAck(*item.body_as_Ack());
    case wire::Body::Join:
      return join{};
    case wire::Body::Sync:
      return sync{item.body_as_Sync()->view_digest()};
    case wire::Body::Page:
      return DecodePage(*item.body_as_Page());
    case wire::Body::Leave:
      return leave{};
    case wire::Body::NONE:
      break;
  }
  return std::nullopt;
}

}  // namespace

auto EncodeMessage(const message& content) -> std::string {
  auto out = builder{kInitialBytes};
  const auto sender = EncodeMember(out, content.sender);
  const auto body = std::visit(
      [&](const auto& item) { return Encode(out, item); }, content.body);
  const auto updates = EncodeMembers(out, content.updates);
  out.Finish(wire::CreateMessage(out, sender, body.type, body.offset, updates),
             wire::MessageIdentifier());
  return {reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize()};
}

auto DecodeMessage(std::string_view bytes) -> std::optional<message> {
  if (bytes.size() > kMaxMessageBytes) {
    return std::nullopt;
  }
  // The bytes may lie anywhere in a frame; FlatBuffers reads aligned words.
  const auto aligned = std::string{bytes};
  const auto* data = reinterpret_cast<const std::uint8_t*>(aligned.data());
  auto verifier = flatbuffers::Verifier{data, aligned.size()};
  if (!wire::VerifyMessageBuffer(verifier)) {
    return std::nullopt;
  }
  const auto& item = *wire::GetMessage(data);
  auto sender = DecodeMember(*item.sender());
  auto body = DecodeBody(item);
  auto updates = DecodeMembers(item.updates(), kMaxUpdatesPerMessage);
  if (!sender || !body || !updates) {
    return std::nullopt;
  }
  return message{std::move(*sender), std::move(*body), std::move(*updates)};
}

}  // namespace daisywind::membership
