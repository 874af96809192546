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

constexpr auto kRetryAfter = duration(500ms);

struct read_document {
  std::optional<config::document> value;
  exit_code code = exit_code::kDone;
};

auto ReadDocumentFile(const command_context& context) -> read_document {
  const auto path = context.given->Word(2);
  return leaf::try_handle_all(
      [&]() -> leaf::result<read_document> {
        BOOST_LEAF_AUTO(text, ReadFile(path));
        BOOST_LEAF_AUTO(value, config::ParseDocument(text));
        BOOST_LEAF_CHECK(config::CheckDocument(value));
        return read_document{std::move(value), exit_code::kDone};
      },
      [&](const usage_error& error) {
        *context.errors << error.reason << "\n";
        return read_document{std::nullopt, exit_code::kUsage};
      },
      [&](const document_error& error) {
        *context.errors << path << ": " << error.path << ": " << error.reason
                        << "\n";
        return read_document{std::nullopt, exit_code::kRefused};
      },
      [] {
        return read_document{std::nullopt, exit_code::kUsage};
      });
}

auto UnixMs() -> std::int64_t {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Repeats a transaction until it is answered or the time is over. All of them
// may be carried out twice.
auto Execute(command_context context,
             kv::client& service,
             kv::txn_request request,
             steady::time_point end)
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
    if (steady::now() + kRetryAfter >= end) {
      break;
    }
    co_await Wait(*context.io, kRetryAfter);
  }
  result.outcome = is_in_doubt ? kv::outcome::kUnknown : kv::outcome::kNotSent;
  co_return result;
}

auto Complain(const command_context& context,
              const kv::call_result<kv::txn_response>& result) -> exit_code {
  *context.errors << "the key-value service: "
                  << (result.error.empty() ? "no answer" : result.error)
                  << "\n";
  return result.outcome == kv::outcome::kRefused ? exit_code::kRefused
                                                 : exit_code::kUnavailable;
}

auto Accepted(const command_context& context,
              const kv::txn_response& response,
              const std::string& patch_id) -> exit_code {
  if (!response.has_succeeded) {
    const auto read = config::ReadHeadState(response);
    const auto is_ours = read && read->accepted;
    if (!is_ours) {
      *context.errors << "there is a version already; use config patch\n";
      return exit_code::kConflict;
    }
  }
  *context.output << "version 1 written, patch id " << patch_id << "\n";
  return exit_code::kDone;
}

}  // namespace

auto RunInit(command_context context) -> asio::awaitable<exit_code> {
  if (context.given->kv.empty()) {
    *context.errors << "--kv is missing\n";
    co_return exit_code::kUsage;
  }
  const auto document = ReadDocumentFile(context);
  if (!document.value) {
    co_return document.code;
  }
  auto service = kv::client(*context.io, context.given->kv, {});
  const auto end = steady::now() + context.given->timeout;
  const auto& given_id = context.given->patch_id;
  const auto patch_id = given_id.empty() ? "init-" + RandomName() : given_id;
  auto requests = config::InitialVersionRequests(
      *document.value, {{}, patch_id, context.given->author, UnixMs()});
  auto result = kv::call_result<kv::txn_response>{};
  for (auto& request : requests) {
    const auto is_last = &request == &requests.back();
    result = co_await Execute(context, service, std::move(request), end);
    if (result.outcome == kv::outcome::kUnknown && is_last) {
      *context.errors << "version 1 may have been written; repeat with"
                      << " --patch-id " << patch_id << "\n";
      co_return exit_code::kInDoubt;
    }
    if (result.outcome != kv::outcome::kAnswered) {
      co_return Complain(context, result);
    }
  }
  co_return Accepted(context, result.response, patch_id);
}

}  // namespace daisywind::control
