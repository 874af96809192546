#include "membership_wire/message_codec.h"

#include <doctest/doctest.h>

#include "common/random.h"

namespace daisywind::membership {
namespace {

auto Record(const std::string& name) -> member {
  auto record = member{};
  record.ref = vm_ref{vm_id{name}, 1764822000000000};
  record.refutation = 3;
  record.state = member_state::kSuspect;
  record.address = "10.0.0.1:7000";
  record.failure_domain = failure_domain_id{"cordoba-a"};
  record.region = region_id{"cordoba"};
  return record;
}

auto AllMessages() -> std::vector<message> {
  const auto a = Record("a");
  const auto b = Record("b");
  const auto bodies = std::vector<message_body>{
      ping{7, a.ref}, ping_req{8, b},     ack{9, a}, join{},
      sync{42},       page{{a, b}, true}, leave{},
  };
  auto messages = std::vector<message>{};
  for (const auto& body : bodies) {
    messages.push_back({a, body, {}});
    messages.push_back({a, body, {b, Record("c")}});
  }
  return messages;
}

}  // namespace

TEST_CASE("every message survives encoding and decoding") {
  for (const auto& content : AllMessages()) {
    const auto decoded = DecodeMessage(EncodeMessage(content));
    REQUIRE(decoded.has_value());
    CHECK(*decoded == content);
  }
}

TEST_CASE("a message over the bounds is rejected") {
  auto content = message{Record("a"), leave{}, {}};
  content.updates.assign(kMaxUpdatesPerMessage + 1, Record("b"));
  CHECK_FALSE(DecodeMessage(EncodeMessage(content)).has_value());
  content.updates.clear();
  content.body =
      page{std::vector<member>(kMaxMembersPerPage + 1, Record("b")), false};
  CHECK_FALSE(DecodeMessage(EncodeMessage(content)).has_value());
  content.sender.address = std::string(kMaxMessageBytes, 'x');
  content.body = leave{};
  CHECK_FALSE(DecodeMessage(EncodeMessage(content)).has_value());
}

TEST_CASE("the largest message is within the bound") {
  auto content = message{Record(std::string(63, 'a')), page{}, {}};
  content.updates.assign(kMaxUpdatesPerMessage, content.sender);
  content.body =
      page{std::vector<member>(kMaxMembersPerPage, content.sender), false};
  CHECK(DecodeMessage(EncodeMessage(content)) == content);
}

TEST_CASE("truncated bytes are rejected") {
  for (const auto& content : AllMessages()) {
    const auto bytes = EncodeMessage(content);
    for (auto size = std::size_t{0}; size < bytes.size() / 2; ++size) {
      CHECK_FALSE(
          DecodeMessage(std::string_view{bytes}.substr(0, size)).has_value());
    }
  }
}

TEST_CASE("damaged bytes are rejected or decode to a message") {
  auto random = random_source{5};
  for (const auto& content : AllMessages()) {
    for (auto i = 0; i < 500; ++i) {
      auto bytes = EncodeMessage(content);
      for (auto flips = random.Below(4) + 1; flips > 0; --flips) {
        bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
      }
      const auto decoded = DecodeMessage(bytes);
      if (decoded) {
        CHECK(DecodeMessage(EncodeMessage(*decoded)) == decoded);
      }
    }
  }
}

}  // namespace daisywind::membership
