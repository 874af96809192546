#include "configuration_wire/codec.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "common/random.h"

namespace daisywind::configuration {
namespace {

auto Samples() -> std::vector<message> {
  const auto chunk = DigestOf("chunk");
  const auto buckets = manifest{{3, chunk}, {255, DigestOf("other")}};
  const auto info = version_info{
      {7, RootDigestOf(buckets)}, "id-1", "ana", 1'700'000'000'000};
  const auto state = acknowledgement{
      {vm_id("vm-1"), 42}, failure_domain_id("huye-a"), 7, 1500, -1};
  return {announce_message{
              info, {6, chunk}, {{3, chunk}, {9, digest{}}}, {"{}", ""}},
          probe_message{info.ref, -1, true},
          manifest_request{},
          manifest_reply{{info, buckets}},
          chunk_request{{chunk, DigestOf("")}},
          chunk_reply{{"chunk", "", std::string("a\0b", 3)}},
          acknowledge_message{state},
          status_request{99},
          status_response{99, {state, {}}}};
}

}  // namespace

TEST_CASE("every message round-trips through its encoding") {
  const auto samples = Samples();
  CHECK(samples.size() == std::variant_size_v<message>);
  for (const auto& sample : samples) {
    const auto read = DecodeMessage(EncodeMessage(sample));
    REQUIRE(read);
    CHECK(*read == sample);
  }
}

TEST_CASE("bytes that are not a message are rejected") {
  CHECK_FALSE(DecodeMessage(""));
  CHECK_FALSE(DecodeMessage("x"));
  CHECK_FALSE(DecodeMessage(std::string(1000, '\xff')));
  for (const auto& sample : Samples()) {
    const auto bytes = EncodeMessage(sample);
    for (auto size = std::size_t{0}; size < bytes.size() / 2; ++size) {
      CHECK_FALSE(DecodeMessage(bytes.substr(0, size)));
    }
  }
}

TEST_CASE(
    "corrupted bytes are rejected or decoded without out-of-bounds reads") {
  constexpr auto kRounds = 2000;
  auto random = random_source(11);
  for (const auto& sample : Samples()) {
    const auto bytes = EncodeMessage(sample);
    for (auto round = 0; round < kRounds; ++round) {
      auto changed = bytes;
      changed[random.UniformBelow(changed.size())] =
          static_cast<char>(random.UniformBelow(256));
      if (const auto read = DecodeMessage(changed)) {
        CHECK_FALSE(EncodeMessage(*read).empty());
      }
    }
  }
}

}  // namespace daisywind::configuration
