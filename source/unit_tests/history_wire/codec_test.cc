#include "history_wire/codec.h"

#include <doctest/doctest.h>
#include <history_generated.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "common/deflate.h"
#include "common/random.h"

namespace daisywind::history {
namespace {

auto Fact() -> turn_fact {
  return {program_name("p"),
          turn_id("t"),
          50,
          20U,
          turn_content{turn_id("s"), std::string("in\0put", 6), "output\n",
                       endpoint_id("e"), 3500, organisation_id("o")},
          1'700'000'000'000,
          66'000};
}

auto FactWithoutContent() -> turn_fact {
  return {program_name("p"), turn_id("u"), 7, std::nullopt, std::nullopt, 5};
}

auto View() -> view {
  return {9,
          {{vm_id("a"), disk_id("1"), "10.0.0.1:7380", failure_domain_id("d"),
            region_id("r")},
           {vm_id("b"), disk_id("2"), "10.0.0.2:7380", failure_domain_id("e"),
            region_id("r")}}};
}

auto Chain() -> turn_chain {
  return {chain_state::kMissing, turn_id("x"), {Fact(), FactWithoutContent()}};
}

auto AllBodies() -> std::vector<message_body> {
  return {
      begin_request{program_name("p"), turn_id("t"), turn_id("s"), 50, true},
      begin_request{program_name("p"),
                    turn_id("t"),
                    turn_id("s"),
                    50,
                    true,
                    {{7, 3, 2, 120ms}},
                    11,
                    66'000,
                    4'000'000},
      begin_reply{true, Chain(), {{turn_id("y"), 3}}},
      begin_reply{
          true, Chain(), {}, {{7, 3, 2, 120ms, 0ms}, {8, 0, 0, 0ms, 31s}}, 12},
      begin_request{program_name("p"),
                    turn_id("t"),
                    turn_id("s"),
                    50,
                    true,
                    {{7, 3, 2, 120ms}, {8, 3, 2, 120ms, std::nullopt, 250}}},
      begin_reply{true,
                  Chain(),
                  {},
                  {{7, 3, 2, 120ms, std::nullopt, 65'535}, {8, 0, 0, 0ms}},
                  12},
      record_request{{Fact(), FactWithoutContent()}},
      record_request{{Fact()}, true},
      record_reply{true},
      read_request{turn_id("t")},
      read_request{turn_id("t"), 4'000'000},
      read_reply{true, {chain_state::kPartial, turn_id("x"), {Fact()}}},
      read_reply{true, Chain()},
      adopt_request{View()},
      adopt_reply{true},
      list_request{},
      list_reply{true, {1, 2, 3}},
      pull_request{{1, 2, 3}},
      pull_request{{1, 2, 3}, 256'000},
      pull_reply{{Fact()}},
      pull_reply{{Fact()}, 2},
      stale_view{View()},
      limits_request{{{vm_id("v"), failure_domain_id("d"), region_id("r")},
                      "10.0.0.1:80",
                      false},
                     {{7, 2.5, 120ms}, {8, std::nullopt, 0ms}},
                     11},
      limits_reply{12, std::nullopt},
      limits_reply{
          12,
          limit_state{{{{vm_id("v"), failure_domain_id("d"), region_id("r")},
                        "10.0.0.2:80",
                        true}},
                      {{7, 0.0, 31s}}}},
      copy_request{5},
      copy_request{5, true},
      copy_request{5, true, true},
      copy_request{5, false, false, true},
      copy_reply{store_copy{9, {{"k", "v", 3, 4}}}},
      copy_reply{},
      copy_reply{store_copy{9, {{"k", "v", 3, 4}}}, true, {"gone"}, 250ms},
      copy_reply{std::nullopt, true, {}, 250ms, 1700ms},
      copy_reply{std::nullopt, true, {}, 250ms, 0ms},
      copy_reply{std::nullopt, false, {}, 250ms, 0ms, {}, 17},
      quota_request{},
      quota_request{{{organisation_id("o"), {7, 12.5, 40}, 9, 3},
                     {organisation_id("p"), {8, 0.1, 0}, 0, 1}}},
      quota_reply{},
      quota_reply{
          {{organisation_id("o"), 9, 0ms}, {organisation_id("p"), 0, 1250ms}}},
      lifetimes_request{{program_name("p"), program_name("q")}},
      lifetimes_reply{true, {0, 81'000}},
      forward_request{"10.0.0.1:7380", {1, 2, 3}},
      forward_reply{2}};
}

TEST_CASE("every message type decodes to what was encoded") {
  for (const auto& body : AllBodies()) {
    const auto sent = message{42, 9, body};
    const auto read = DecodeMessage(EncodeMessage(sent));
    REQUIRE(read);
    CHECK(*read == sent);
  }
}

TEST_CASE("every kind of record decodes to what was encoded") {
  const auto full =
      disk_record{{Fact(), FactWithoutContent()}, 0, std::nullopt};
  CHECK(DecodeRecord(EncodeRecord(full)) == full);
  const auto completeness = disk_record{{}, 12, std::nullopt};
  CHECK(DecodeRecord(EncodeRecord(completeness)) == completeness);
  const auto none_removed =
      disk_record{{}, 12, std::nullopt, std::vector<program_name>{}};
  CHECK(DecodeRecord(EncodeRecord(none_removed)) == none_removed);
  const auto removed = disk_record{
      {}, 12, std::nullopt, std::vector{program_name("p"), program_name("q")}};
  CHECK(DecodeRecord(EncodeRecord(removed)) == removed);
  const auto copy = disk_record{{}, 0, store_copy{9, {{"k", "v", 3, 4}}}};
  CHECK(DecodeRecord(EncodeRecord(copy)) == copy);
}

// Facts of earlier versions name no organisation, and their loads no paces.
TEST_CASE("parts without the newer fields are read") {
  auto old_fact = Fact();
  old_fact.content->organisation = {};
  const auto record = disk_record{{old_fact}, 0, std::nullopt};
  CHECK(DecodeRecord(EncodeRecord(record)) == record);
  const auto without = EncodeMessage({1, 9, record_request{{old_fact}}});
  const auto with = EncodeMessage({1, 9, record_request{{Fact()}}});
  CHECK(without.size() < with.size());
  const auto read = DecodeMessage(without);
  REQUIRE(read);
  const auto& facts = std::get<record_request>(read->body).facts;
  REQUIRE(facts.size() == 1);
  CHECK(facts[0].content->organisation.empty());
}

// Sends a message as another version may write it.
auto Received(fbs::MessageT& from) -> std::optional<message> {
  auto builder = flatbuffers::FlatBufferBuilder{};
  builder.Finish(fbs::Message::Pack(builder, &from), fbs::MessageIdentifier());
  return DecodeMessage(
      {reinterpret_cast<const char*>(builder.GetBufferPointer()),
       builder.GetSize()});
}

// Guards against a proof that a journal of an earlier version has not given.
TEST_CASE("a copy without a proof has none") {
  auto from = fbs::MessageT{};
  from.body.Set(fbs::CopyReplyT{});
  const auto read = Received(from);
  REQUIRE(read);
  const auto& reply = std::get<copy_reply>(read->body);
  CHECK_FALSE(reply.store_age);
  CHECK_FALSE(reply.proof_age);
}

// Guards against an overflow, which made such an age a negative one.
TEST_CASE("an age that is too long for a clock stays an age") {
  auto from = fbs::MessageT{};
  auto body = fbs::CopyReplyT{};
  body.store_age_ms = std::numeric_limits<std::int64_t>::max();
  body.proof_age_ms = body.store_age_ms;
  from.body.Set(std::move(body));
  const auto read = Received(from);
  REQUIRE(read);
  const auto& reply = std::get<copy_reply>(read->body);
  REQUIRE(reply.store_age);
  CHECK(*reply.store_age > std::chrono::hours(24));
  CHECK(reply.proof_age == reply.store_age);
}

// A reply with one compressed value, whose bytes and size may be damaged.
auto DeflatedReply(std::string value, std::size_t size) -> std::string {
  auto reply = copy_reply{store_copy{9, {{"a", "v", 3, 4}}}};
  reply.deflated.push_back({{"k", std::move(value), 5, 6}, size});
  return EncodeMessage({1, 9, std::move(reply)});
}

TEST_CASE("a compressed value of a copy is received as it was") {
  const auto value = std::string(std::size_t{1} << 20U, 'v');
  const auto frame = DeflatedReply(Deflate(value), value.size());
  CHECK(frame.size() < value.size() / 100);
  const auto read = DecodeMessage(frame);
  REQUIRE(read);
  const auto& reply = std::get<copy_reply>(read->body);
  CHECK(reply.deflated.empty());
  CHECK(reply.copy == store_copy{9, {{"a", "v", 3, 4}, {"k", value, 5, 6}}});
}

// Guards against a copy that lacks a key, and against the memory that a short
// frame may ask for.
TEST_CASE("a compressed value that is damaged or too large is rejected") {
  const auto deflated = Deflate("value");
  CHECK(DecodeMessage(DeflatedReply(deflated, 5)));
  CHECK_FALSE(DecodeMessage(DeflatedReply(deflated, 6)));
  CHECK_FALSE(DecodeMessage(DeflatedReply("damaged", 5)));
  const auto too_large = std::string((std::size_t{16} << 20U) + 1, 'v');
  CHECK_FALSE(
      DecodeMessage(DeflatedReply(Deflate(too_large), too_large.size())));
}

// Guards against reads past the end of a list of another length.
TEST_CASE("paces that are fewer or more than the samples are read") {
  for (const auto paces : {std::size_t{0}, std::size_t{1}, std::size_t{5}}) {
    auto body = fbs::BeginRequestT{};
    body.program = "p";
    body.turn = "t";
    body.loads.resize(2);
    body.paces.resize(paces, 150);
    auto from = fbs::MessageT{};
    from.body.Set(std::move(body));
    const auto read = Received(from);
    REQUIRE(read);
    const auto& loads = std::get<begin_request>(read->body).loads;
    REQUIRE(loads.size() == 2);
    CHECK(loads[0].pace_percent == (paces > 0 ? 150U : 0U));
    CHECK(loads[1].pace_percent == (paces > 1 ? 150U : 0U));
  }
}

TEST_CASE("a pace that is too large to be sent is cut") {
  const auto sent = message{
      1, 9,
      begin_reply{true, Chain(), {}, {{7, 0, 0, 0ms, std::nullopt, 99'999}}}};
  const auto read = DecodeMessage(EncodeMessage(sent));
  REQUIRE(read);
  CHECK(std::get<begin_reply>(read->body).loads[0].pace_percent == 65'535);
}

// Guards against a proof that looks newer than it is.
TEST_CASE("the age of a proof is rounded up") {
  const auto sent =
      message{1, 9, copy_reply{std::nullopt, true, {}, 250ms, 1700001us}};
  const auto read = DecodeMessage(EncodeMessage(sent));
  REQUIRE(read);
  CHECK(std::get<copy_reply>(read->body).proof_age == 1701ms);
}

// Guards against fronts that ask a member before it has a request left, one
// message for each fraction of a millisecond.
TEST_CASE("the time until a request is granted is rounded up and bounded") {
  const auto read_back = [](duration retry_after) {
    const auto read = DecodeMessage(EncodeMessage(
        {1, 9, quota_reply{{{organisation_id("o"), 0, retry_after}}}}));
    REQUIRE(read);
    return std::get<quota_reply>(read->body).grants[0].retry_after;
  };
  CHECK(read_back(1us) == 1ms);
  CHECK(read_back(1900us) == 2ms);
  CHECK(read_back(-5ms) == 0ms);
  CHECK(read_back(duration::max()) == 4'294'967'295ms);
}

TEST_CASE("truncated and corrupted input is decoded without a crash") {
  auto random = random_source(1);
  for (const auto& body : AllBodies()) {
    const auto frame = EncodeMessage({42, 9, body});
    for (auto size = std::size_t{0}; size < frame.size(); size += 3) {
      // Only a crash is a failure: a truncated frame may still be valid.
      static_cast<void>(DecodeMessage(std::string_view(frame).substr(0, size)));
    }
    for (auto i = 0; i < 200; ++i) {
      auto corrupted = frame;
      corrupted[random.UniformBelow(corrupted.size())] =
          static_cast<char>(random.UniformBelow(256));
      static_cast<void>(DecodeMessage(corrupted));
    }
  }
  CHECK_FALSE(DecodeMessage(""));
  CHECK_FALSE(DecodeMessage("not a message"));
  CHECK_FALSE(DecodeRecord("x"));
}

}  // namespace
}  // namespace daisywind::history
