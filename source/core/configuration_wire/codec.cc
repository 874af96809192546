#include "configuration_wire/codec.h"

#include <configuration_generated.h>
#include <flatbuffers/flatbuffers.h>

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace daisywind::configuration {
namespace {

using flatbuffers::Offset;
using builder = flatbuffers::FlatBufferBuilder;

constexpr auto kInitialBytes = std::size_t{512};

// The serialized content of a message whose buffer is not finished yet.
struct written_content {
  wire::Content type = wire::Content::NONE;
  Offset<void> offset;
};

auto Write(const digest& from) -> wire::Digest {
  return wire::Digest(
      flatbuffers::span<const std::uint8_t, kDigestBytes>(from.bytes));
}

auto Read(const wire::Digest& from) -> digest {
  auto to = digest{};
  std::copy_n(from.bytes()->Data(), kDigestBytes, to.bytes.begin());
  return to;
}

auto Write(const version_ref& from) -> wire::VersionRef {
  return {from.number, Write(from.root)};
}

auto Read(const wire::VersionRef& from) -> version_ref {
  return {from.number(), Read(from.root())};
}

auto Write(const bucket_change& from) -> wire::BucketChange {
  return {from.bucket, Write(from.chunk)};
}

auto Read(const wire::BucketChange& from) -> bucket_change {
  return {from.bucket(), Read(from.chunk())};
}

template <class To, class From>
auto WriteStructs(builder& to, const std::vector<From>& from)
    -> Offset<flatbuffers::Vector<const To*>> {
  auto structs = std::vector<To>{};
  for (const auto& item : from) {
    structs.push_back(Write(item));
  }
  return to.CreateVectorOfStructs(structs);
}

template <class To, class From>
auto ReadStructs(const flatbuffers::Vector<const From*>& from)
    -> std::vector<To> {
  auto list = std::vector<To>{};
  for (const auto* item : from) {
    list.push_back(Read(*item));
  }
  return list;
}

auto ReadStrings(const flatbuffers::Vector<Offset<flatbuffers::String>>& from)
    -> std::vector<std::string> {
  auto list = std::vector<std::string>{};
  for (const auto* item : from) {
    list.push_back(item->str());
  }
  return list;
}

auto Write(builder& to, const version_info& from) -> Offset<wire::VersionInfo> {
  const auto ref = Write(from.ref);
  return wire::CreateVersionInfo(to, &ref, to.CreateString(from.patch_id),
                                 to.CreateString(from.author),
                                 from.accepted_unix_ms);
}

auto Read(const wire::VersionInfo& from) -> version_info {
  return {Read(*from.ref()), from.patch_id()->str(), from.author()->str(),
          from.accepted_unix_ms()};
}

auto Write(builder& to, const acknowledgement& from)
    -> Offset<wire::Acknowledgement> {
  const auto vm =
      wire::CreateVmRef(to, to.CreateString(from.vm.vm.value), from.vm.run);
  return wire::CreateAcknowledgement(to, vm, to.CreateString(from.domain.value),
                                     from.number, from.spread_ms,
                                     from.proof_age_ms);
}

auto Read(const wire::Acknowledgement& from) -> acknowledgement {
  return {{vm_id(from.vm()->vm()->str()), from.vm()->run()},
          failure_domain_id(from.domain()->str()),
          from.number(),
          from.spread_ms(),
          from.proof_age_ms()};
}

auto Write(builder& to, const announce_message& from) -> written_content {
  const auto base = Write(from.base);
  const auto info = Write(to, from.info);
  const auto changes = WriteStructs<wire::BucketChange>(to, from.changes);
  const auto patches = to.CreateVectorOfStrings(from.patches);
  return {wire::Content::Announce,
          wire::CreateAnnounce(to, info, &base, changes, patches).Union()};
}

auto Write(builder& to, const probe_message& from) -> written_content {
  const auto ref = Write(from.ref);
  return {
      wire::Content::Probe,
      wire::CreateProbe(to, &ref, from.proof_age_ms, from.wants_reply).Union()};
}

auto Write(builder& to, const manifest_request& /*from*/) -> written_content {
  return {wire::Content::ManifestRequest,
          wire::CreateManifestRequest(to).Union()};
}

auto Write(builder& to, const manifest_reply& from) -> written_content {
  const auto info = Write(to, from.head.info);
  const auto buckets = WriteStructs<wire::BucketChange>(
      to, DiffManifests({}, from.head.buckets));
  return {wire::Content::ManifestReply,
          wire::CreateManifestReply(to, info, buckets).Union()};
}

auto Write(builder& to, const chunk_request& from) -> written_content {
  const auto digests = WriteStructs<wire::Digest>(to, from.digests);
  return {wire::Content::ChunkRequest,
          wire::CreateChunkRequest(to, digests).Union()};
}

auto Write(builder& to, const chunk_reply& from) -> written_content {
  const auto chunks = to.CreateVectorOfStrings(from.chunks);
  return {wire::Content::ChunkReply,
          wire::CreateChunkReply(to, chunks).Union()};
}

auto Write(builder& to, const acknowledge_message& from) -> written_content {
  const auto state = Write(to, from.state);
  return {wire::Content::Acknowledge,
          wire::CreateAcknowledge(to, state).Union()};
}

auto Write(builder& to, const status_request& from) -> written_content {
  return {wire::Content::StatusRequest,
          wire::CreateStatusRequest(to, from.query).Union()};
}

auto Write(builder& to, const status_response& from) -> written_content {
  auto states = std::vector<Offset<wire::Acknowledgement>>{};
  for (const auto& state : from.states) {
    states.push_back(Write(to, state));
  }
  const auto list = to.CreateVector(states);
  return {wire::Content::StatusResponse,
          wire::CreateStatusResponse(to, from.query, list).Union()};
}

auto ReadAnnounce(const wire::Message& from) -> message {
  const auto& content = *from.content_as_Announce();
  return announce_message{Read(*content.info()), Read(*content.base()),
                          ReadStructs<bucket_change>(*content.changes()),
                          ReadStrings(*content.patches())};
}

auto ReadProbe(const wire::Message& from) -> message {
  const auto& content = *from.content_as_Probe();
  return probe_message{Read(*content.ref()), content.proof_age_ms(),
                       content.wants_reply()};
}

auto ReadManifestRequest(const wire::Message& /*from*/) -> message {
  return manifest_request{};
}

auto ReadManifestReply(const wire::Message& from) -> message {
  const auto& content = *from.content_as_ManifestReply();
  const auto buckets = ReadStructs<bucket_change>(*content.buckets());
  return manifest_reply{
      {Read(*content.info()), ApplyBucketChanges({}, buckets)}};
}

auto ReadChunkRequest(const wire::Message& from) -> message {
  const auto& content = *from.content_as_ChunkRequest();
  return chunk_request{ReadStructs<digest>(*content.digests())};
}

auto ReadChunkReply(const wire::Message& from) -> message {
  return chunk_reply{ReadStrings(*from.content_as_ChunkReply()->chunks())};
}

auto ReadAcknowledge(const wire::Message& from) -> message {
  return acknowledge_message{Read(*from.content_as_Acknowledge()->state())};
}

auto ReadStatusRequest(const wire::Message& from) -> message {
  return status_request{from.content_as_StatusRequest()->query()};
}

auto ReadStatusResponse(const wire::Message& from) -> message {
  const auto& content = *from.content_as_StatusResponse();
  auto response = status_response{content.query(), {}};
  for (const auto* state : *content.states()) {
    response.states.push_back(Read(*state));
  }
  return response;
}

using read_function = message (*)(const wire::Message&);

struct reader_entry {
  wire::Content type;
  read_function read;
};

constexpr reader_entry kReaders[] = {
    {wire::Content::Announce, ReadAnnounce},
    {wire::Content::Probe, ReadProbe},
    {wire::Content::ManifestRequest, ReadManifestRequest},
    {wire::Content::ManifestReply, ReadManifestReply},
    {wire::Content::ChunkRequest, ReadChunkRequest},
    {wire::Content::ChunkReply, ReadChunkReply},
    {wire::Content::Acknowledge, ReadAcknowledge},
    {wire::Content::StatusRequest, ReadStatusRequest},
    {wire::Content::StatusResponse, ReadStatusResponse},
};

}  // namespace

auto EncodeMessage(const message& content) -> std::string {
  auto to = builder(kInitialBytes);
  const auto written =
      std::visit([&](const auto& item) { return Write(to, item); }, content);
  wire::FinishMessageBuffer(
      to, wire::CreateMessage(to, written.type, written.offset));
  return {reinterpret_cast<const char*>(to.GetBufferPointer()), to.GetSize()};
}

auto DecodeMessage(std::string_view bytes) -> std::optional<message> {
  // The verifier and the accessors require an aligned buffer, which a
  // string_view does not guarantee but an allocation does.
  const auto aligned = std::vector<std::uint8_t>(bytes.begin(), bytes.end());
  auto verifier = flatbuffers::Verifier(aligned.data(), aligned.size());
  if (!wire::VerifyMessageBuffer(verifier)) {
    return std::nullopt;
  }
  const auto& from = *wire::GetMessage(aligned.data());
  for (const auto& entry : kReaders) {
    if (entry.type == from.content_type()) {
      return entry.read(from);
    }
  }
  return std::nullopt;
}

}  // namespace daisywind::configuration
