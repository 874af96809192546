#include "standin/service_role.h"

#include <boost/asio.hpp>
#include <fstream>
#include <string_view>
#include <utility>

#include "standin/answer.h"

namespace daisywind::standin {
namespace {

namespace asio = boost::asio;

constexpr auto kWithError = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kLookupPath = "/v1/runs/";

}  // namespace

service_role::service_role(asio::io_context& context,
                           const stand_in_options& options)
    : context_(context),
      options_(options),
      slot_free_(context, asio::steady_timer::time_point::max()) {}

auto service_role::Handle(net::http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto& request = exchange.request();
  const auto path = request.Path();
  auto response = Problem(404, "no such call");
  if (request.method == "POST") {
    co_await Run(exchange);
    co_return;
  }
  if (path == "/standin/runs") {
    response = Runs();
  } else if (path == "/v1/load") {
    response = Load();
  } else if (options_.has_lookup && path.starts_with(kLookupPath)) {
    response = LookUp(std::string(path.substr(kLookupPath.size())));
  }
  co_await exchange.Respond(std::move(response));
}

auto service_role::Run(net::http_exchange& exchange) -> asio::awaitable<void> {
  const auto& request = exchange.request();
  const auto key = std::string(request.Header("Idempotency-Key"));
  co_await WaitForSlot();
  ++running_;
  RecordStart(key);
  auto timer = asio::steady_timer(context_, options_.run_time);
  co_await timer.async_wait(kWithError);
  auto answer = ExpectedServiceAnswer(request.Path(), request.body);
  runs_[key].answer = answer;
  --running_;
  slot_free_.cancel();
  auto response = net::JsonResponse(200, std::move(answer));
  co_await exchange.Respond(std::move(response));
}

auto service_role::RecordStart(const std::string& key) -> void {
  ++runs_[key].count;
  if (!options_.runs_file.empty()) {
    auto file = std::ofstream(options_.runs_file, std::ios::app);
    file << key << "\n";
  }
}

auto service_role::WaitForSlot() -> asio::awaitable<void> {
  ++queued_;
  while (running_ >= options_.capacity) {
    co_await slot_free_.async_wait(kWithError);
  }
  --queued_;
}

auto service_role::Runs() const -> net::http_response {
  auto counts = json::object{};
  for (const auto& [key, run] : runs_) {
    counts[key] = run.count;
  }
  return Ok({{"runs", std::move(counts)}});
}

auto service_role::Load() const -> net::http_response {
  return Ok({{"running", running_},
             {"queued", queued_},
             {"capacity", options_.capacity}});
}

auto service_role::LookUp(const std::string& key) const -> net::http_response {
  const auto found = runs_.find(key);
  if (found == runs_.end()) {
    return Problem(404, "no run under this key");
  }
  if (found->second.answer.empty()) {
    return net::JsonResponse(202, R"({"state":"running"})");
  }
  return net::JsonResponse(200, found->second.answer);
}

}  // namespace daisywind::standin
