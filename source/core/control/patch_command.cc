#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

#include "control/commands.h"

namespace daisywind::control {
namespace {

namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

constexpr auto kUnavailable = 503U;
constexpr auto kOk = 200U;
constexpr auto kRetryInterval = duration(500ms);
constexpr auto kMinCallTimeout = duration(100ms);

// The content of a patch file.
struct patch_file {
  std::string text;
  std::string_view content_type;
};

auto ReadPatch(const command_context& context) -> std::optional<patch_file> {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<patch_file>> {
        BOOST_LEAF_AUTO(text, ReadFile(context.args->WordAt(2)));
        BOOST_LEAF_AUTO(value, ParseJson(text));
        const auto type = value.is_array() ? "application/json-patch+json"
                                           : "application/merge-patch+json";
        return patch_file{std::move(text), type};
      },
      [&](const usage_error& error) {
        *context.errors << error.reason << "\n";
        return std::optional<patch_file>();
      },
      [&](const document_error& error) {
        *context.errors << context.args->WordAt(2) << ": " << error.reason
                        << "\n";
        return std::optional<patch_file>();
      },
      [] { return std::optional<patch_file>(); });
}

auto MakeRequest(const patch_file& patch,
                 version_number if_match,
                 const std::string& patch_id) -> net::http_request {
  auto request = net::http_request{};
  request.method = "PATCH";
  request.target = "/admin/v1/config";
  request.headers = {{"Content-Type", std::string(patch.content_type)},
                     {"If-Match", "\"" + std::to_string(if_match) + "\""},
                     {"Patch-Id", patch_id}};
  request.body = patch.text;
  return request;
}

auto AddAuthor(const command_context& context, net::http_request& request)
    -> void {
  if (!context.args->author.empty()) {
    request.headers.push_back({"Patch-Author", context.args->author});
  }
}

// True when the patch may have been accepted although no response confirmed it.
auto IsInDoubt(const net::http_result& result) -> bool {
  if (result.outcome != net::http_outcome::kAnswered) {
    return result.outcome == net::http_outcome::kNoAnswer;
  }
  if (result.response.status != kUnavailable) {
    return false;
  }
  const auto body = ParseJson(result.response.body);
  return !body || !body->is_object() ||
         StringOr(body->get_object(), "outcome", "unknown") != "not_run";
}

auto IsFinal(const net::http_result& result) -> bool {
  return result.outcome == net::http_outcome::kAnswered &&
         result.response.status != kUnavailable;
}

auto PrintInDoubt(const command_context& context,
                  version_number if_match,
                  const std::string& patch_id) -> exit_code {
  *context.errors << "the patch may have been accepted; repeat it with"
                  << " --if-match " << if_match << " --patch-id " << patch_id
                  << "\n";
  return exit_code::kInDoubt;
}

auto FindIfMatch(command_context context)
    -> asio::awaitable<std::optional<version_number>> {
  if (context.args->if_match) {
    co_return context.args->if_match;
  }
  auto target = std::string("/admin/v1/config");
  const auto result =
      co_await context.admin->Get(std::move(target), context.args->timeout);
  if (result.outcome != net::http_outcome::kAnswered ||
      result.response.status != kOk) {
    PrintAnswer(context, result);
    co_return std::nullopt;
  }
  co_return VersionFromEtag(result.response);
}

}  // namespace

auto RunPatch(command_context context) -> asio::awaitable<exit_code> {
  const auto patch = ReadPatch(context);
  if (!patch) {
    co_return exit_code::kUsage;
  }
  const auto if_match = co_await FindIfMatch(context);
  if (!if_match) {
    co_return exit_code::kUnavailable;
  }
  const auto& requested_id = context.args->patch_id;
  const auto patch_id = requested_id.empty() ? RandomId() : requested_id;
  const auto deadline = steady::now() + context.args->timeout;
  auto is_in_doubt = false;
  while (true) {
    auto request = MakeRequest(*patch, *if_match, patch_id);
    AddAuthor(context, request);
    const auto left =
        std::chrono::duration_cast<duration>(deadline - steady::now());
    const auto result = co_await context.admin->Call(
        std::move(request), std::max(left, kMinCallTimeout));
    if (IsFinal(result)) {
      co_return PrintAnswer(context, result);
    }
    is_in_doubt = is_in_doubt || IsInDoubt(result);
    if (steady::now() + kRetryInterval >= deadline) {
      co_return is_in_doubt ? PrintInDoubt(context, *if_match, patch_id)
                            : PrintAnswer(context, result);
    }
    co_await Wait(*context.io, kRetryInterval);
  }
}

}  // namespace daisywind::control
