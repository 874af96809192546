#include "standin/weights_role.h"

#include <boost/asio.hpp>
#include <utility>

#include "standin/json_body.h"

namespace daisywind::standin {
namespace {

namespace asio = boost::asio;

}  // namespace

weights_role::weights_role(asio::io_context& context,
                           const stand_in_options& options)
    : context_(context), options_(options) {}

auto weights_role::Handle(net::http_exchange& exchange)
    -> asio::awaitable<void> {
  if (exchange.request().Path() != "/v1/pull") {
    auto unknown = Problem(404, "no such call");
    co_await exchange.Respond(std::move(unknown));
    co_return;
  }
  if (pulls_ >= options_.max_pulls) {
    auto refusal = Problem(429, "the rate is used up");
    refusal.headers.push_back({"Retry-After", "1"});
    co_await exchange.Respond(std::move(refusal));
    co_return;
  }
  ++pulls_;
  auto timer = asio::steady_timer(context_, options_.pull_time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  --pulls_;
  co_await exchange.Respond(Ok({}));
}

}  // namespace daisywind::standin
