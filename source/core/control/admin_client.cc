#include "control/admin_client.h"

#include <charconv>
#include <utility>

namespace daisywind::control {
namespace {

namespace asio = boost::asio;

}  // namespace

admin_client::admin_client(asio::io_context& context, const arguments& from)
    : http_(context), addresses_(from.admin), key_(from.key) {}

auto admin_client::Call(net::http_request request, duration timeout)
    -> asio::awaitable<net::http_result> {
  if (!key_.empty()) {
    request.headers.push_back({"Authorization", "Bearer " + key_});
  }
  auto options = net::http_options{};
  options.head_timeout = timeout;
  options.idle_timeout = timeout;
  options.connection = net::connection_use::kNew;
  auto address = addresses_[current_];
  auto result =
      co_await http_.Send(std::move(address), std::move(request), options);
  if (result.outcome != net::http_outcome::kAnswered) {
    current_ = (current_ + 1) % addresses_.size();
  }
  co_return result;
}

auto admin_client::Get(std::string target, duration timeout)
    -> asio::awaitable<net::http_result> {
  auto result = net::http_result{};
  for (auto i = std::size_t{0}; i < addresses_.size(); ++i) {
    auto request = net::http_request{};
    request.target = target;
    result = co_await Call(std::move(request), timeout);
    if (result.outcome == net::http_outcome::kAnswered) {
      break;
    }
  }
  co_return result;
}

auto VersionFromEtag(const net::http_response& response)
    -> std::optional<version_number> {
  auto text = response.Header("ETag");
  const auto is_quoted =
      text.size() > 2 && text.front() == '"' && text.back() == '"';
  if (!is_quoted) {
    return std::nullopt;
  }
  text = text.substr(1, text.size() - 2);
  auto number = version_number{0};
  const auto* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace daisywind::control
