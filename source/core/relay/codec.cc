#include "relay/codec.h"

#include <relay_generated.h>

#include <chrono>
#include <memory>
#include <utility>
#include <vector>

#include "common/aligned_bytes.h"

namespace daisywind::relay {
namespace {

using header_objects = std::vector<std::unique_ptr<fbs::HeaderT>>;

auto Convert(const net::http_headers& from) -> header_objects {
  auto to = header_objects{};
  to.reserve(from.size());
  for (const auto& header : from) {
    auto& added = to.emplace_back(std::make_unique<fbs::HeaderT>());
    added->name = header.name;
    added->value = header.value;
  }
  return to;
}

auto Convert(header_objects& from) -> net::http_headers {
  auto to = net::http_headers{};
  to.reserve(from.size());
  for (auto& header : from) {
    to.push_back({std::move(header->name), std::move(header->value)});
  }
  return to;
}

// One pair of overloads for each message type: to and from its FlatBuffers
// object. A value that is not valid gives nothing.
auto ToObject(const attempt_request& from) -> fbs::AttemptRequestT {
  auto to = fbs::AttemptRequestT{};
  to.endpoint = from.endpoint.value;
  to.request_id = from.request_id;
  to.method = from.request.method;
  to.target = from.request.target;
  to.headers = Convert(from.request.headers);
  to.body = from.request.body;
  to.head_timeout_us =
      std::chrono::duration_cast<std::chrono::microseconds>(from.head_timeout)
          .count();
  to.expects_events = from.expects_events;
  to.needs_new_connection = from.needs_new_connection;
  return to;
}

auto FromObject(fbs::AttemptRequestT& from) -> std::optional<message_body> {
  return attempt_request{endpoint_id(std::move(from.endpoint)),
                         std::move(from.request_id),
                         {std::move(from.method), std::move(from.target),
                          Convert(from.headers), std::move(from.body)},
                         std::chrono::microseconds(from.head_timeout_us),
                         from.expects_events,
                         from.needs_new_connection};
}

auto ToObject(const attempt_cancel& /*from*/) -> fbs::AttemptCancelT {
  return {};
}

auto FromObject(fbs::AttemptCancelT& /*from*/) -> std::optional<message_body> {
  return attempt_cancel{};
}

auto ToObject(const response_head& from) -> fbs::ResponseHeadT {
  auto to = fbs::ResponseHeadT{};
  to.status = from.head.status;
  to.headers = Convert(from.head.headers);
  to.framing = static_cast<std::uint8_t>(from.framing);
  return to;
}

auto FromObject(fbs::ResponseHeadT& from) -> std::optional<message_body> {
  if (from.framing >
      static_cast<std::uint8_t>(net::body_framing::kConnection)) {
    return std::nullopt;
  }
  return response_head{{from.status, Convert(from.headers), ""},
                       static_cast<net::body_framing>(from.framing)};
}

auto ToObject(const response_part& from) -> fbs::ResponsePartT {
  auto to = fbs::ResponsePartT{};
  to.bytes = from.bytes;
  return to;
}

auto FromObject(fbs::ResponsePartT& from) -> std::optional<message_body> {
  return response_part{std::move(from.bytes)};
}

auto ToObject(const response_end& from) -> fbs::ResponseEndT {
  auto to = fbs::ResponseEndT{};
  to.outcome = static_cast<std::uint8_t>(from.outcome);
  to.is_complete = from.is_complete;
  to.partial_event_bytes = from.partial_event_bytes;
  to.error = from.error;
  to.is_relay_unusable = from.is_relay_unusable;
  return to;
}

auto FromObject(fbs::ResponseEndT& from) -> std::optional<message_body> {
  if (from.outcome > static_cast<std::uint8_t>(net::http_outcome::kNoAnswer)) {
    return std::nullopt;
  }
  return response_end{static_cast<net::http_outcome>(from.outcome),
                      from.is_complete, from.partial_event_bytes,
                      std::move(from.error), from.is_relay_unusable};
}

auto BodyFrom(fbs::BodyUnion& from) -> std::optional<message_body> {
  switch (from.type) {
    case fbs::Body_AttemptRequest:
      return FromObject(*from.AsAttemptRequest());
    case fbs::Body_AttemptCancel:
      return FromObject(*from.AsAttemptCancel());
    case fbs::Body_ResponseHead:
      return FromObject(*from.AsResponseHead());
    case fbs::Body_ResponsePart:
      return FromObject(*from.AsResponsePart());
    case fbs::Body_ResponseEnd:
      return FromObject(*from.AsResponseEnd());
    case fbs::Body_NONE:
      break;
  }
  return std::nullopt;
}

}  // namespace

auto EncodeMessage(const message& from) -> std::string {
  auto to = fbs::MessageT{};
  to.id = from.id;
  std::visit([&](const auto& body) { to.body.Set(ToObject(body)); }, from.body);
  auto builder = flatbuffers::FlatBufferBuilder{};
  builder.Finish(fbs::Message::Pack(builder, &to), fbs::MessageIdentifier());
  const auto* begin = builder.GetBufferPointer();
  return {begin, begin + builder.GetSize()};
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
  return message{from->id, std::move(*body)};
}

}  // namespace daisywind::relay
