#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "configuration/check.h"
#include "configuration/document.h"
#include "configuration/storage.h"
#include "control/commands.h"
#include "kv/client.h"

namespace daisywind::control {
namespace {

namespace asio = boost::asio;
namespace config = configuration;
using steady = std::chrono::steady_clock;

constexpr auto kRetryInterval = duration(500ms);

struct document_result {
  std::optional<config::document> value;
  exit_code code = exit_code::kDone;
};

auto ReadDocumentFile(const command_context& context) -> document_result {
  const auto path = context.args->WordAt(2);
  return leaf::try_handle_all(
      [&]() -> leaf::result<document_result> {
        BOOST_LEAF_AUTO(text, ReadFile(path));
        BOOST_LEAF_AUTO(value, config::ParseDocument(text));
        BOOST_LEAF_CHECK(config::CheckDocument(value));
        return document_result{std::move(value), exit_code::kDone};
      },
      [&](const usage_error& error) {
        *context.errors << error.reason << "\n";
        return document_result{std::nullopt, exit_code::kUsage};
      },
      [&](const document_error& error) {
        *context.errors << path << ": " << error.path << ": " << error.reason
                        << "\n";
        return document_result{std::nullopt, exit_code::kRefused};
      },
      [] {
        return document_result{std::nullopt, exit_code::kUsage};
      });
}

auto UnixMs() -> std::int64_t {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Retries a transaction until it is answered or refused, or the deadline
// passes. The transactions of this command are idempotent.
auto SendWithRetries(command_context context,
                     kv::client& service,
                     kv::txn_request request,
                     steady::time_point deadline)
    -> asio::awaitable<kv::call_result<kv::txn_response>> {
  auto result = kv::call_result<kv::txn_response>{};
  auto is_in_doubt = false;
  while (true) {
    auto copy = request;
    result = co_await service.Txn(std::move(copy));
    const auto is_final = result.outcome == kv::outcome::kAnswered ||
                          result.outcome == kv::outcome::kRefused;
    if (is_final) {
      co_return result;
    }
    is_in_doubt = is_in_doubt || result.outcome == kv::outcome::kUnknown;
    if (steady::now() + kRetryInterval >= deadline) {
      break;
    }
    co_await Wait(*context.io, kRetryInterval);
  }
  result.outcome = is_in_doubt ? kv::outcome::kUnknown : kv::outcome::kNotSent;
  co_return result;
}

auto PrintServiceError(const command_context& context,
                       const kv::call_result<kv::txn_response>& result)
    -> exit_code {
  *context.errors << "key-value service call failed: "
                  << (result.error.empty() ? "no response" : result.error)
                  << "\n";
  return result.outcome == kv::outcome::kRefused ? exit_code::kRefused
                                                 : exit_code::kUnavailable;
}

auto PrintInitOutcome(const command_context& context,
                      const kv::txn_response& response,
                      const std::string& patch_id) -> exit_code {
  if (!response.has_succeeded) {
    const auto read = config::ReadHeadState(response);
    const auto is_ours = read && read->accepted;
    if (!is_ours) {
      *context.errors
          << "expected no configuration version, found one; use config patch\n";
      return exit_code::kConflict;
    }
  }
  *context.output << "version 1 written, patch id " << patch_id << "\n";
  return exit_code::kDone;
}

}  // namespace

auto RunInit(command_context context) -> asio::awaitable<exit_code> {
  if (context.args->kv.empty()) {
    *context.errors << "--kv is required: expected http://IP:PORT, got none\n";
    co_return exit_code::kUsage;
  }
  const auto document = ReadDocumentFile(context);
  if (!document.value) {
    co_return document.code;
  }
  auto service = kv::client(*context.io, context.args->kv, {});
  const auto deadline = steady::now() + context.args->timeout;
  const auto& requested_id = context.args->patch_id;
  const auto patch_id =
      requested_id.empty() ? "init-" + RandomId() : requested_id;
  auto requests = config::InitialVersionRequests(
      *document.value, {{}, patch_id, context.args->author, UnixMs()});
  auto result = kv::call_result<kv::txn_response>{};
  for (auto& request : requests) {
    const auto is_last = &request == &requests.back();
    result = co_await SendWithRetries(context, service, std::move(request),
                                      deadline);
    if (result.outcome == kv::outcome::kUnknown && is_last) {
      *context.errors << "version 1 may have been written; repeat with"
                      << " --patch-id " << patch_id << "\n";
      co_return exit_code::kInDoubt;
    }
    if (result.outcome != kv::outcome::kAnswered) {
      co_return PrintServiceError(context, result);
    }
  }
  co_return PrintInitOutcome(context, result.response, patch_id);
}

}  // namespace daisywind::control
