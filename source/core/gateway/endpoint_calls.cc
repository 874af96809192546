#include "gateway/endpoint_calls.h"

#include <utility>

#include "gateway/chat_request.h"
#include "gateway/json_calls.h"

namespace daisywind::gateway {
namespace {

constexpr auto kOk = 200U;
constexpr auto kNotFound = 404U;

auto ChatRequest(const program::start_attempt& command, std::int32_t priority)
    -> net::http_request {
  if (command.is_resume) {
    // Reads the stream from its start, since engines count offsets in events
    // and callers in bytes. The owner compares the text and skips what the
    // caller already has.
    const auto id = program::ToString(command.attempt);
    return {"GET", "/v1/streams/" + id + "?offset=0", {}, ""};
  }
  auto request = net::http_request{"POST", "/v1/chat/completions", {}, ""};
  request.headers.push_back({"Content-Type", "application/json"});
  request.body =
      EngineBody(program::BytesOf(command.call.body),
                 static_cast<std::uint64_t>(command.call.max_tokens), priority);
  return request;
}

auto ServiceRequest(const program::start_attempt& command)
    -> net::http_request {
  auto request = net::http_request{"POST", command.call.path, {}, ""};
  if (!command.call.content_type.empty()) {
    request.headers.push_back({"Content-Type", command.call.content_type});
  }
  if (!command.call.key.empty()) {
    request.headers.push_back({"Idempotency-Key", command.call.key});
  }
  request.body = std::string(program::BytesOf(command.call.body));
  return request;
}

}  // namespace

auto MakeAttempt(const program::start_attempt& command,
                 const net::socket_address& address,
                 std::int32_t priority) -> attempt_request {
  auto attempt = attempt_request{};
  attempt.id = program::ToString(command.attempt);
  attempt.address = address;
  attempt.is_chat = command.call.kind == program::call_kind::kChat;
  attempt.request = attempt.is_chat ? ChatRequest(command, priority)
                                    : ServiceRequest(command);
  attempt.request.headers.push_back({"X-Request-Id", attempt.id});
  return attempt;
}

auto CancelStream(net::http_client& client,
                  net::socket_address address,
                  std::string id) -> boost::asio::awaitable<void> {
  auto request = net::http_request{"DELETE", "/v1/streams/" + id, {}, ""};
  const auto options = ShortOptions();
  co_await client.Send(std::move(address), std::move(request), options);
}

auto LookUpRun(net::http_client& client,
               net::socket_address address,
               std::string key)
    -> boost::asio::awaitable<program::lookup_result> {
  auto request = net::http_request{"GET", "/v1/runs/" + key, {}, ""};
  auto options = ShortOptions();
  // The service's response names no lookup. On a kept connection an earlier one
  // could come once more, and the call would be run again.
  options.connection = net::connection_use::kNew;
  const auto answer =
      co_await client.Send(std::move(address), std::move(request), options);
  auto result = program::lookup_result{};
  if (answer.outcome != net::http_outcome::kAnswered) {
    co_return result;
  }
  if (answer.response.status == kNotFound) {
    result.status = program::lookup_status::kNotStarted;
  } else if (answer.response.status == kOk) {
    result.status = program::lookup_status::kRan;
    result.answer.status = kOk;
    result.answer.content_type =
        std::string(answer.response.Header("Content-Type"));
    result.answer.body = program::MakePayload(answer.response.body);
  }
  co_return result;
}

auto ReleaseSession(net::http_client& client,
                    net::socket_address address,
                    program_id program) -> boost::asio::awaitable<unsigned> {
  auto request = net::http_request{
      "DELETE", "/v1/cache/sessions/" + ToString(program), {}, ""};
  const auto options = ShortOptions();
  const auto answer =
      co_await client.Send(std::move(address), std::move(request), options);
  co_return answer.outcome == net::http_outcome::kAnswered
      ? answer.response.status
      : 0U;
}

auto ReadSessions(net::http_client& client, net::socket_address address)
    -> boost::asio::awaitable<std::optional<std::vector<program_id>>> {
  const auto body =
      co_await GetObject(client, std::move(address), "/v1/cache/sessions");
  const auto* sessions = body ? ObjectOrNull(*body, "sessions") : nullptr;
  if (sessions == nullptr) {
    co_return std::nullopt;
  }
  auto programs = std::vector<program_id>{};
  for (const auto& [name, tokens] : *sessions) {
    if (const auto program = ParseProgramId(name)) {
      programs.push_back(*program);
    }
  }
  co_return programs;
}

}  // namespace daisywind::gateway
