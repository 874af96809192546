#include "front/relay_service.h"

#include <boost/asio.hpp>
#include <utility>

#include "common/log_values.h"
#include "common/logging.h"
#include "common/process_clock.h"
#include "dispatch/engine_memory.h"
#include "front/attempt_options.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;
using dispatch::health_signal;

// Connections of other fronts.
constexpr auto kMaxConnections = std::size_t{1024};

auto NotSent(std::string error) -> relay::response_end {
  auto end = relay::response_end{};
  end.outcome = net::http_outcome::kNotSent;
  end.error = std::move(error);
  return end;
}

auto OutcomeName(const relay::response_end& end) -> std::string_view {
  switch (end.outcome) {
    case net::http_outcome::kAnswered:
      return end.is_complete ? "answered" : "broken_off";
    case net::http_outcome::kNotSent:
      return "not_sent";
    case net::http_outcome::kNoAnswer:
      break;
  }
  return "no_answer";
}

}  // namespace

relay_service::relay_service(asio::io_context& context,
                             const request_codec& requests,
                             dispatch::endpoint_table& endpoints,
                             endpoint_paths& paths,
                             net::http_client& client,
                             const std::shared_ptr<byte_budget>& memory)
    : requests_(requests),
      endpoints_(endpoints),
      paths_(paths),
      client_(client),
      memory_(memory),
      server_(context,
              kMaxConnections,
              memory,
              [this](std::shared_ptr<relay::relay_exchange> exchange) {
                return Serve(std::move(exchange));
              }) {}

auto relay_service::Serve(std::shared_ptr<relay::relay_exchange> exchange)
    -> asio::awaitable<void> {
  const auto started_at = Now();
  const auto end = co_await Forward(*exchange);
  exchange->SendEnd(end);
  const auto& request = exchange->request();
  Log(log_events::kRelayedAttemptEnded,
      {{"request", std::string_view(request.request_id)},
       {"endpoint", std::string_view(request.endpoint.value)},
       {"outcome", OutcomeName(end)},
       {"error", std::string_view(end.error)},
       {"cancelled", exchange->cancellation()->IsCancelled()},
       {"took_ms", Milliseconds(Now() - started_at)}});
}

auto relay_service::Forward(relay::relay_exchange& exchange)
    -> asio::awaitable<relay::response_end> {
  auto& request = exchange.request();
  const auto id = request.endpoint;
  const auto* state = endpoints_.Find(id);
  if (state == nullptr || state->IsLeaving()) {
    co_return NotSent("endpoint is not registered or is leaving");
  }
  // The endpoint may be gone from the table before it responds.
  const auto entry = state->entry;
  const auto address = net::ParseSocketAddress(state->entry.address)
                           .value_or(net::socket_address{});
  const auto path = paths_.Choose(address, {});
  // An attempt is not relayed twice.
  if (!path || path->relay) {
    auto end = NotSent("the relay does not reach endpoints");
    end.is_relay_unusable = true;
    co_return end;
  }
  if (!endpoints_.HasQuota(*state, Now())) {
    co_return NotSent("the endpoint's rate limit is reached");
  }
  auto request_share = byte_share(memory_);
  if (!request_share.Resize(request.request.body.size())) {
    co_return NotSent("memory for relayed requests used up");
  }
  auto options = net::http_options{};
  options.connection = path->connection;
  if (request.needs_new_connection) {
    if (path->connection == net::connection_use::kIdle) {
      co_return NotSent("no new connection to an endpoint that has refused");
    }
    options.connection = net::connection_use::kNew;
  }
  options.connect_timeout = std::min(kConnectTimeout, request.head_timeout);
  options.head_timeout = request.head_timeout;
  options.resend_on_stale = false;
  options.max_body_bytes = kMaxResponseBytes;
  options.expects_events = request.expects_events;
  options.matches_request = MatchesRequest(requests_, request.request_id);
  options.cancellation = exchange.cancellation();
  paths_.Observe(id, options);
  const auto call = requests_.ReadCall(request.request);
  const auto tokens = call ? dispatch::RequestTokens(*call) : 0;
  const auto sent_at = Now();
  endpoints_.OnRequestSent(id, sent_at, tokens);
  paths_.OnRequestSent(id);
  auto opened = co_await client_.Open(address, std::move(request.request),
                                      std::move(options));
  request_share.Resize(0);
  auto end = relay::response_end{};
  end.outcome = opened.outcome;
  end.error = opened.error;
  if (opened.outcome == net::http_outcome::kAnswered) {
    const auto metadata = requests_.ReadResponse(opened.head);
    if (metadata.load) {
      endpoints_.OnReport(id, *metadata.load, Now());
    }
    RecordLeaving(endpoints_, entry, metadata, request.request_id);
    auto is_sent = exchange.SendHead({opened.head, opened.body->Framing()});
    while (is_sent) {
      auto part = co_await opened.body->Next();
      if (!part) {
        break;
      }
      is_sent = exchange.SendPart(std::move(*part));
    }
    end.is_complete = is_sent && opened.body->IsComplete();
    end.partial_event_bytes = opened.body->PartialEventBytes();
  }
  endpoints_.OnRequestEnded(
      id, tokens,
      end.is_complete ? std::optional(Now() - sent_at) : std::nullopt);
  paths_.OnRequestEnded(id);
  if (end.is_complete) {
    endpoints_.OnHealthSignal(id, health_signal::kAnswered, Now());
  } else if (!exchange.cancellation()->IsCancelled()) {
    endpoints_.OnHealthSignal(id, health_signal::kFailed, Now());
  }
  co_return end;
}

}  // namespace daisywind::front
