#include "program_wire/codec.h"

#include <doctest/doctest.h>

#include <utility>
#include <vector>

#include "common/random.h"

namespace daisywind::program {
namespace {

auto SampleSet() -> replica_set {
  return {3, {vm_id("a"), 1}, {vm_id("b"), 2}, {vm_id("c"), 3}};
}

auto SampleRecord() -> call_record {
  auto record = call_record{};
  record.turn = 4;
  record.attempt = 9;
  record.kind = call_kind::kService;
  record.phase = call_phase::kSettled;
  record.key_digest = DigestOf("key");
  record.target = "cart";
  record.endpoint = endpoint_id("cart-1");
  record.reserved = {10, 1, 5s};
  record.answer = call_answer{200, "text/plain", MakePayload("ok"), 1, 2};
  return record;
}

auto SampleState() -> program_state {
  auto state = program_state{};
  state.id = {1, 2};
  state.organisation = organisation_id("t");
  state.limits = {100, 10, 60s};
  state.holders = {endpoint_id("e1"), endpoint_id("e2")};
  auto branch = branch_record{};
  branch.name = branch_id("main");
  branch.last_turn = 4;
  branch.history_digest = DigestOf("history");
  branch.calls[4] = SampleRecord();
  state.branches[branch.name] = branch;
  return state;
}

auto SampleCall() -> call_request {
  auto call = call_request{};
  call.turn = 4;
  call.target = "agent";
  call.key = "k";
  call.history = {DigestOf("1"), DigestOf("2")};
  call.prefix_blocks = {DigestOf("b")};
  call.body = MakePayload("{}");
  return call;
}

// One default-constructed message of each kind.
template <std::size_t... kIndexes>
auto DefaultMessages(std::index_sequence<kIndexes...> /*indexes*/)
    -> std::vector<message> {
  return {message(std::in_place_index<kIndexes>)...};
}

auto SampleMessages() -> std::vector<message> {
  auto list =
      DefaultMessages(std::make_index_sequence<std::variant_size_v<message>>());
  const auto id = program_id{1, 2};
  list.emplace_back(forward_call{7,
                                 {id, SampleSet()},
                                 organisation_id("t"),
                                 SampleCall(),
                                 MakePayload("abc"),
                                 true});
  list.emplace_back(install{SampleSet(), SampleState()});
  list.emplace_back(record_update{
      id, 3, 5, state_update(intent{branch_id("main"), SampleRecord()})});
  list.emplace_back(record_update{id, 3, 6, state_update(program_ended{})});
  list.emplace_back(
      late_settlement{id, 4, state_update(withdrawal{branch_id("main"), 4, 9}),
                      endpoint_id("e"), true});
  list.emplace_back(call_problem{
      7, SampleSet(),
      problem{outcome::kNotRun, refusal_reason::kOverloaded, "later", 2s}});
  return list;
}

}  // namespace

TEST_CASE("every kind of message can be encoded and decoded") {
  for (const auto& sample : SampleMessages()) {
    const auto bytes = EncodeMessage(sample);
    const auto decoded = DecodeMessage(bytes);
    REQUIRE(decoded.has_value());
    CHECK(decoded->index() == sample.index());
    CHECK(EncodeMessage(*decoded) == bytes);
  }
}

TEST_CASE("the content of a state is preserved") {
  const auto decoded =
      DecodeMessage(EncodeMessage(install{SampleSet(), SampleState()}));
  REQUIRE(decoded.has_value());
  const auto& state = std::get<install>(*decoded).state;
  CHECK(std::get<install>(*decoded).replicas == SampleSet());
  CHECK(state.holders.size() == 2);
  const auto* call = FindCall(state, branch_id("main"), 4);
  REQUIRE(call != nullptr);
  CHECK(call->attempt == 9);
  CHECK(call->reserved == budget{10, 1, 5s});
  REQUIRE(call->answer.has_value());
  CHECK(BytesOf(call->answer->body) == "ok");
}

TEST_CASE("corrupted bytes are rejected or decode to a valid message") {
  auto random = random_source(1);
  CHECK_FALSE(DecodeMessage("").has_value());
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

TEST_CASE("enumerator values out of range are rejected") {
  auto sample = forward_control{};
  sample.action = static_cast<control_action>(99);
  CHECK_FALSE(DecodeMessage(EncodeMessage(sample)).has_value());
}

}  // namespace daisywind::program
