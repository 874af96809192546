#include "gateway/membership_adapter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "common/logging.h"
#include "common/process_clock.h"
#include "membership_wire/codec.h"
#include "membership_wire/member_json.h"

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;

// End of the range of keys with the prefix; not part of the range.
constexpr std::string_view kMemberEnd = "daisywind/members0";

}  // namespace

membership_adapter::membership_adapter(asio::io_context& context,
                                       kv::client& kv_client,
                                       peer_network& peers,
                                       std::uint64_t seed,
                                       membership_handlers handlers)
    : context_(context),
      kv_client_(kv_client),
      peers_(peers),
      handlers_(std::move(handlers)),
      system_(membership::membership_options{}, seed) {}

auto membership_adapter::Submit(const membership::event& event) -> void {
  Execute(system_.Handle(event, Now()));
}

auto membership_adapter::Tick() -> void {
  Execute(system_.Tick(Now()));
}

auto membership_adapter::Execute(
    const std::vector<membership::command>& commands) -> void {
  for (const auto& item : commands) {
    std::visit([this](const auto& command) { Execute(command); }, item);
  }
}

auto membership_adapter::Execute(const membership::send_message& command)
    -> void {
  peers_.SendToAddress(command.address, wire::protocol::kMembership,
                       membership::EncodeMessage(command.content));
}

auto membership_adapter::Execute(const membership::members_changed& command)
    -> void {
  for (const auto& member : command.members) {
    peers_.SetAddress(member.ref.vm, member.address);
  }
  handlers_.on_members(command.members);
}

auto membership_adapter::Execute(const membership::member_suspected& command)
    -> void {
  Log(log_events::kMemberSuspected,
      {{"vm", std::string_view(command.ref.vm.value)}});
}

auto membership_adapter::Execute(const membership::member_dead& command)
    -> void {
  Log(log_events::kMemberDead,
      {{"vm", std::string_view(command.ref.vm.value)}});
  handlers_.on_dead(command.ref);
}

auto membership_adapter::Execute(const membership::self_superseded&) -> void {
  Log(log_events::kSelfSuperseded);
  handlers_.on_superseded();
}

auto membership_adapter::Execute(const membership::publish_lease& command)
    -> void {
  asio::co_spawn(context_, PublishMember(command.self, command.time_to_live),
                 asio::detached);
}

auto membership_adapter::Execute(const membership::withdraw_lease&) -> void {
  const auto lease = std::exchange(lease_, 0);
  if (lease != 0) {
    asio::co_spawn(
        context_, kv_client_.Revoke(lease),
        [](const std::exception_ptr&, const kv::call_result<kv::revision>&) {});
  }
}

auto membership_adapter::Execute(const membership::read_members&) -> void {
  asio::co_spawn(context_, ReadMembers(), asio::detached);
}

auto membership_adapter::PublishMember(membership::member self,
                                       duration time_to_live)
    -> asio::awaitable<void> {
  if (lease_ != 0) {
    const auto renewed = co_await kv_client_.KeepAlive(lease_);
    if (renewed.outcome == kv::outcome::kAnswered &&
        renewed.response.ttl_seconds > 0) {
      co_return;
    }
    lease_ = 0;
  }
  const auto granted = co_await kv_client_.Grant(
      std::chrono::ceil<std::chrono::seconds>(time_to_live).count());
  if (granted.outcome != kv::outcome::kAnswered) {
    Submit(membership::kv_unavailable{});
    co_return;
  }
  auto request = kv::txn_request{};
  request.success.emplace_back(
      kv::put_request{membership::MemberKey(self.ref.vm),
                      membership::RenderMember(self), granted.response.id});
  const auto written = co_await kv_client_.Txn(std::move(request));
  if (written.outcome != kv::outcome::kAnswered) {
    Submit(membership::kv_unavailable{});
    co_return;
  }
  lease_ = granted.response.id;
}

auto membership_adapter::ReadMembers() -> asio::awaitable<void> {
  auto request = kv::txn_request{};
  request.success.emplace_back(
      kv::range_request{std::string(membership::kMemberPrefix),
                        std::string(kMemberEnd), 0, false});
  const auto result = co_await kv_client_.Txn(std::move(request));
  if (result.outcome != kv::outcome::kAnswered ||
      result.response.ranges.empty()) {
    Submit(membership::kv_unavailable{});
    co_return;
  }
  auto found = membership::kv_members{};
  for (const auto& item : result.response.ranges.front().items) {
    if (auto member = membership::ParseMember(item)) {
      found.members.push_back(std::move(*member));
    } else {
      Log(log_events::kEntryIgnored, {{"key", std::string_view(item.key)},
                                      {"reason", "not a valid member"}});
    }
  }
  Submit(found);
}

}  // namespace daisywind::gateway
