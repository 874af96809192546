#include "gateway/configuration_adapter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

#include "common/process_clock.h"
#include "configuration_wire/codec.h"

namespace daisywind::gateway {

namespace asio = boost::asio;

configuration_adapter::configuration_adapter(asio::io_context& context,
                                             kv::client& kv_client,
                                             peer_network& peers,
                                             admin_replies& replies,
                                             std::uint64_t seed,
                                             install_handler on_install)
    : context_(context),
      kv_client_(kv_client),
      peers_(peers),
      replies_(replies),
      on_install_(std::move(on_install)),
      system_(seed) {}

auto configuration_adapter::Submit(const configuration::event& event) -> void {
  Execute(system_.Handle(event, Now()));
}

auto configuration_adapter::Tick() -> void {
  Execute(system_.Tick(Now()));
}

auto configuration_adapter::Execute(
    const std::vector<configuration::command>& commands) -> void {
  for (const auto& item : commands) {
    std::visit([this](const auto& command) { Execute(command); }, item);
  }
}

auto configuration_adapter::Execute(const configuration::kv_command& command)
    -> void {
  asio::co_spawn(
      context_, kv_client_.Txn(command.request),
      [this, id = command.operation](const std::exception_ptr&,
                                     kv::call_result<kv::txn_response> result) {
        Submit(configuration::kv_result{id, result.outcome,
                                        std::move(result.response)});
      });
}

auto configuration_adapter::Execute(const configuration::start_watch& command)
    -> void {
  watches_.insert(command.watch);
  asio::co_spawn(context_, RunWatch(command), asio::detached);
}

auto configuration_adapter::Execute(const configuration::stop_watch& command)
    -> void {
  watches_.erase(command.watch);
}

auto configuration_adapter::Execute(const configuration::send_message& command)
    -> void {
  peers_.Send(command.to, wire::protocol::kConfiguration,
              configuration::EncodeMessage(command.content));
}

auto configuration_adapter::Execute(const configuration::patch_reply& command)
    -> void {
  replies_.patches.Resolve(command.request, command.result);
}

auto configuration_adapter::Execute(const configuration::version_reply& command)
    -> void {
  replies_.versions.Resolve(command.request, command);
}

auto configuration_adapter::Execute(const configuration::history_reply& command)
    -> void {
  replies_.histories.Resolve(command.request, command);
}

auto configuration_adapter::Execute(const configuration::status_reply& command)
    -> void {
  replies_.states.Resolve(command.request, command);
}

auto configuration_adapter::Execute(
    const configuration::install_version& command) -> void {
  on_install_(command);
}

auto configuration_adapter::SubmitChanges(
    configuration::watch_id id,
    const std::vector<kv::watch_change>& changes) -> void {
  for (const auto& change : changes) {
    if (!change.is_deleted && watches_.contains(id)) {
      Submit(configuration::watch_event{id, change.item});
    }
  }
}

auto configuration_adapter::RunWatch(configuration::start_watch command)
    -> asio::awaitable<void> {
  const auto id = command.watch;
  auto opened =
      co_await kv_client_.Watch(command.key, command.after_revision + 1);
  while (opened.stream != nullptr && watches_.contains(id)) {
    const auto changes = co_await opened.stream->Next();
    if (!changes) {
      break;
    }
    SubmitChanges(id, *changes);
  }
  if (watches_.erase(id) != 0) {
    Submit(configuration::watch_lost{id});
  }
}

}  // namespace daisywind::gateway
