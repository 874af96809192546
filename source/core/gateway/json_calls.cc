#include "gateway/json_calls.h"

#include <algorithm>
#include <utility>

namespace daisywind::gateway {
namespace {

constexpr auto kOk = 200U;
constexpr auto kMaxAnswerBytes = std::size_t{4} * 1024 * 1024;

}  // namespace

auto ShortOptions(duration timeout) -> net::http_options {
  auto options = net::http_options{};
  options.connect_timeout = timeout;
  options.head_timeout = timeout;
  options.idle_timeout = timeout;
  options.total_timeout = timeout;
  options.max_body_bytes = kMaxAnswerBytes;
  return options;
}

auto GetObject(net::http_client& client,
               net::socket_address address,
               std::string target)
    -> boost::asio::awaitable<std::optional<json::object>> {
  auto request = net::http_request{"GET", std::move(target), {}, ""};
  const auto options = ShortOptions();
  const auto answer =
      co_await client.Send(std::move(address), std::move(request), options);
  if (answer.outcome != net::http_outcome::kAnswered ||
      answer.response.status != kOk) {
    co_return std::nullopt;
  }
  auto error = json::error_code{};
  auto value = json::parse(answer.response.body, error);
  if (error || !value.is_object()) {
    co_return std::nullopt;
  }
  co_return std::move(value.get_object());
}

auto CountOrZero(const json::object& object, std::string_view key)
    -> std::uint64_t {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, IntegerOr(object, key, 0)));
}

}  // namespace daisywind::gateway
