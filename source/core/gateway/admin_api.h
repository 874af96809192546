// The HTTP interface for operators.
#ifndef DAISYWIND_GATEWAY_ADMIN_API_H_
#define DAISYWIND_GATEWAY_ADMIN_API_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "configuration/configuration_system.h"
#include "configuration/events.h"
#include "gateway/pending_table.h"
#include "gateway/problem.h"
#include "membership/member.h"
#include "migration/progress.h"
#include "net/http_server.h"
#include "policy/types.h"
#include "program/program_system.h"

namespace daisywind::gateway {

// Callbacks and state that the operator interface needs from the process.
struct admin_api_hooks {
  std::string vm;
  // SHA-256 of the operators' bearer key, in hexadecimal digits.
  std::string operator_key_digest;
  const configuration::configuration_system& configuration;
  const program::program_system& programs;
  std::function<void(configuration::event)> submit;
  std::function<migration::migration_progress()> progress;
  std::function<policy::scheduler_summary()> scheduler;
  std::function<membership::member_list()> members;
  std::function<std::string()> metrics_text;
  std::function<bool()> is_ready;
  std::function<void()> drain;
};

// Operator requests that wait for a reply of the configuration system.
struct admin_replies {
  explicit admin_replies(boost::asio::io_context& context)
      : patches(context),
        versions(context),
        histories(context),
        states(context) {}

  pending_table<configuration::patch_result> patches;
  pending_table<configuration::version_reply> versions;
  pending_table<configuration::history_reply> histories;
  pending_table<configuration::status_reply> states;
};

// Routes operator requests to their handlers. Every path except the health
// checks and /metrics requires the operators' bearer key.
class admin_api {
 public:
  admin_api(boost::asio::io_context& context,
            admin_api_hooks hooks,
            admin_replies& replies);

  auto Handle(net::http_exchange& exchange) -> boost::asio::awaitable<void>;

 private:
  using response_awaitable = boost::asio::awaitable<net::http_response>;
  using handler = response_awaitable (admin_api::*)(const net::http_request&);
  struct route {
    std::string method;
    std::string path;
    handler handle = nullptr;
  };

  static auto Routes() -> const std::vector<route>&;

  auto GetConfig(const net::http_request& request) -> response_awaitable;
  auto PatchConfig(const net::http_request& request) -> response_awaitable;
  auto GetHistory(const net::http_request& request) -> response_awaitable;
  auto GetStatus(const net::http_request& request) -> response_awaitable;
  auto GetPrograms(const net::http_request& request) -> response_awaitable;
  auto GetEndpoints(const net::http_request& request) -> response_awaitable;
  auto GetMigration(const net::http_request& request) -> response_awaitable;
  auto PostDrain(const net::http_request& request) -> response_awaitable;
  auto GetMetrics(const net::http_request& request) -> response_awaitable;

  auto WaitForVersion(version_number after, duration timeout)
      -> boost::asio::awaitable<void>;
  auto GetOldVersion(version_number number) -> response_awaitable;

  boost::asio::io_context& context_;
  admin_api_hooks hooks_;
  admin_replies& replies_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_ADMIN_API_H_
