#include "history_wire/codec.h"

#include <doctest/doctest.h>

#include "common/random.h"

namespace daisywind::history {
namespace {

auto Fact() -> turn_fact {
  return {program_name("p"),
          turn_id("t"),
          50,
          20U,
          turn_content{turn_id("s"), std::string("in\0put", 6), "output\n",
                       endpoint_id("e"), 3500},
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
      record_request{{Fact(), FactWithoutContent()}},
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
      copy_reply{store_copy{9, {{"k", "v", 3, 4}}}},
      copy_reply{},
      copy_reply{store_copy{9, {{"k", "v", 3, 4}}}, true, {"gone"}, 250ms},
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
