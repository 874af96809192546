// Executes the commands of the configuration system.
#ifndef DAISYWIND_GATEWAY_CONFIGURATION_ADAPTER_H_
#define DAISYWIND_GATEWAY_CONFIGURATION_ADAPTER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "configuration/configuration_system.h"
#include "gateway/admin_api.h"
#include "gateway/peer_network.h"
#include "kv/client.h"

namespace daisywind::gateway {

// Submits events to the configuration system and executes the commands that it
// returns.
class configuration_adapter {
 public:
  using install_handler =
      std::function<void(const configuration::install_version&)>;

  configuration_adapter(boost::asio::io_context& context,
                        kv::client& kv_client,
                        peer_network& peers,
                        admin_replies& replies,
                        std::uint64_t seed,
                        install_handler on_install);
  configuration_adapter(const configuration_adapter&) = delete;
  auto operator=(const configuration_adapter&)
      -> configuration_adapter& = delete;

  auto Submit(const configuration::event& event) -> void;
  auto Tick() -> void;

  [[nodiscard]] auto system() const
      -> const configuration::configuration_system& {
    return system_;
  }

 private:
  auto Execute(const std::vector<configuration::command>& commands) -> void;
  auto Execute(const configuration::kv_command& command) -> void;
  auto Execute(const configuration::start_watch& command) -> void;
  auto Execute(const configuration::stop_watch& command) -> void;
  auto Execute(const configuration::send_message& command) -> void;
  auto Execute(const configuration::patch_reply& command) -> void;
  auto Execute(const configuration::version_reply& command) -> void;
  auto Execute(const configuration::history_reply& command) -> void;
  auto Execute(const configuration::status_reply& command) -> void;
  auto Execute(const configuration::install_version& command) -> void;

  auto SubmitChanges(configuration::watch_id id,
                     const std::vector<kv::watch_change>& changes) -> void;
  auto RunWatch(configuration::start_watch command)
      -> boost::asio::awaitable<void>;

  boost::asio::io_context& context_;
  kv::client& kv_client_;
  peer_network& peers_;
  admin_replies& replies_;
  install_handler on_install_;
  configuration::configuration_system system_;
  std::set<configuration::watch_id> watches_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_CONFIGURATION_ADAPTER_H_
