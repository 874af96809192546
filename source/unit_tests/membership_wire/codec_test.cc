#include "membership_wire/codec.h"

#include <doctest/doctest.h>

#include <vector>

#include "common/random.h"

namespace daisywind::membership {
namespace {

auto SampleMember() -> member {
  return {{vm_id("a"), 7},
          3,
          member_state::kSuspect,
          "127.0.0.1:7000",
          failure_domain_id("cordoba-a"),
          region_id("cordoba")};
}

auto SampleMessages() -> std::vector<message> {
  auto list = std::vector<message>{};
  for (const auto& body : std::vector<message_body>{
           ping{1, {vm_id("b"), 2}}, ping_req{2, SampleMember()},
           ack{3, SampleMember()}, join{}, sync{9},
           page{{SampleMember(), SampleMember()}, true}, leave{}}) {
    list.push_back({SampleMember(), body, {SampleMember()}});
  }
  return list;
}

}  // namespace

TEST_CASE("every message type round-trips through the codec") {
  for (const auto& sample : SampleMessages()) {
    CHECK(DecodeMessage(EncodeMessage(sample)) == sample);
  }
}

TEST_CASE("messages over the size limits are rejected") {
  auto sample = SampleMessages().front();
  sample.updates.resize(kMaxUpdatesPerMessage + 1);
  CHECK_FALSE(DecodeMessage(EncodeMessage(sample)).has_value());
  sample.updates.clear();
  sample.body = page{std::vector<member>(kMaxMembersPerPage + 1), false};
  CHECK_FALSE(DecodeMessage(EncodeMessage(sample)).has_value());
}

TEST_CASE("decoding corrupted bytes never reads out of bounds") {
  auto random = random_source(1);
  for (const auto& sample : SampleMessages()) {
    const auto good = EncodeMessage(sample);
    for (auto i = 0; i < 300; ++i) {
      auto bytes = good.substr(0, random.UniformBelow(good.size() + 1));
      if (!bytes.empty()) {
        bytes[random.UniformBelow(bytes.size())] =
            static_cast<char>(random.UniformBelow(256));
      }
      const auto decoded = DecodeMessage(bytes);
      if (decoded.has_value()) {
        CHECK(!EncodeMessage(*decoded).empty());
      }
    }
  }
}

}  // namespace daisywind::membership
