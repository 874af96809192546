// Steps of a request that forward a stream of events, and resume it at another
// endpoint when one breaks it off.
#include <boost/asio.hpp>
#include <utility>

#include "common/logging.h"
#include "common/process_clock.h"
#include "front/request_flow.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;
using dispatch::attempt_result;
using dispatch::health_signal;

}  // namespace

auto request_flow::ForwardStream(net::http_stream_result& opened,
                                 const endpoint_id& endpoint)
    -> asio::awaitable<std::optional<attempt_result>> {
  auto events = net::sse_splitter{};
  auto is_continued = true;
  while (is_continued) {
    const auto part = co_await opened.body->Next();
    if (!part) {
      break;
    }
    const auto bytes = ProcessEvents(*part, events.Feed(*part));
    is_continued = bytes.has_value();
    if (is_continued && !co_await WriteToCaller(opened.head, *bytes)) {
      is_caller_disconnected_ = true;
      break;
    }
  }
  summary_.partial_event_bytes = opened.body->PartialEventBytes();
  // A whole answer is delivered even if it is late.
  if (is_continued && opened.body->IsComplete() && !is_caller_disconnected_) {
    co_await CompleteStream(opened.head, endpoint);
    co_return std::nullopt;
  }
  opened.body->Cancel();
  if (!IsOver()) {
    RecordFailure(endpoint, health_signal::kFailed);
    if (route_->is_resumable && progress_.CanResume()) {
      co_return attempt_result::kMayHaveRun;
    }
  }
  BreakOff();
  co_return std::nullopt;
}

auto request_flow::ProcessEvents(std::string_view received,
                                 const std::vector<net::sse_part>& parts)
    -> std::optional<std::string> {
  if (route_->stores_turns && !HoldBytes(received.size())) {
    return std::nullopt;
  }
  auto complete = std::string{};
  for (const auto& part : parts) {
    if (!part.data.empty()) {
      if (route_->is_resumable && !progress_.Accepts(part.id)) {
        return std::nullopt;
      }
      progress_.OnEvent(part.id);
      if (const auto version = node_.requests().ReadWeightsChange(part.text)) {
        progress_.SetWeightsVersion(*version);
      }
      ++events_;
      if (route_->stores_turns) {
        output_ += part.data;
        output_ += '\n';
      }
    }
    complete += part.text;
  }
  return route_->is_resumable ? std::move(complete) : std::string(received);
}

auto request_flow::WriteToCaller(const net::http_response& head,
                                 std::string_view bytes)
    -> asio::awaitable<bool> {
  if (bytes.empty()) {
    co_return true;
  }
  if (!attempts_.is_answered) {
    attempts_.is_answered = true;
    summary_.status = head.status;
    exchange_.StartStreamWithFirstChunk(
        node_.requests().MakeCallerResponse(head));
  }
  co_return co_await exchange_.WriteChunk(bytes);
}

auto request_flow::CompleteStream(const net::http_response& head,
                                  const endpoint_id& endpoint)
    -> asio::awaitable<void> {
  auto& endpoints = node_.service_directory().endpoints();
  endpoints.OnHealthSignal(endpoint, health_signal::kAnswered, Now());
  if (!call_.prompt.empty()) {
    // The engine caches the generated tokens behind the prompt's last part.
    auto& last = call_.prompt.back();
    last.tokens += events_ * (engine_ ? engine_->event_tokens : 0);
    endpoints.OnPromptProcessed(endpoint, call_.prompt);
  }
  if (IsTurn() && !co_await RecordTurn(endpoint)) {
    BreakOff();
    co_return;
  }
  if (!attempts_.is_answered) {
    summary_.status = head.status;
    exchange_.StartStreamWithFirstChunk(
        node_.requests().MakeCallerResponse(head));
  }
  co_await exchange_.EndStream();
}

auto request_flow::BreakOff() -> void {
  summary_.outcome = is_caller_disconnected_ ? "caller_gone"
                     : TimeLeft() <= duration(0) || is_timed_out_
                         ? "timed_out"
                         : "broken_off";
  exchange_.Abort();
}

}  // namespace daisywind::front
