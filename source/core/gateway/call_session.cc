#include "gateway/call_session.h"

#include <utility>
#include <variant>

#include "gateway/problem.h"
#include "gateway/reply_writer.h"
#include "net/sse.h"

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;

// Interval at which a waiting session checks whether the caller has closed the
// connection.
constexpr duration kDisconnectCheckInterval = 250ms;
constexpr std::string_view kCallerDisconnected = "caller_gone";

}  // namespace

call_session::call_session(net::http_exchange& exchange,
                           reply_table& replies,
                           std::function<void(program::event)> submit)
    : exchange_(exchange), replies_(replies), submit_(std::move(submit)) {
  std::tie(request_, queue_) = replies_.Open();
}

call_session::~call_session() {
  replies_.Close(request_);
}

auto call_session::NextReply() -> asio::awaitable<std::optional<reply_item>> {
  while (true) {
    auto item = co_await queue_->Next(kDisconnectCheckInterval);
    if (item) {
      co_return item;
    }
    if (exchange_.IsClosed()) {
      submit_(program::caller_disconnected{request_});
      co_return std::nullopt;
    }
  }
}

auto call_session::ServeCall(call_summary call)
    -> asio::awaitable<std::string_view> {
  while (auto item = co_await NextReply()) {
    if (const auto* head = std::get_if<program::reply_head>(&*item)) {
      co_await StartStream(head->handle);
    } else if (const auto* part = std::get_if<program::reply_part>(&*item)) {
      const auto is_written = co_await WritePart(call, *part);
      if (!is_written) {
        submit_(program::caller_disconnected{request_});
        co_return kCallerDisconnected;
      }
    } else if (const auto* end = std::get_if<program::reply_end>(&*item)) {
      co_await WriteEnd(call, *end);
      co_return program::NameOf(program::outcome::kDone);
    } else if (const auto* problem_reply =
                   std::get_if<program::reply_problem>(&*item)) {
      co_await WriteProblem(*problem_reply);
      co_return program::NameOf(problem_reply->refusal.result);
    }
  }
  co_return kCallerDisconnected;
}

auto call_session::ServeControl(unsigned status) -> asio::awaitable<void> {
  while (auto item = co_await NextReply()) {
    if (const auto* done = std::get_if<program::reply_view>(&*item)) {
      auto response = ProgramResponse(status, done->view);
      co_await exchange_.Respond(std::move(response));
      co_return;
    }
    if (const auto* problem_reply =
            std::get_if<program::reply_problem>(&*item)) {
      co_await WriteProblem(*problem_reply);
      co_return;
    }
  }
}

auto call_session::StartStream(const program::program_handle& handle)
    -> asio::awaitable<bool> {
  if (is_streaming_) {
    co_return true;
  }
  is_streaming_ = true;
  auto head = StreamHead(handle);
  co_return co_await exchange_.StartStream(std::move(head));
}

auto call_session::WritePart(const call_summary& call,
                             const program::reply_part& part)
    -> asio::awaitable<bool> {
  if (!is_streaming_) {
    co_return true;
  }
  const auto chunk =
      ChatChunk(call.model, program::BytesOf(part.bytes), part.offset);
  co_return co_await exchange_.WriteChunk(chunk);
}

auto call_session::WriteEnd(const call_summary& call,
                            const program::reply_end& end)
    -> asio::awaitable<void> {
  if (call.kind == program::call_kind::kService) {
    auto response = ServiceResponse(end);
    co_await exchange_.Respond(std::move(response));
    co_return;
  }
  if (!call.is_stream) {
    auto response = ChatResponse(call.model, end);
    co_await exchange_.Respond(std::move(response));
    co_return;
  }
  co_await StartStream(end.handle);
  const auto last =
      end.is_lost ? ChatStreamLost() : ChatStreamEnd(call.model, end);
  co_await exchange_.WriteChunk(last);
  co_await exchange_.EndStream();
}

auto call_session::WriteProblem(const program::reply_problem& problem_reply)
    -> asio::awaitable<void> {
  auto response = ToResponse(FromRefusal(problem_reply.refusal));
  if (problem_reply.handle.program != program_id{}) {
    response.headers.push_back(
        {"Daisywind-Program", program::ToString(problem_reply.handle)});
  }
  if (!is_streaming_) {
    co_await exchange_.Respond(std::move(response));
    co_return;
  }
  const auto event = net::FormatSseEvent("{\"error\":" + response.body + "}");
  co_await exchange_.WriteChunk(event);
  co_await exchange_.EndStream();
}

}  // namespace daisywind::gateway
