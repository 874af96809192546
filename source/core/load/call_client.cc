#include "load/call_client.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <utility>

#include "standin/clock.h"

namespace daisywind::load {
namespace {

namespace asio = boost::asio;
using standin::Now;

constexpr auto kInitialBackoff = duration(30'000);
constexpr auto kMaxBackoff = duration(1'000'000);
constexpr auto kMaxBackoffDoublings = 6;

constexpr std::string_view kRefusedConnection = "refused_connection";

auto BrokenConnection() -> refusal {
  auto cause = refusal{};
  cause.reason = "broken_connection";
  return cause;
}

}  // namespace

auto program_session::Update(std::string_view handle) -> void {
  if (!handle.empty() && EpochOf(handle) >= EpochOf(handle_)) {
    handle_ = std::string(handle);
  }
}

call_client::call_client(asio::io_context& context,
                         gateway_pool& gateways,
                         client_options options,
                         random_source& random)
    : context_(context),
      client_(context),
      gateways_(gateways),
      options_(std::move(options)),
      random_(random) {}

auto call_client::SendWithRetries(program_session& session,
                                  call item,
                                  chat_receiver* receiver)
    -> asio::awaitable<call_result> {
  auto result = call_result{};
  auto last_gateway = std::optional<net::socket_address>{};
  // Once an attempt had an unknown outcome, the call stays in doubt until a
  // later attempt is answered: another gateway may refuse the call without
  // knowing of the earlier attempt.
  auto may_have_run = false;
  const auto deadline = Now() + options_.call_timeout;
  while (true) {
    const auto gateway = gateways_.Pick(Now(), last_gateway);
    last_gateway = gateway;
    auto attempt = co_await SendOnce(session, item, receiver, gateway);
    ++result.attempts;
    if (attempt.is_answered) {
      result.status = call_status::kDone;
      result.body = std::move(attempt.body);
      co_return result;
    }
    // A refusal by a gateway is more informative than a refused connection.
    if (result.reason.empty() || attempt.cause.reason != kRefusedConnection) {
      result.reason = attempt.cause.reason;
    }
    may_have_run =
        may_have_run || attempt.cause.outcome == refusal_outcome::kUnknown;
    if (attempt.cause.is_final || Now() >= deadline) {
      result.status =
          may_have_run ? call_status::kInDoubt : call_status::kRefused;
      co_return result;
    }
    ++counts_.retries;
    co_await Backoff(result.attempts, attempt.cause);
  }
}

auto call_client::SendOnce(program_session& session,
                           const call& item,
                           chat_receiver* receiver,
                           const net::socket_address& gateway)
    -> asio::awaitable<attempt_result> {
  auto result = attempt_result{};
  auto timeouts = net::http_options{};
  timeouts.head_timeout = options_.head_timeout;
  timeouts.idle_timeout = options_.idle_timeout;
  auto request = MakeRequest(session, item, receiver);
  auto opened = co_await client_.Open(gateway, std::move(request), timeouts);
  if (opened.outcome == net::http_outcome::kNotSent) {
    ++counts_.refused_connections;
    gateways_.MarkDown(gateway, Now());
    result.cause.outcome = refusal_outcome::kNotRun;
    result.cause.reason = kRefusedConnection;
    co_return result;
  }
  if (opened.outcome == net::http_outcome::kNoAnswer) {
    ++counts_.broken_connections;
    result.cause = BrokenConnection();
    co_return result;
  }
  session.Update(opened.head.Header("Daisywind-Program"));
  const auto is_success = net::IsSuccess(opened.head.status);
  if (is_success && item.is_stream) {
    co_return co_await ReadStream(*opened.body, *receiver);
  }
  auto response = std::move(opened.head);
  while (auto part = co_await opened.body->Next()) {
    response.body += *part;
  }
  if (!opened.body->IsComplete()) {
    ++counts_.broken_connections;
    result.cause = BrokenConnection();
    co_return result;
  }
  result.is_answered = is_success;
  if (!is_success) {
    result.cause = ReadRefusal(response);
    CountRefusal(result.cause);
  }
  result.body = std::move(response.body);
  co_return result;
}

auto call_client::ReadStream(net::http_body_stream& body,
                             chat_receiver& receiver)
    -> asio::awaitable<attempt_result> {
  auto result = attempt_result{};
  receiver.StartConnection();
  while (auto part = co_await body.Next()) {
    receiver.FeedStream(*part);
  }
  result.is_answered = receiver.IsDone();
  if (result.is_answered) {
    co_return result;
  }
  if (receiver.error()) {
    result.cause = *receiver.error();
    CountRefusal(result.cause);
  } else {
    ++counts_.broken_connections;
    result.cause = BrokenConnection();
  }
  co_return result;
}

auto call_client::MakeRequest(const program_session& session,
                              const call& item,
                              const chat_receiver* receiver) const
    -> net::http_request {
  auto request = net::http_request{item.method, item.target, {}, item.body};
  const auto add = [&](const char* name, std::string value) {
    if (!value.empty()) {
      request.headers.push_back({name, std::move(value)});
    }
  };
  add("Authorization", "Bearer " + options_.key);
  add("Content-Type", item.body.empty() ? "" : "application/json");
  add("Daisywind-Program", session.handle());
  add("Daisywind-Branch", item.branch);
  add("Daisywind-Turn", item.turn == 0 ? "" : std::to_string(item.turn));
  add("Idempotency-Key", item.key);
  if (receiver != nullptr && !receiver->text().empty()) {
    add("Daisywind-Offset", std::to_string(receiver->text().size()));
  }
  return request;
}

auto call_client::CountRefusal(const refusal& cause) -> void {
  ++counts_.refusals_by_outcome[std::string(NameOf(cause.outcome))];
  ++counts_.refusals_by_reason[cause.reason];
}

auto call_client::Backoff(std::int64_t attempts, const refusal& cause)
    -> asio::awaitable<void> {
  const auto doublings = static_cast<int>(
      std::min<std::int64_t>(attempts - 1, kMaxBackoffDoublings));
  const auto max_wait =
      std::min(kInitialBackoff * (1 << doublings), kMaxBackoff);
  // Full jitter spreads the retries of calls that failed at the same time.
  const auto jittered =
      random_.UniformDouble() * static_cast<double>(max_wait.count());
  const auto requested = std::min(cause.retry_after, kMaxBackoff);
  const auto wait =
      std::max(duration(static_cast<duration::rep>(jittered)), requested);
  auto timer = asio::steady_timer(context_, wait);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

}  // namespace daisywind::load
