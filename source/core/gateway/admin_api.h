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

// What the operators' interface reads and asks for.
struct admin_api_hooks {
  std::string vm;
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

// Answers of the configuration system to operators' requests.
struct admin_answers {
  explicit admin_answers(boost::asio::io_context& context)
      : patches(context),
        versions(context),
        histories(context),
        states(context) {}

  pending_table<configuration::patch_result> patches;
  pending_table<configuration::version_reply> versions;
  pending_table<configuration::history_reply> histories;
  pending_table<configuration::status_reply> states;
};

// Handles operators' requests.
class admin_api {
 public:
  admin_api(boost::asio::io_context& context,
            admin_api_hooks hooks,
            admin_answers& answers);

  // Handles one request.
  auto Handle(net::http_exchange& exchange) -> boost::asio::awaitable<void>;

 private:
  using answer = boost::asio::awaitable<net::http_response>;
  using handler = answer (admin_api::*)(const net::http_request&);
  struct route {
    std::string method;
    std::string path;
    handler handle = nullptr;
  };

  static auto Routes() -> const std::vector<route>&;

  auto GetConfig(const net::http_request& request) -> answer;
  auto PatchConfig(const net::http_request& request) -> answer;
  auto GetHistory(const net::http_request& request) -> answer;
  auto GetStatus(const net::http_request& request) -> answer;
  auto GetPrograms(const net::http_request& request) -> answer;
  auto GetEndpoints(const net::http_request& request) -> answer;
  auto GetMigration(const net::http_request& request) -> answer;
  auto PostDrain(const net::http_request& request) -> answer;
  auto GetMetrics(const net::http_request& request) -> answer;

  auto WaitForVersion(version_number after, duration bound)
      -> boost::asio::awaitable<void>;
  auto GetOldVersion(version_number number) -> answer;

  boost::asio::io_context& context_;
  admin_api_hooks hooks_;
  admin_answers& answers_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_ADMIN_API_H_
