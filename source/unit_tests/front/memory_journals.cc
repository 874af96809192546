#include "memory_journals.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <utility>
#include <variant>

#include "history_wire/codec.h"
#include "history_wire/view_json.h"

namespace daisywind::front {

memory_journals::memory_journals(front_harness& harness) : harness_(harness) {
  for (auto i = std::size_t{0}; i < kMembers; ++i) {
    auto& item = *members_.emplace_back(std::make_unique<member>());
    item.number = i;
    item.replica.SetComplete(1);
    item.server = std::make_unique<net::channel_server>(
        harness.context, 16, net::channel_options{},
        [this, &item](const std::shared_ptr<net::frame_channel>& channel) {
          auto handlers = net::channel_handlers{};
          handlers.on_frame = [this, &item, weak = std::weak_ptr(channel)](
                                  std::string_view frame) {
            OnFrame(item, weak.lock(), frame);
          };
          return handlers;
        });
    const auto port = item.server->Listen({"127.0.0.1", 0});
    REQUIRE(port != 0);
    item.address = "127.0.0.1:" + std::to_string(port);
  }
  for (auto& item : members_) {
    item->replica.Adopt(View(1));
  }
  harness.store.Put(std::string(history::kViewKey),
                    history::RenderView(View(1)));
  REQUIRE(harness.RunUntil(
      [&] { return harness.node().turns().current().number == 1; }));
}

auto memory_journals::View(history::view_number number) const -> history::view {
  auto view = history::view{number, {}};
  for (const auto& item : members_) {
    const auto name = std::to_string(item->number);
    view.members.push_back({vm_id("vm" + name), history::disk_id("d" + name),
                            item->address, failure_domain_id("d"),
                            region_id("r")});
  }
  return view;
}

auto memory_journals::FindFact(const std::string& turn)
    -> std::optional<history::turn_fact> {
  const auto& facts = members_.front()->replica.facts();
  for (const auto& fact : facts.FindByHashes(facts.Hashes())) {
    if (fact.turn.value == turn) {
      return fact;
    }
  }
  return std::nullopt;
}

auto memory_journals::WaitUntilSettled(const std::string& turn) -> void {
  REQUIRE(harness_.RunUntil([&] {
    const auto fact = FindFact(turn);
    return fact && fact->settled_tokens.has_value();
  }));
}

auto memory_journals::OnFrame(
    member& to,
    const std::shared_ptr<net::frame_channel>& channel,
    std::string_view frame) -> void {
  const auto request = history::DecodeMessage(frame);
  if (!request || channel == nullptr || is_silent_) {
    return;
  }
  const auto* quota = std::get_if<history::quota_request>(&request->body);
  auto reply = std::optional<history::message_body>{};
  if (quota == nullptr) {
    constexpr auto kNow = std::int64_t{1'000'000};
    reply = to.replica.Handle(*request, kNow).reply;
  } else if (on_quota) {
    reply = on_quota(to.number, *quota, request->view);
  }
  if (reply) {
    channel->Send(history::EncodeMessage({request->id, 1, std::move(*reply)}));
  }
  if (quota != nullptr && after_quota) {
    after_quota();
  }
}

}  // namespace daisywind::front
