#include "history_wire/codec.h"

#include <history_generated.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <memory>
#include <utility>
#include <variant>

#include "common/aligned_bytes.h"
#include "history_wire/parts.h"

namespace daisywind::history {
namespace {

// Value of store_age_ms when the store has never answered.
constexpr auto kNoAge = std::int64_t{-1};

auto Milliseconds(duration value) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

// Returns nothing if there is no age. One that no clock could measure is
// shortened, as it would overflow.
auto AgeFrom(std::int64_t milliseconds) -> std::optional<duration> {
  constexpr auto kMaxAge = std::int64_t{365} * 24 * 3'600'000;
  if (milliseconds < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(std::min(milliseconds, kMaxAge));
}

auto ChainStateFrom(std::uint8_t value) -> chain_state {
  return value <= static_cast<std::uint8_t>(chain_state::kPartial)
             ? static_cast<chain_state>(value)
             : chain_state::kNone;
}

template <class Object>
auto ConvertChain(const turn_chain& from, Object& to) -> void {
  to.chain_state = static_cast<std::uint8_t>(from.state);
  to.missing = from.missing.value;
  to.chain = ConvertAll(from.turns);
}

template <class Object>
auto ChainFrom(Object& from) -> turn_chain {
  return {ChainStateFrom(from.chain_state), turn_id(std::move(from.missing)),
          ConvertAll(from.chain)};
}

auto NamesOf(const std::vector<program_name>& programs)
    -> std::vector<std::string> {
  auto names = std::vector<std::string>{};
  names.reserve(programs.size());
  for (const auto& program : programs) {
    names.push_back(program.value);
  }
  return names;
}

// One pair of overloads for each message type: to and from its FlatBuffers
// object.
auto ToObject(const begin_request& from) -> fbs::BeginRequestT {
  auto to = fbs::BeginRequestT{};
  to.program = from.program.value;
  to.turn = from.turn.value;
  to.parent = from.parent.value;
  to.reserved_tokens = from.reserved_tokens;
  to.retention_ms = from.retention_ms;
  to.wants_chain = from.wants_chain;
  to.loads = Convert(from.loads);
  to.paces = PacesOf(from.loads);
  to.wants_loads = from.loads_known.has_value();
  to.loads_known = from.loads_known.value_or(0);
  to.max_chain_bytes = from.max_chain_bytes;
  return to;
}

auto FromObject(fbs::BeginRequestT& from) -> begin_request {
  return {program_name(std::move(from.program)),
          turn_id(std::move(from.turn)),
          turn_id(std::move(from.parent)),
          from.reserved_tokens,
          from.wants_chain,
          WithPaces(Convert(from.loads), from.paces),
          from.wants_loads ? std::optional(from.loads_known) : std::nullopt,
          from.retention_ms,
          from.max_chain_bytes};
}

auto ToObject(const begin_reply& from) -> fbs::BeginReplyT {
  auto to = fbs::BeginReplyT{};
  to.is_complete = from.is_complete;
  ConvertChain(from.chain, to);
  for (const auto& item : from.spent) {
    auto object = std::make_unique<fbs::SpendingT>();
    object->turn = item.turn.value;
    object->tokens = item.tokens;
    to.spending.push_back(std::move(object));
  }
  to.loads = Convert(from.loads);
  to.paces = PacesOf(from.loads);
  to.loads_up_to = from.loads_up_to;
  return to;
}

auto FromObject(fbs::BeginReplyT& from) -> begin_reply {
  auto to = begin_reply{from.is_complete,
                        ChainFrom(from),
                        {},
                        WithPaces(Convert(from.loads), from.paces),
                        from.loads_up_to};
  to.spent.reserve(from.spending.size());
  for (auto& item : from.spending) {
    to.spent.push_back({turn_id(std::move(item->turn)), item->tokens});
  }
  return to;
}

auto ToObject(const record_request& from) -> fbs::RecordRequestT {
  auto to = fbs::RecordRequestT{};
  to.facts = ConvertAll(from.facts);
  to.are_copies = from.are_copies;
  return to;
}

auto FromObject(fbs::RecordRequestT& from) -> record_request {
  return {ConvertAll(from.facts), from.are_copies};
}

auto ToObject(const record_reply& from) -> fbs::RecordReplyT {
  auto to = fbs::RecordReplyT{};
  to.is_durable = from.is_durable;
  return to;
}

auto FromObject(fbs::RecordReplyT& from) -> record_reply {
  return {from.is_durable};
}

auto ToObject(const read_request& from) -> fbs::ReadRequestT {
  auto to = fbs::ReadRequestT{};
  to.turn = from.turn.value;
  to.max_chain_bytes = from.max_chain_bytes;
  return to;
}

auto FromObject(fbs::ReadRequestT& from) -> read_request {
  return {turn_id(std::move(from.turn)), from.max_chain_bytes};
}

auto ToObject(const read_reply& from) -> fbs::ReadReplyT {
  auto to = fbs::ReadReplyT{};
  to.is_complete = from.is_complete;
  ConvertChain(from.chain, to);
  return to;
}

auto FromObject(fbs::ReadReplyT& from) -> read_reply {
  return {from.is_complete, ChainFrom(from)};
}

auto ToObject(const adopt_request& from) -> fbs::AdoptRequestT {
  auto to = fbs::AdoptRequestT{};
  to.view = Convert(from.newest);
  return to;
}

auto FromObject(fbs::AdoptRequestT& from) -> adopt_request {
  return {Convert(*from.view)};
}

auto ToObject(const adopt_reply& from) -> fbs::AdoptReplyT {
  auto to = fbs::AdoptReplyT{};
  to.is_complete = from.is_complete;
  return to;
}

auto FromObject(fbs::AdoptReplyT& from) -> adopt_reply {
  return {from.is_complete};
}

auto ToObject(const list_request& /*from*/) -> fbs::ListRequestT {
  return {};
}

auto FromObject(const fbs::ListRequestT& /*from*/) -> list_request {
  return {};
}

auto ToObject(const list_reply& from) -> fbs::ListReplyT {
  auto to = fbs::ListReplyT{};
  to.is_complete = from.is_complete;
  to.hashes = from.hashes;
  return to;
}

auto FromObject(fbs::ListReplyT& from) -> list_reply {
  return {from.is_complete, std::move(from.hashes)};
}

auto ToObject(const pull_request& from) -> fbs::PullRequestT {
  auto to = fbs::PullRequestT{};
  to.hashes = from.hashes;
  to.max_bytes = from.max_bytes;
  return to;
}

auto FromObject(fbs::PullRequestT& from) -> pull_request {
  return {std::move(from.hashes), from.max_bytes};
}

auto ToObject(const pull_reply& from) -> fbs::PullReplyT {
  auto to = fbs::PullReplyT{};
  to.facts = ConvertAll(from.facts);
  to.examined = from.examined;
  return to;
}

auto FromObject(fbs::PullReplyT& from) -> pull_reply {
  return {ConvertAll(from.facts), from.examined};
}

auto ToObject(const stale_view& from) -> fbs::StaleViewT {
  auto to = fbs::StaleViewT{};
  to.view = Convert(from.newest);
  return to;
}

auto FromObject(fbs::StaleViewT& from) -> stale_view {
  return {Convert(*from.view)};
}

auto ToObject(const copy_request& from) -> fbs::CopyRequestT {
  auto to = fbs::CopyRequestT{};
  to.known = from.known;
  to.wants_changes = from.wants_changes;
  to.takes_deflated = from.takes_deflated;
  to.wants_revision = from.wants_revision;
  return to;
}

auto FromObject(const fbs::CopyRequestT& from) -> copy_request {
  return {from.known, from.wants_changes, from.takes_deflated,
          from.wants_revision};
}

auto ToObject(const copy_reply& from) -> fbs::CopyReplyT {
  auto to = fbs::CopyReplyT{};
  if (from.copy) {
    to.store = Convert(*from.copy);
    for (const auto& item : from.deflated) {
      to.store->items.push_back(Convert(item));
    }
  }
  to.has_only_changes = from.has_only_changes;
  to.removed = from.removed;
  to.store_age_ms = from.store_age ? Milliseconds(*from.store_age) : kNoAge;
  to.proof_age_ms =
      from.proof_age
          ? std::chrono::ceil<std::chrono::milliseconds>(*from.proof_age)
                .count()
          : kNoAge;
  to.revision = from.revision_at;
  return to;
}

auto FromObject(fbs::CopyReplyT& from) -> std::optional<copy_reply> {
  auto to = copy_reply{};
  if (from.store != nullptr) {
    if (!InflateItems(*from.store)) {
      return std::nullopt;
    }
    to.copy = Convert(*from.store);
  }
  to.has_only_changes = from.has_only_changes;
  to.removed = from.removed;
  to.store_age = AgeFrom(from.store_age_ms);
  to.proof_age = AgeFrom(from.proof_age_ms);
  to.revision_at = from.revision;
  return to;
}

auto ToObject(const limits_request& from) -> fbs::LimitsRequestT {
  auto to = fbs::LimitsRequestT{};
  to.sender = Convert(from.sender);
  to.limits = Convert(from.limits);
  to.known_version = from.known_version;
  return to;
}

auto FromObject(const fbs::LimitsRequestT& from) -> limits_request {
  return {Convert(*from.sender), Convert(from.limits), from.known_version};
}

auto ToObject(const limits_reply& from) -> fbs::LimitsReplyT {
  auto to = fbs::LimitsReplyT{};
  to.version = from.version;
  to.has_state = from.state.has_value();
  if (from.state) {
    for (const auto& sender : from.state->senders) {
      to.senders.push_back(Convert(sender));
    }
    to.limits = Convert(from.state->limits);
  }
  return to;
}

auto FromObject(const fbs::LimitsReplyT& from) -> limits_reply {
  auto to = limits_reply{from.version, std::nullopt};
  if (from.has_state) {
    to.state.emplace();
    for (const auto& sender : from.senders) {
      to.state->senders.push_back(Convert(*sender));
    }
    to.state->limits = Convert(from.limits);
  }
  return to;
}

auto ToObject(const lifetimes_request& from) -> fbs::LifetimesRequestT {
  auto to = fbs::LifetimesRequestT{};
  to.programs = NamesOf(from.programs);
  return to;
}

auto FromObject(fbs::LifetimesRequestT& from) -> lifetimes_request {
  auto to = lifetimes_request{};
  to.programs.reserve(from.programs.size());
  for (auto& name : from.programs) {
    to.programs.emplace_back(std::move(name));
  }
  return to;
}

auto ToObject(const lifetimes_reply& from) -> fbs::LifetimesReplyT {
  auto to = fbs::LifetimesReplyT{};
  to.is_complete = from.is_complete;
  to.left_ms = from.left_ms;
  return to;
}

auto FromObject(fbs::LifetimesReplyT& from) -> lifetimes_reply {
  return {from.is_complete, std::move(from.left_ms)};
}

auto ToObject(const forward_request& from) -> fbs::ForwardRequestT {
  auto to = fbs::ForwardRequestT{};
  to.address = from.address;
  to.hashes = from.hashes;
  return to;
}

auto FromObject(fbs::ForwardRequestT& from) -> forward_request {
  return {std::move(from.address), std::move(from.hashes)};
}

auto ToObject(const forward_reply& from) -> fbs::ForwardReplyT {
  auto to = fbs::ForwardReplyT{};
  to.stored = from.stored;
  return to;
}

auto FromObject(const fbs::ForwardReplyT& from) -> forward_reply {
  return {from.stored};
}

auto ToObject(const quota_request& from) -> fbs::QuotaRequestT {
  auto to = fbs::QuotaRequestT{};
  for (const auto& demand : from.demands) {
    auto object = std::make_unique<fbs::QuotaDemandT>();
    object->organisation = demand.organisation.value;
    object->limit = std::make_unique<fbs::QuotaLimit>(
        demand.limit.version, demand.limit.per_second, demand.limit.burst,
        demand.wanted, demand.returned);
    to.demands.push_back(std::move(object));
  }
  return to;
}

auto FromObject(fbs::QuotaRequestT& from) -> quota_request {
  auto to = quota_request{};
  to.demands.reserve(from.demands.size());
  for (auto& object : from.demands) {
    const auto& limit = *object->limit;
    to.demands.push_back({organisation_id(std::move(object->organisation)),
                          {limit.version(), limit.per_second(), limit.burst()},
                          limit.wanted(),
                          limit.returned()});
  }
  return to;
}

auto ToObject(const quota_reply& from) -> fbs::QuotaReplyT {
  auto to = fbs::QuotaReplyT{};
  for (const auto& grant : from.grants) {
    auto object = std::make_unique<fbs::QuotaGrantT>();
    object->organisation = grant.organisation.value;
    object->granted = grant.granted;
    object
        ->retry_after_ms = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        std::chrono::ceil<std::chrono::milliseconds>(grant.retry_after).count(),
        0, std::numeric_limits<std::uint32_t>::max()));
    to.grants.push_back(std::move(object));
  }
  return to;
}

auto FromObject(fbs::QuotaReplyT& from) -> quota_reply {
  auto to = quota_reply{};
  to.grants.reserve(from.grants.size());
  for (auto& object : from.grants) {
    to.grants.push_back({organisation_id(std::move(object->organisation)),
                         object->granted,
                         std::chrono::milliseconds(object->retry_after_ms)});
  }
  return to;
}

auto BodyFrom(fbs::BodyUnion& from) -> std::optional<message_body> {
  switch (from.type) {
    case fbs::Body_BeginRequest:
      return FromObject(*from.AsBeginRequest());
    case fbs::Body_BeginReply:
      return FromObject(*from.AsBeginReply());
    case fbs::Body_RecordRequest:
      return FromObject(*from.AsRecordRequest());
    case fbs::Body_RecordReply:
      return FromObject(*from.AsRecordReply());
    case fbs::Body_ReadRequest:
      return FromObject(*from.AsReadRequest());
    case fbs::Body_ReadReply:
      return FromObject(*from.AsReadReply());
    case fbs::Body_AdoptRequest:
      return FromObject(*from.AsAdoptRequest());
    case fbs::Body_AdoptReply:
      return FromObject(*from.AsAdoptReply());
    case fbs::Body_ListRequest:
      return FromObject(*from.AsListRequest());
    case fbs::Body_ListReply:
      return FromObject(*from.AsListReply());
    case fbs::Body_PullRequest:
      return FromObject(*from.AsPullRequest());
    case fbs::Body_PullReply:
      return FromObject(*from.AsPullReply());
    case fbs::Body_StaleView:
      return FromObject(*from.AsStaleView());
    case fbs::Body_CopyRequest:
      return FromObject(*from.AsCopyRequest());
    case fbs::Body_CopyReply:
      return FromObject(*from.AsCopyReply());
    case fbs::Body_LimitsRequest:
      return FromObject(*from.AsLimitsRequest());
    case fbs::Body_LimitsReply:
      return FromObject(*from.AsLimitsReply());
    case fbs::Body_LifetimesRequest:
      return FromObject(*from.AsLifetimesRequest());
    case fbs::Body_LifetimesReply:
      return FromObject(*from.AsLifetimesReply());
    case fbs::Body_ForwardRequest:
      return FromObject(*from.AsForwardRequest());
    case fbs::Body_ForwardReply:
      return FromObject(*from.AsForwardReply());
    case fbs::Body_QuotaRequest:
      return FromObject(*from.AsQuotaRequest());
    case fbs::Body_QuotaReply:
      return FromObject(*from.AsQuotaReply());
    case fbs::Body_NONE:
      break;
  }
  return std::nullopt;
}

auto ToBytes(const flatbuffers::FlatBufferBuilder& builder) -> std::string {
  const auto* begin = builder.GetBufferPointer();
  return {begin, begin + builder.GetSize()};
}

}  // namespace

auto EncodeMessage(const message& from) -> std::string {
  auto to = fbs::MessageT{};
  to.id = from.id;
  to.view = from.view;
  std::visit([&](const auto& body) { to.body.Set(ToObject(body)); }, from.body);
  auto builder = flatbuffers::FlatBufferBuilder{};
  builder.Finish(fbs::Message::Pack(builder, &to), fbs::MessageIdentifier());
  return ToBytes(builder);
}

auto DecodeMessage(std::string_view frame) -> std::optional<message> {
  const auto bytes = aligned_bytes(frame);
  auto verifier = flatbuffers::Verifier(bytes.data(), frame.size());
  if (!fbs::VerifyMessageBuffer(verifier)) {
    return std::nullopt;
  }
  const auto from = fbs::UnPackMessage(bytes.data());
  auto body = BodyFrom(from->body);
  if (!body) {
    return std::nullopt;
  }
  return message{from->id, from->view, std::move(*body)};
}

auto EncodeRecord(const disk_record& from) -> std::string {
  auto to = fbs::BatchT{};
  to.facts = ConvertAll(from.facts);
  to.complete_in_view = from.complete_in_view;
  if (from.store) {
    to.store = Convert(*from.store);
  }
  to.records_removals = from.removed.has_value();
  if (from.removed) {
    to.removed = NamesOf(*from.removed);
  }
  auto builder = flatbuffers::FlatBufferBuilder{};
  builder.Finish(fbs::Batch::Pack(builder, &to));
  return ToBytes(builder);
}

auto DecodeRecord(std::string_view bytes) -> std::optional<disk_record> {
  const auto copy = aligned_bytes(bytes);
  auto verifier = flatbuffers::Verifier(copy.data(), bytes.size());
  if (!verifier.VerifyBuffer<fbs::Batch>(nullptr)) {
    return std::nullopt;
  }
  const auto* from = flatbuffers::GetRoot<fbs::Batch>(copy.data());
  auto to = disk_record{{}, from->complete_in_view(), std::nullopt};
  if (from->store() != nullptr) {
    const auto object =
        std::unique_ptr<fbs::StoreCopyT>(from->store()->UnPack());
    to.store = Convert(*object);
  }
  if (from->facts() != nullptr) {
    to.facts.reserve(from->facts()->size());
    for (const auto* fact : *from->facts()) {
      to.facts.push_back(ReadFact(*fact));
    }
  }
  if (from->records_removals()) {
    to.removed.emplace();
  }
  if (to.removed && from->removed() != nullptr) {
    to.removed->reserve(from->removed()->size());
    for (const auto* name : *from->removed()) {
      to.removed->emplace_back(name->str());
    }
  }
  return to;
}

}  // namespace daisywind::history
