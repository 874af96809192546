#include "program_wire/program_wire.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "common/random.h"

namespace daisywind::program_wire {
namespace {

using namespace program;

constexpr auto kProgram = program_id{7, 9};

auto Vm(const std::string& name) -> vm_ref {
  return vm_ref{vm_id{name}, 3};
}

auto Set() -> replica_set {
  return replica_set{4, Vm("a"), Vm("b"), Vm("c")};
}

auto Answer() -> call_answer {
  return call_answer{200, "text/plain", MakePayload(std::string{"a\0b", 3}), 11,
                     12};
}

auto Request() -> call_request {
  auto request = call_request{};
  request.turn = 5;
  request.kind = call_kind::kService;
  request.target = "cart";
  request.adapter = adapter_id{"combos"};
  request.key = "payout";
  request.has_lookup = true;
  request.is_stream = true;
  request.offset = 6;
  request.body_digest = DigestOf("body");
  request.history = {DigestOf("x"), DigestOf("y")};
  request.prompt_tokens = 1;
  request.max_tokens = 2;
  request.prefix_blocks = {DigestOf("z")};
  request.path = "/pay";
  request.content_type = "application/json";
  request.body = MakePayload("{}");
  return request;
}

auto Record() -> call_record {
  auto record = call_record{};
  record.turn = 5;
  record.attempt = AttemptBase(4) + 1;
  record.attempts = 2;
  record.phase = call_phase::kSettled;
  record.is_rerun = true;
  record.is_doubt_told = true;
  record.key = DigestOf("payout");
  record.endpoint = endpoint_id{"cart-1"};
  record.reserved = budget{1, 2, duration{3}};
  record.message_count = 8;
  record.answer = Answer();
  return record;
}

auto State() -> program_state {
  auto state = program_state{};
  state.id = kProgram;
  state.tenant = tenant_id{"choclo"};
  state.service_class = class_id{"vendor"};
  state.limits = budget{100, 10, duration{1s}};
  state.used = budget{10, 1, duration{}};
  state.age = 5s;
  state.last_attempt = 17;
  auto branch = branch_record{};
  branch.name = branch_id{"main"};
  branch.last_turn = 5;
  branch.calls[5] = Record();
  state.branches.emplace(branch.name, branch);
  state.holders = {endpoint_id{"agent-1"}, endpoint_id{"agent-2"}};
  return state;
}

auto View() -> program_view {
  auto view = program_view{};
  view.handle = program_handle{kProgram, Set()};
  view.tenant = tenant_id{"choclo"};
  view.branches = {branch_view{branch_id{"main"}, branch_id{}, 2, true, false}};
  return view;
}

auto Updates() -> std::vector<state_update> {
  const auto main = branch_id{"main"};
  return {branch_started{branch_id{"sub"}, main},
          branch_joined{main},
          intent{main, Record()},
          withdrawal{main, 5, 6},
          settlement{main, 5, 6, budget{1, 1, {}}, 9, DigestOf("h"), Answer()},
          doubt_told{main, 5},
          program_ended{},
          holder_released{endpoint_id{"agent-1"}}};
}

auto EveryMessage() -> std::vector<message> {
  const auto handle = program_handle{kProgram, Set()};
  const auto call = call_ref{kProgram, branch_id{"main"}, 5};
  const auto number = ballot{2, Vm("a")};
  const auto tenant = tenant_id{"choclo"};
  auto all = std::vector<message>{
      forward_call{1, handle, tenant, Request(), MakePayload("had"), true},
      forward_control{1, handle, tenant, control_action::kJoin,
                      branch_id{"sub"}, branch_id{"main"}, true},
      forward_accepted{1, Set()},
      forward_poll{1, call, 77},
      forward_redirect{1, kProgram, Set()},
      forward_cancel{1, call},
      call_part{1, Set(), 12, MakePayload("bytes")},
      call_end{1, Set(), Answer(), 99, true},
      call_problem{1, Set(),
                   problem{outcome::kDone, refusal_reason::kOverloaded,
                           "overloaded", 2s}},
      control_reply{1, View()},
      doubt_delivered{call},
      record_ack{kProgram, 4, 8},
      prepare{kProgram, Set(), number},
      promise{kProgram, 4, number, number, Set()},
      accept{kProgram, Set(), number, Set()},
      accepted{kProgram, 4, number},
      ballot_refused{kProgram, 4, number, Set()},
      install{Set(), State()},
      install_ack{kProgram, 4},
      late_settlement{kProgram, 6, Updates()[3], endpoint_id{"agent-1"}, true},
      late_settlement{kProgram, 6, {}, endpoint_id{"agent-1"}, false},
      late_settlement_ack{kProgram, 6, true},
      locate{1, kProgram},
      locate_reply{1, kProgram, Set()},
      discard{kProgram, 4}};
  for (auto& update : Updates()) {
    all.push_back(record_update{kProgram, 4, 8, std::move(update)});
  }
  return all;
}

}  // namespace

TEST_CASE("every message comes back as it was") {
  auto kinds = std::vector<bool>(std::variant_size_v<message>, false);
  for (const auto& item : EveryMessage()) {
    kinds[item.index()] = true;
    const auto bytes = EncodeMessage(item);
    const auto back = DecodeMessage(bytes);
    REQUIRE(back);
    CHECK(back->index() == item.index());
    // The encoding is a function of all fields.
    CHECK(EncodeMessage(*back) == bytes);
  }
  for (const auto is_covered : kinds) {
    CHECK(is_covered);
  }
}

TEST_CASE("the fields of a message survive") {
  const auto bytes = EncodeMessage(install{Set(), State()});
  const auto back = std::get<install>(*DecodeMessage(bytes));
  CHECK(back.replicas == Set());
  CHECK(back.state.id == kProgram);
  CHECK(back.state.holders == State().holders);
  CHECK(back.state.age == 5s);
  const auto* call = FindCall(back.state, branch_id{"main"}, 5);
  REQUIRE(call != nullptr);
  CHECK(call->key == DigestOf("payout"));
  CHECK(call->attempt == AttemptBase(4) + 1);
  CHECK(BytesOf(call->answer->body) == std::string("a\0b", 3));
}

TEST_CASE("truncated messages are refused") {
  // The last bytes of a buffer may be padding.
  constexpr auto kPadding = sizeof(std::uint64_t);
  for (const auto& item : EveryMessage()) {
    const auto bytes = EncodeMessage(item);
    for (auto size = std::size_t{0}; size + kPadding < bytes.size(); ++size) {
      CHECK_FALSE(DecodeMessage(std::string_view{bytes}.substr(0, size)));
    }
  }
}

TEST_CASE("random and damaged bytes never break the decoder") {
  auto random = random_source{1};
  constexpr auto kRounds = 20000;
  const auto messages = EveryMessage();
  auto decoded = 0;
  for (auto i = 0; i < kRounds; ++i) {
    auto bytes = EncodeMessage(messages[random.Below(messages.size())]);
    const auto flips = 1 + random.Below(8);
    for (auto j = std::uint64_t{0}; j < flips; ++j) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
    }
    decoded += DecodeMessage(bytes) ? 1 : 0;
    auto noise = std::string(random.Below(200), '\0');
    for (auto& byte : noise) {
      byte = static_cast<char>(random.Next());
    }
    decoded += DecodeMessage(noise) ? 1 : 0;
  }
  CHECK(decoded < 2 * kRounds);
}

TEST_CASE("an enumeration outside of its range is refused") {
  auto refusal = problem{};
  refusal.reason = static_cast<refusal_reason>(200);
  CHECK_FALSE(DecodeMessage(EncodeMessage(call_problem{1, Set(), refusal})));
}

}  // namespace daisywind::program_wire
