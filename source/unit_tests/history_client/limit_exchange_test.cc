#include "history_client/limit_exchange.h"

#include <doctest/doctest.h>

#include <string>

namespace daisywind::history {
namespace {

constexpr auto kNow = instant(100s);
constexpr auto kEndpoint = endpoint_key{1};

auto Sender(const char* vm) -> vm_location {
  return {vm_id(vm), failure_domain_id("d"), region_id("r")};
}

// A VM and its exchange with one member.
struct fixture {
  explicit fixture(const char* vm) : exchange(Sender(vm)) {}

  auto Exchange(limit_registry& member, const std::string& address, instant now)
      -> bool {
    return exchange.ProcessReply(
        address, member.Handle(exchange.MakeRequest(address, now), now), now,
        now);
  }

  limit_exchange exchange;
};

TEST_CASE("a limit that one VM has seen reaches the others") {
  auto member = limit_registry(7);
  auto a = fixture("a");
  auto b = fixture("b");
  CHECK(a.exchange.Observe(kEndpoint, 2.0, kNow));
  CHECK_FALSE(a.exchange.Observe(kEndpoint, 2.0, kNow));
  a.Exchange(member, "m", kNow);
  CHECK(b.Exchange(member, "m", kNow + 10ms));
  CHECK(b.exchange.LimitOf(kEndpoint) == 2.0);
  CHECK(b.exchange.Senders(kNow + 10ms) ==
        std::vector{Sender("a"), Sender("b")});
  CHECK_FALSE(b.Exchange(member, "m", kNow + 20ms));
  // The endpoint no longer names a limit.
  CHECK(b.exchange.Observe(kEndpoint, std::nullopt, kNow + 1s));
  b.Exchange(member, "m", kNow + 1s);
  CHECK(a.Exchange(member, "m", kNow + 1s));
  CHECK_FALSE(a.exchange.HasLimits());
}

TEST_CASE("VMs that share no member still learn from those that do") {
  auto first = limit_registry(7);
  auto second = limit_registry(8);
  auto a = fixture("a");
  auto b = fixture("b");
  auto c = fixture("c");
  a.Exchange(first, "1", kNow);
  c.Exchange(second, "2", kNow);
  b.Exchange(first, "1", kNow);
  b.Exchange(second, "2", kNow);
  CHECK(b.exchange.Senders(kNow).size() == 3);
}

TEST_CASE("a sample is repeated until a member has confirmed it") {
  auto a = fixture("a");
  a.exchange.Observe(kEndpoint, 2.0, kNow);
  CHECK(a.exchange.MakeRequest("m", kNow).limits.size() == 1);
  // The reply to that request is lost.
  CHECK(a.exchange.MakeRequest("m", kNow + 1s).limits.size() == 1);
  a.exchange.ProcessReply("m", {1, std::nullopt}, kNow + 1s, kNow + 2s);
  CHECK(a.exchange.MakeRequest("m", kNow + 2s).limits.empty());
  CHECK(a.exchange.MakeRequest("other", kNow + 2s).limits.size() == 1);
}

TEST_CASE("a VM learns which others reach endpoints, from the newest reply") {
  auto first = limit_registry(7);
  auto second = limit_registry(8);
  auto a = fixture("a");
  auto b = fixture("b");
  a.exchange.SetSelf("10.0.0.1:80", true);
  a.Exchange(first, "1", kNow);
  a.Exchange(second, "2", kNow);
  b.Exchange(first, "1", kNow);
  b.Exchange(second, "2", kNow);
  const auto self = sender_state{Sender("b"), "", true};
  CHECK(b.exchange.SenderStates(kNow) ==
        std::vector{sender_state{Sender("a"), "10.0.0.1:80", true}, self});
  // The first member does not hear of the change.
  a.exchange.SetSelf("10.0.0.1:80", false);
  a.Exchange(second, "2", kNow + 1s);
  b.Exchange(first, "1", kNow + 1s);
  b.Exchange(second, "2", kNow + 2s);
  CHECK(b.exchange.SenderStates(kNow + 2s) ==
        std::vector{sender_state{Sender("a"), "10.0.0.1:80", false}, self});
  // Without replies relays are known longer than shares count.
  CHECK(b.exchange.Senders(kNow + 10s).empty());
  CHECK(b.exchange.SenderStates(kNow + 10s).size() == 2);
  CHECK(b.exchange.SenderStates(kNow + 60s).empty());
}

TEST_CASE("without replies no senders are known") {
  auto member = limit_registry(7);
  auto a = fixture("a");
  CHECK(a.exchange.Senders(kNow).empty());
  a.Exchange(member, "m", kNow);
  CHECK(a.exchange.Senders(kNow + 1s).size() == 1);
  CHECK(a.exchange.Senders(kNow + 3s).empty());
}

TEST_CASE("only endpoints that are missing for long are forgotten") {
  auto a = fixture("a");
  a.exchange.Observe(kEndpoint, 2.0, kNow);
  a.exchange.DropMissing({}, kNow + 1s);
  CHECK(a.exchange.HasLimits());
  a.exchange.DropMissing({kEndpoint}, kNow + 100s);
  CHECK(a.exchange.HasLimits());
  a.exchange.DropMissing({}, kNow + 100s);
  CHECK_FALSE(a.exchange.HasLimits());
}

}  // namespace
}  // namespace daisywind::history
