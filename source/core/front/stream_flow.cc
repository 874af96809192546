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

auto JoinTexts(const std::vector<net::sse_part>& parts) -> std::string {
  auto joined = std::string{};
  for (const auto& part : parts) {
    joined += part.text;
  }
  return joined;
}

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
    if (route_->stores_turns && !HoldBytes(part->size())) {
      is_continued = false;
      break;
    }
    auto parts = events.Feed(*part);
    is_continued = ProcessEvents(parts);
    const auto whole_events =
        route_->is_resumable ? JoinTexts(parts) : std::string();
    const auto bytes = route_->is_resumable ? std::string_view(whole_events)
                                            : std::string_view(*part);
    if (!co_await WriteToCaller(opened.head, bytes)) {
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

auto request_flow::ProcessEvents(std::vector<net::sse_part>& parts) -> bool {
  for (auto i = std::size_t{0}; i < parts.size(); ++i) {
    const auto& part = parts[i];
    if (part.data.empty()) {
      continue;
    }
    if (route_->is_resumable && !FollowEvent(part)) {
      parts.resize(i);
      return false;
    }
    ++events_;
    if (route_->stores_turns) {
      output_ += part.data;
      output_ += '\n';
    }
  }
  return true;
}

auto request_flow::FollowEvent(const net::sse_part& event) -> bool {
  if (!progress_.Accepts(event.id)) {
    return false;
  }
  progress_.OnEvent(event.id);
  if (const auto version = node_.requests().ReadWeightsChange(event.text)) {
    progress_.SetWeightsVersion(*version);
  }
  return true;
}

auto request_flow::StartResponse(const net::http_response& head) -> void {
  if (attempts_.is_answered) {
    return;
  }
  attempts_.is_answered = true;
  summary_.status = head.status;
  exchange_.StartStreamWithFirstChunk(
      node_.requests().MakeCallerResponse(head));
}

auto request_flow::WriteToCaller(const net::http_response& head,
                                 std::string_view bytes)
    -> asio::awaitable<bool> {
  if (bytes.empty()) {
    co_return true;
  }
  StartResponse(head);
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
  StartResponse(head);
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
