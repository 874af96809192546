#include "gateway/endpoint_calls.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <string>
#include <string_view>

#include "repeating_endpoint.h"

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;

constexpr auto kNotFound =
    std::string_view("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
constexpr auto kRan =
    std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");

}  // namespace

// Regression: an earlier response on a kept connection was taken for that of
// the next lookup, so a call that had run counted as not started.
TEST_CASE("a lookup is not answered by the response to an earlier one") {
  auto context = asio::io_context{1};
  auto has_run = false;
  // Answers that it knows no run, until the call has run.
  const auto port = StartRepeatingEndpoint(
      context, [&] { return std::string(has_run ? kRan : kNotFound); });
  auto client = net::http_client(context);
  auto first = program::lookup_result{};
  auto second = program::lookup_result{};
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        first = co_await LookUpRun(client, {"127.0.0.1", port}, "key");
        has_run = true;
        second = co_await LookUpRun(client, {"127.0.0.1", port}, "key");
        context.stop();
      },
      asio::detached);
  context.run();
  CHECK(first.status == program::lookup_status::kNotStarted);
  CHECK(second.status == program::lookup_status::kRan);
}

}  // namespace daisywind::gateway
