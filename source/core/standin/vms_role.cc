#include "standin/vms_role.h"

#include <utility>

#include "standin/clock.h"
#include "standin/json_body.h"

namespace daisywind::standin {

namespace asio = boost::asio;

vms_role::vms_role(asio::io_context& /*context*/,
                   const stand_in_options& options)
    : lag_(options.list_lag) {}

auto vms_role::Handle(net::http_exchange& exchange) -> asio::awaitable<void> {
  const auto& request = exchange.request();
  auto response = Problem(404, "no such call");
  if (request.Path() == "/standin/vms" && request.method == "PUT") {
    const auto body = ParseObject(request.body);
    const auto is_list = body && ArrayOrNull(*body, "vms") != nullptr;
    if (is_list) {
      changes_.push_back({Now() + lag_, request.body});
    }
    response = is_list ? Ok({}) : Problem(400, "not a list of VMs");
  } else if (request.Path() == "/v1/vms") {
    response = net::JsonResponse(200, VisibleList(Now()));
  }
  co_await exchange.Respond(std::move(response));
}

auto vms_role::VisibleList(instant now) -> std::string {
  while (!changes_.empty() && changes_.front().visible_at <= now) {
    visible_ = std::move(changes_.front().body);
    changes_.pop_front();
  }
  return visible_;
}

}  // namespace daisywind::standin
