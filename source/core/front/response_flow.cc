// Steps of a request that handle the response of an endpoint.
#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <charconv>
#include <chrono>
#include <utility>

#include "common/endpoint_key.h"
#include "common/logging.h"
#include "common/process_clock.h"
#include "front/attempt_options.h"
#include "front/request_flow.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;
using dispatch::attempt_result;
using dispatch::health_signal;
using dispatch::route_kind;

// Time for the rest of a refusal to arrive, which is sent along with its head.
constexpr auto kDiscardTimeout = duration(50ms);
// Statuses that guarantee the caller that its request has not run.
constexpr auto kNotRunStatuses = std::to_array<unsigned>({408, 421, 429, 503});

auto GuaranteesNotRun(unsigned status) -> bool {
  return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), status) !=
         kNotRunStatuses.end();
}

// Size up to which a response is an ordinary one.
constexpr auto kOrdinaryBytes = std::size_t{64} * 1024;
// How often a response looks for memory while it waits for some.
constexpr auto kMemoryPollInterval = std::chrono::milliseconds(5);

// What a response takes of the memory for ordinary ones.
auto OrdinaryBytes(const net::http_stream_result& opened) -> std::size_t {
  auto bytes = kOrdinaryBytes;
  if (opened.body->Framing() == net::body_framing::kLength) {
    const auto text = opened.head.Header("Content-Length");
    std::from_chars(text.data(), text.data() + text.size(), bytes);
  }
  return std::min(bytes, kOrdinaryBytes);
}

// The part of a held response that counts towards the memory of all responses.
// Ordinary responses do not, so that a few without end do not break them off.
auto BudgetedBytes(std::size_t held) -> std::size_t {
  return held - std::min(held, kOrdinaryBytes);
}

auto PacePercent(const dispatch::load_report& report) -> std::uint32_t {
  constexpr auto kPercent = 100.0;
  return static_cast<std::uint32_t>(report.pace.value_or(0.0) * kPercent);
}

}  // namespace

request_flow::~request_flow() {
  node_.RemoveFlow(*this);
  node_.response_memory().Return(BudgetedBytes(held_bytes_));
}

auto request_flow::HandleResponse(net::http_stream_result& opened,
                                  const dispatch::endpoint& entry)
    -> asio::awaitable<std::optional<attempt_result>> {
  const auto& endpoint = entry.id;
  auto& endpoints = node_.service_directory().endpoints();
  const auto metadata = node_.requests().ReadResponse(opened.head);
  if (metadata.load) {
    endpoints.OnReport(endpoint, *metadata.load, Now());
    node_.turns().ReportLoad({KeyOf(endpoint), metadata.load->running,
                              metadata.load->waiting, duration(0), std::nullopt,
                              PacePercent(*metadata.load)});
  }
  if (!metadata.is_misdirected) {
    node_.limits().OnResponse(endpoint, metadata.rate_limit, call_.request_id,
                              Now());
  }
  RecordLeaving(endpoints, entry, metadata, call_.request_id);
  if (metadata.is_not_run) {
    // An endpoint with other weights than a resumed stream needs answers as one
    // at a wrong address does.
    const auto has_other_weights =
        metadata.is_misdirected && attempts_.is_answered;
    if (!has_other_weights) {
      endpoints.OnHealthSignal(endpoint,
                               metadata.is_misdirected
                                   ? health_signal::kWrongEndpoint
                                   : health_signal::kFull,
                               Now());
    }
    refused_by_.insert(endpoint);
    co_await opened.body->Discard(kDiscardTimeout);
    co_return attempt_result::kNotRun;
  }
  if (!attempts_.is_answered) {
    summary_.first_byte = Now() - started_at_;
  }
  summary_.framing = opened.body->Framing();
  const auto is_stream =
      route_->kind == route_kind::kStream && net::IsSuccess(metadata.status);
  if (is_stream) {
    endpoints.OnPromptProcessed(endpoint, call_.prompt);
    if (metadata.weights_version) {
      progress_.SetWeightsVersion(*metadata.weights_version);
    }
    co_return co_await ForwardStream(opened, endpoint);
  }
  if (attempts_.is_answered) {
    // The caller has the head of a successful response.
    RecordFailure(endpoint, health_signal::kFailed);
    co_return attempt_result::kMayHaveRun;
  }
  if (!co_await ForwardBuffered(opened)) {
    if (!IsOver()) {
      RecordFailure(endpoint, health_signal::kFailed);
    }
    co_return attempt_result::kMayHaveRun;
  }
  endpoints.OnHealthSignal(endpoint, health_signal::kAnswered, Now());
  co_return std::nullopt;
}

auto request_flow::ForwardBuffered(net::http_stream_result& opened)
    -> asio::awaitable<bool> {
  // Taken at once, so that responses don't wait for each other with a part of
  // what they need. The endpoint waits as well, since its body is not read.
  auto memory = byte_share(node_.ordinary_response_memory());
  while (!memory.Resize(OrdinaryBytes(opened))) {
    if (IsOver() || TimeLeft() <= duration(0)) {
      opened.body->Cancel();
      co_return false;
    }
    auto timer = asio::steady_timer(node_.context(), kMemoryPollInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  auto body = std::string{};
  while (auto part = co_await opened.body->Next()) {
    if (!HoldBytes(part->size())) {
      opened.body->Cancel();
      co_return false;
    }
    body += *part;
  }
  if (!opened.body->IsComplete()) {
    co_return false;
  }
  // Such a status guarantees that the request has not run, but this endpoint
  // did not guarantee it.
  if (!dispatch::MayRepeat(*route_) && GuaranteesNotRun(opened.head.status)) {
    co_return false;
  }
  auto forwarded = node_.requests().MakeCallerResponse(opened.head);
  forwarded.body = std::move(body);
  summary_.status = forwarded.status;
  co_await exchange_.Respond(std::move(forwarded));
  co_return true;
}

auto request_flow::HoldBytes(std::size_t bytes) -> bool {
  auto& memory = node_.response_memory();
  const auto held_after = held_bytes_ + bytes;
  if (memory.Take(BudgetedBytes(held_after) - BudgetedBytes(held_bytes_))) {
    held_bytes_ = held_after;
    return true;
  }
  Log(log_events::kResponseTooLarge,
      {{"request", std::string_view(call_.request_id)},
       {"bytes", static_cast<std::int64_t>(held_after)},
       {"held_by_all", static_cast<std::int64_t>(memory.held())}});
  return false;
}

}  // namespace daisywind::front
