#include "gateway/admin_api.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <string_view>
#include <utility>
#include <variant>

#include "common/json.h"
#include "common/process_clock.h"
#include "gateway/admin_json.h"
#include "gateway/bearer_keys.h"

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;

constexpr auto kUnauthorized = 401U;
constexpr auto kBadRequest = 400U;
constexpr auto kNotFound = 404U;
constexpr auto kConflict = 409U;
constexpr auto kInvalid = 422U;
constexpr auto kUnavailable = 503U;
constexpr duration kReplyTimeout = 20s;
constexpr duration kVersionPollInterval = 20ms;
constexpr duration kMaxVersionWait = 60s;
constexpr auto kMaxListedPrograms = std::size_t{1000};
constexpr auto kMaxHistory = std::uint32_t{100};
constexpr std::string_view kMergePatchType = "application/merge-patch+json";
constexpr std::string_view kJsonPatchType = "application/json-patch+json";

auto ErrorResponse(unsigned status, std::string reason, std::string detail)
    -> net::http_response {
  return ToResponse({status, std::move(reason), std::move(detail),
                     program::outcome::kNotRun, std::nullopt});
}

auto Ok(const json::value& body) -> net::http_response {
  return net::JsonResponse(200, json::serialize(body));
}

auto ParseNumber(std::string_view text) -> std::optional<std::uint64_t> {
  auto value = std::uint64_t{0};
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

// Reads the version number of an entity tag, with or without the quotes.
auto ParseEntityTag(std::string_view text) -> std::optional<version_number> {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  return ParseNumber(text);
}

auto VersionResponse(version_number number,
                     const configuration::document& document)
    -> net::http_response {
  auto response = net::JsonResponse(200, configuration::Serialize(document));
  response.headers.push_back({"ETag", "\"" + std::to_string(number) + "\""});
  return response;
}

auto PatchResponse(const configuration::patch_accepted& result)
    -> net::http_response {
  auto body = json::object{};
  body["version"] = result.number;
  auto response = Ok(body);
  response.headers.push_back(
      {"ETag", "\"" + std::to_string(result.number) + "\""});
  return response;
}

auto PatchResponse(const configuration::patch_conflict& result)
    -> net::http_response {
  auto body = json::object{};
  body["type"] = "urn:daisywind:problem:version_conflict";
  body["title"] = "version_conflict";
  body["status"] = kConflict;
  body["outcome"] = "not_run";
  body["current"] = result.current;
  body["paths"] = json::value_from(result.paths);
  auto response = net::JsonResponse(kConflict, json::serialize(body));
  response.headers.push_back(
      {"ETag", "\"" + std::to_string(result.current) + "\""});
  return response;
}

auto PatchResponse(const configuration::patch_invalid& result)
    -> net::http_response {
  auto body = json::object{};
  body["type"] = "urn:daisywind:problem:invalid_patch";
  body["title"] = "invalid_patch";
  body["status"] = kInvalid;
  body["outcome"] = "not_run";
  body["path"] = result.error.path;
  body["detail"] = result.error.reason;
  return net::JsonResponse(kInvalid, json::serialize(body));
}

auto PatchResponse(const configuration::patch_unavailable& result)
    -> net::http_response {
  const auto outcome = result.may_be_accepted ? program::outcome::kUnknown
                                              : program::outcome::kNotRun;
  return ToResponse({kUnavailable, "key_value_service_unavailable",
                     "repeat the patch with the same Patch-Id", outcome, 1s});
}

auto QueryFailure(configuration::query_outcome outcome) -> net::http_response {
  if (outcome == configuration::query_outcome::kNotFound) {
    return ErrorResponse(kNotFound, "not_found",
                         "no such configuration version");
  }
  return ErrorResponse(kUnavailable, "key_value_service_unavailable",
                       "no result from the key-value service; try again");
}

}  // namespace

admin_api::admin_api(asio::io_context& context,
                     admin_api_hooks hooks,
                     admin_replies& replies)
    : context_(context), hooks_(std::move(hooks)), replies_(replies) {}

auto admin_api::Routes() -> const std::vector<route>& {
  static const auto routes = std::vector<route>{
      {"GET", "/admin/v1/config", &admin_api::GetConfig},
      {"PATCH", "/admin/v1/config", &admin_api::PatchConfig},
      {"GET", "/admin/v1/config/history", &admin_api::GetHistory},
      {"GET", "/admin/v1/status", &admin_api::GetStatus},
      {"GET", "/admin/v1/programs", &admin_api::GetPrograms},
      {"GET", "/admin/v1/endpoints", &admin_api::GetEndpoints},
      {"GET", "/admin/v1/migration", &admin_api::GetMigration},
      {"POST", "/admin/v1/drain", &admin_api::PostDrain},
      {"GET", "/metrics", &admin_api::GetMetrics},
  };
  return routes;
}

auto admin_api::Handle(net::http_exchange& exchange) -> asio::awaitable<void> {
  const auto& request = exchange.request();
  const auto path = request.Path();
  if (path == "/livez" || path == "/readyz") {
    const auto is_healthy = path == "/livez" || hooks_.is_ready();
    auto health = net::http_response{is_healthy ? 200 : kUnavailable, {}, ""};
    co_await exchange.Respond(std::move(health));
    co_return;
  }
  const auto key = BearerKey(request.Header("Authorization"));
  if (path != "/metrics" && !MatchesDigest(key, hooks_.operator_key_digest)) {
    auto refusal = ErrorResponse(kUnauthorized, "unauthorized",
                                 "the operator key is missing or unknown");
    co_await exchange.Respond(std::move(refusal));
    co_return;
  }
  const auto& routes = Routes();
  const auto found =
      std::find_if(routes.begin(), routes.end(), [&](const route& item) {
        return request.method == item.method && path == item.path;
      });
  if (found == routes.end()) {
    auto refusal = ErrorResponse(kNotFound, "not_found",
                                 "no resource with this method and path");
    co_await exchange.Respond(std::move(refusal));
    co_return;
  }
  auto response = co_await (this->*found->handle)(request);
  co_await exchange.Respond(std::move(response));
}

auto admin_api::GetConfig(const net::http_request& request)
    -> response_awaitable {
  if (const auto text = request.Query("version")) {
    const auto number = ParseNumber(*text);
    if (!number) {
      co_return ErrorResponse(kBadRequest, "bad_request",
                              "version: must be an unsigned integer");
    }
    if (*number != hooks_.configuration.Number()) {
      co_return co_await GetOldVersion(*number);
    }
  }
  if (const auto text = request.Query("after")) {
    const auto after = ParseNumber(*text).value_or(0);
    const auto wait =
        ParseNumber(request.Query("wait_ms").value_or("0")).value_or(0);
    const auto timeout = std::min<duration>(
        kMaxVersionWait, std::chrono::milliseconds(std::min<std::uint64_t>(
                             wait, kMaxVersionWait / 1ms)));
    co_await WaitForVersion(after, timeout);
  }
  const auto document = hooks_.configuration.Document();
  if (document == nullptr) {
    co_return ErrorResponse(kUnavailable, "not_ready",
                            "no configuration version is installed yet");
  }
  co_return VersionResponse(hooks_.configuration.Number(), *document);
}

auto admin_api::PatchConfig(const net::http_request& request)
    -> response_awaitable {
  const auto number = ParseEntityTag(request.Header("If-Match"));
  const auto patch_id = std::string(request.Header("Patch-Id"));
  const auto type = request.Header("Content-Type");
  if (!number || patch_id.empty()) {
    co_return ErrorResponse(
        kBadRequest, "bad_request",
        "If-Match with a version number and Patch-Id are required");
  }
  if (type != kMergePatchType && type != kJsonPatchType) {
    co_return ErrorResponse(
        kBadRequest, "bad_request",
        "Content-Type must be application/merge-patch+json or "
        "application/json-patch+json");
  }
  auto patch = configuration::patch_requested{};
  patch.request = replies_.patches.Open();
  patch.if_match = *number;
  patch.patch_id = patch_id;
  patch.author = std::string(request.Header("Patch-Author"));
  patch.kind = type == kMergePatchType ? configuration::patch_kind::kMergePatch
                                       : configuration::patch_kind::kJsonPatch;
  patch.text = request.body;
  const auto id = patch.request;
  hooks_.submit(std::move(patch));
  const auto result = co_await replies_.patches.Wait(id, kReplyTimeout);
  if (!result) {
    const auto unknown = configuration::patch_unavailable{true};
    co_return PatchResponse(unknown);
  }
  co_return std::visit([](const auto& item) { return PatchResponse(item); },
                       *result);
}

auto admin_api::GetHistory(const net::http_request& request)
    -> response_awaitable {
  const auto limit =
      ParseNumber(request.Query("limit").value_or("")).value_or(kMaxHistory);
  auto query = configuration::history_requested{};
  query.request = replies_.histories.Open();
  query.limit =
      static_cast<std::uint32_t>(std::min<std::uint64_t>(limit, kMaxHistory));
  const auto id = query.request;
  hooks_.submit(query);
  const auto reply = co_await replies_.histories.Wait(id, kReplyTimeout);
  if (!reply || reply->outcome != configuration::query_outcome::kFound) {
    co_return QueryFailure(reply ? reply->outcome
                                 : configuration::query_outcome::kUnavailable);
  }
  co_return Ok(ToJson(*reply));
}

auto admin_api::GetStatus(const net::http_request&) -> response_awaitable {
  auto query = configuration::status_requested{replies_.states.Open()};
  const auto id = query.request;
  hooks_.submit(query);
  const auto reply = co_await replies_.states.Wait(id, kReplyTimeout);
  auto body = reply ? ToJson(*reply) : json::object{};
  body["vm"] = hooks_.vm;
  body["version"] = hooks_.configuration.Number();
  body["is_ready"] = hooks_.is_ready();
  body["is_stale"] = hooks_.configuration.IsStale(Now());
  body["members"] = ToJson(hooks_.members());
  co_return Ok(body);
}

auto admin_api::GetPrograms(const net::http_request&) -> response_awaitable {
  co_return Ok(ToJson(hooks_.programs.Stats(),
                      hooks_.programs.OwnedPrograms(kMaxListedPrograms)));
}

auto admin_api::GetEndpoints(const net::http_request&) -> response_awaitable {
  co_return Ok(ToJson(hooks_.scheduler()));
}

auto admin_api::GetMigration(const net::http_request&) -> response_awaitable {
  co_return Ok(ToJson(hooks_.progress()));
}

auto admin_api::PostDrain(const net::http_request&) -> response_awaitable {
  hooks_.drain();
  co_return net::JsonResponse(202, R"({"state":"draining"})");
}

auto admin_api::GetMetrics(const net::http_request&) -> response_awaitable {
  co_return net::TextResponse(hooks_.metrics_text(),
                              "text/plain; version=0.0.4");
}

auto admin_api::WaitForVersion(version_number after, duration timeout)
    -> asio::awaitable<void> {
  const auto end = Now() + timeout;
  auto timer = asio::steady_timer(context_);
  while (hooks_.configuration.Number() <= after && Now() < end) {
    timer.expires_after(kVersionPollInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

auto admin_api::GetOldVersion(version_number number) -> response_awaitable {
  auto query =
      configuration::version_requested{replies_.versions.Open(), number};
  const auto id = query.request;
  hooks_.submit(query);
  const auto reply = co_await replies_.versions.Wait(id, kReplyTimeout);
  if (!reply || reply->outcome != configuration::query_outcome::kFound) {
    co_return QueryFailure(reply ? reply->outcome
                                 : configuration::query_outcome::kUnavailable);
  }
  co_return VersionResponse(reply->number, *reply->content);
}

}  // namespace daisywind::gateway
