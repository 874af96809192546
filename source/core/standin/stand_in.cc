#include "standin/stand_in.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>
#include <utility>

#include "common/logging.h"
#include "standin/json_body.h"

namespace daisywind::standin {
namespace {

namespace asio = boost::asio;

// Exit status of a process that a crash fault terminates.
constexpr auto kCrashStatus = 86;

// Bytes of a stream that are sent before the connection closes when the fault
// sets no after_bytes.
constexpr auto kCutStreamBytes = std::size_t{400};

// An exchange that applies a fault to the answer.
class faulty_exchange : public net::http_exchange {
 public:
  faulty_exchange(net::http_exchange& inner, fault item)
      : inner_(inner), fault_(std::move(item)) {}

  [[nodiscard]] auto request() const -> const net::http_request& override {
    return inner_.request();
  }

  auto Respond(net::http_response response) -> asio::awaitable<bool> override {
    if (fault_.kind == fault_kind::kCutStream) {
      co_return co_await RespondTruncated(std::move(response));
    }
    if (co_await ApplyBeforeAnswer()) {
      co_return false;
    }
    co_return co_await inner_.Respond(std::move(response));
  }

  auto StartStream(net::http_response head) -> asio::awaitable<bool> override {
    if (co_await ApplyBeforeAnswer()) {
      co_return false;
    }
    co_return co_await inner_.StartStream(std::move(head));
  }

  auto WriteChunk(std::string_view bytes) -> asio::awaitable<bool> override {
    if (fault_.kind != fault_kind::kCutStream) {
      co_return co_await inner_.WriteChunk(bytes);
    }
    const auto left =
        fault_.after_bytes.value_or(kCutStreamBytes) - sent_bytes_;
    const auto part = bytes.substr(0, left);
    sent_bytes_ += part.size();
    if (!part.empty() && !co_await inner_.WriteChunk(part)) {
      co_return false;
    }
    if (part.size() == bytes.size()) {
      co_return true;
    }
    inner_.Abort();
    co_return false;
  }

  auto EndStream() -> asio::awaitable<bool> override {
    if (fault_.kind == fault_kind::kCutStream) {
      inner_.Abort();
      co_return false;
    }
    co_return co_await inner_.EndStream();
  }

  auto StartStreamWithFirstChunk(net::http_response head) -> void override {
    inner_.StartStreamWithFirstChunk(std::move(head));
  }

  auto Abort() -> void override { inner_.Abort(); }

  auto WaitForClose() -> asio::awaitable<void> override {
    co_await inner_.WaitForClose();
  }

  auto OnClose(std::function<void()> handler) -> void override {
    inner_.OnClose(std::move(handler));
  }

  [[nodiscard]] auto IsClosed() -> bool override { return inner_.IsClosed(); }

 private:
  // Applies a crash, stall or lost-answer fault. Returns true when the answer
  // must not be sent.
  auto ApplyBeforeAnswer() -> asio::awaitable<bool> {
    if (fault_.kind == fault_kind::kCrash) {
      std::_Exit(kCrashStatus);
    }
    if (fault_.kind == fault_kind::kStall) {
      co_await inner_.WaitForClose();
    }
    const auto is_lost = fault_.kind == fault_kind::kStall ||
                         fault_.kind == fault_kind::kLoseAnswer;
    if (is_lost) {
      inner_.Abort();
    }
    co_return is_lost;
  }

  auto RespondTruncated(net::http_response response) -> asio::awaitable<bool> {
    const auto body = std::move(response.body);
    const auto size = fault_.after_bytes.value_or(body.size() / 2);
    const auto part = std::string_view(body).substr(0, size);
    response.body.clear();
    if (co_await inner_.StartStream(std::move(response)) && !part.empty()) {
      co_await inner_.WriteChunk(part);
    }
    inner_.Abort();
    co_return false;
  }

  net::http_exchange& inner_;
  fault fault_;
  std::size_t sent_bytes_ = 0;
};

auto Delay(duration time) -> asio::awaitable<void> {
  const auto executor = co_await asio::this_coro::executor;
  auto timer = asio::steady_timer(executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace

stand_in::stand_in(asio::io_context& context,
                   std::string role_name,
                   std::unique_ptr<role> handler)
    : role_name_(std::move(role_name)),
      role_(std::move(handler)),
      server_(context, {}, [this](net::http_exchange& exchange) {
        return Handle(exchange);
      }) {}

auto stand_in::Listen(const net::socket_address& address) -> std::uint16_t {
  return server_.Listen(address);
}

auto stand_in::Handle(net::http_exchange& exchange) -> asio::awaitable<void> {
  const auto path = exchange.request().Path();
  if (path == "/standin/health") {
    const auto body = ObjectOf("role", role_name_);
    co_await exchange.Respond(Ok(body));
  } else if (path == "/standin/faults") {
    co_await exchange.Respond(ChangeFaults(exchange.request()));
  } else if (path.starts_with("/standin/")) {
    co_await role_->Handle(exchange);
  } else {
    co_await HandleWithFaults(exchange);
  }
}

auto stand_in::HandleWithFaults(net::http_exchange& exchange)
    -> asio::awaitable<void> {
  auto matching = faults_.Take(exchange.request());
  if (!matching) {
    co_await role_->Handle(exchange);
    co_return;
  }
  Log(log_events::kFaultApplied, {{"kind", FaultName(matching->kind)}});
  if (matching->kind == fault_kind::kRefuse) {
    co_await exchange.Respond(Problem(503, "refused by a fault"));
    co_return;
  }
  if (matching->kind == fault_kind::kSlow) {
    co_await Delay(matching->delay);
  }
  auto faulty = faulty_exchange(exchange, std::move(*matching));
  co_await role_->Handle(faulty);
}

auto stand_in::ChangeFaults(const net::http_request& request)
    -> net::http_response {
  if (request.method == "DELETE") {
    faults_.Clear();
    return Ok({});
  }
  const auto body = ParseObject(request.body);
  auto item = body ? ParseFault(*body) : std::nullopt;
  if (!item) {
    return Problem(400, "not a fault");
  }
  faults_.Add(std::move(*item));
  return Ok({});
}

}  // namespace daisywind::standin
