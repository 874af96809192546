#include "net/http_client.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>
#include <chrono>
#include <utility>

#include "common/byte_budget.h"
#include "net/http_connection_pool.h"
#include "net/message_limits.h"
#include "net/response_reader.h"
#include "net/sse.h"

namespace daisywind::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// Responses to other requests that are skipped before the connection is closed.
constexpr auto kMaxSkippedResponses = 3;

// Renders a request to text. A Beast serializer would need its message to stay
// alive until the write has ended.
auto RenderRequest(const socket_address& address, const http_request& from)
    -> std::string {
  auto size = from.body.size() + from.target.size() + 128;
  for (const auto& header : from.headers) {
    size += header.name.size() + header.value.size() + 4;
  }
  auto text = std::string{};
  text.reserve(size);
  text.append(from.method).append(" ").append(from.target);
  text.append(" HTTP/1.1\r\n");
  if (from.Header("Host").empty()) {
    text.append("Host: ").append(ToString(address)).append("\r\n");
  }
  for (const auto& header : from.headers) {
    text.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  if (!from.body.empty() || (from.method != "GET" && from.method != "HEAD")) {
    text.append("Content-Length: ")
        .append(std::to_string(from.body.size()))
        .append("\r\n");
  }
  text.append("\r\n").append(from.body);
  return text;
}

// How long the connection of a response may stay idle: the timeout of its
// Keep-Alive header less a margin, at most `upper_limit`.
auto KeepAliveTimeout(const http_response& head, duration upper_limit)
    -> duration {
  constexpr auto kKey = std::string_view("timeout=");
  const auto text = head.Header("Keep-Alive");
  const auto position = text.find(kKey);
  if (position == std::string_view::npos) {
    return upper_limit;
  }
  auto seconds = std::int64_t{0};
  const auto digits = text.substr(position + kKey.size());
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc{} || seconds <= 0) {
    return upper_limit;
  }
  // The margin covers the transfer time of the response: the server starts its
  // timer before the client does.
  return std::min(upper_limit,
                  duration(std::chrono::seconds(seconds)) * 7 / 10);
}

}  // namespace

auto http_cancellation::Cancel() -> void {
  is_cancelled_ = true;
  if (hook_) {
    std::exchange(hook_, nullptr)();
  }
}

namespace {

using pool_ptr = std::shared_ptr<http_connection_pool>;

class body_stream : public http_body_stream {
 public:
  body_stream(pool_ptr pool,
              socket_address address,
              connection_ptr connection,
              bool is_kept,
              http_options options)
      : pool_(std::move(pool)),
        address_(std::move(address)),
        connection_(std::move(connection)),
        is_kept_(is_kept),
        options_(std::move(options)) {}

  ~body_stream() override {
    if (connection_ != nullptr) {
      connection_->Close();
    }
  }

  body_stream(const body_stream&) = delete;
  auto operator=(const body_stream&) -> body_stream& = delete;

  // Reads the head of the response to this request and skips the responses to
  // other requests before it.
  auto ReadHead() -> asio::awaitable<beast::error_code> {
    const auto now = std::chrono::steady_clock::now();
    auto response_until = std::chrono::steady_clock::time_point::max();
    if (options_.total_timeout) {
      response_until = now + *options_.total_timeout;
    }
    sent_at_ = now;
    read_until_ = std::min(now + options_.head_timeout, response_until);
    for (auto skipped = 0; skipped <= kMaxSkippedResponses; ++skipped) {
      const auto follows_others = is_kept_ || skipped > 0;
      auto& reader = reader_.emplace(options_.max_body_bytes);
      const auto error = co_await reader.ReadHead(*connection_, read_until_);
      if (error) {
        ReportIfOversized(error);
        co_return error;
      }
      head_ = reader.Head();
      if (!IsValidStatus(head_.status)) {
        co_return http::error::bad_status;
      }
      is_event_stream_ = IsEventStream(head_) ||
                         (options_.expects_events && IsSuccess(head_.status));
      events_ = sse_scanner{};
      has_event_ = false;
      if (!options_.matches_request ||
          options_.matches_request(head_, follows_others)) {
        NotifyReceived();
        connection_->keep_alive_timeout =
            KeepAliveTimeout(head_, pool_->options().max_idle);
        read_until_ = response_until;
        co_return error;
      }
      if (!co_await SkipBody()) {
        break;
      }
    }
    co_return http::error::bad_status;
  }

  auto TakeHead() -> http_response { return std::move(head_); }

  auto Next() -> asio::awaitable<std::optional<std::string>> override {
    auto part = co_await ReadPart();
    if (!part) {
      ReturnToPool();
    }
    co_return part;
  }

  auto Discard(duration limit) -> asio::awaitable<void> override {
    options_.extension.reset();
    read_until_ =
        std::min(read_until_, std::chrono::steady_clock::now() + limit);
    while (co_await Next()) {
    }
  }

  [[nodiscard]] auto IsComplete() const -> bool override {
    return IsMessageComplete() && !IsBrokenOffStream();
  }

  [[nodiscard]] auto Framing() const -> body_framing override {
    return reader_->Framing();
  }

  [[nodiscard]] auto PartialEventBytes() const -> std::size_t override {
    return is_event_stream_ ? events_.PartialBytes() : 0;
  }

  auto Cancel() -> void override {
    is_cancelled_ = true;
    if (connection_ != nullptr) {
      connection_->Close();
    }
  }

 private:
  auto ReadPart() -> asio::awaitable<std::optional<std::string>> {
    while (!is_cancelled_ && !has_failed_ && !reader_->IsDone()) {
      const auto now = std::chrono::steady_clock::now();
      // Checked here as well, because bytes that have already arrived are read
      // without waiting.
      if (now >= read_until_) {
        has_failed_ = true;
        break;
      }
      auto space = std::array<char, kPartBytes>{};
      const auto until = std::min(now + options_.idle_timeout, read_until_);
      const auto read = co_await reader_->ReadBody(*connection_, space, until);
      if (read.error) {
        has_failed_ = true;
        ReportIfOversized(read.error);
        break;
      }
      if (read.size > 0) {
        NotifyReceived();
        ExtendTimeout(read.size);
        auto part = std::string(space.data(), read.size);
        ScanEvents(part);
        if (PartialEventBytes() > sse_parser::kMaxEventBytes) {
          has_failed_ = true;
          ReportOversized("server", "event too large");
          break;
        }
        co_return part;
      }
    }
    co_return std::nullopt;
  }

  // Starts the time-out anew if enough bytes have arrived.
  auto ExtendTimeout(std::size_t received) -> void {
    if (!options_.extension || !options_.total_timeout) {
      return;
    }
    progress_bytes_ += received;
    if (progress_bytes_ >= options_.extension->progress_bytes) {
      progress_bytes_ = 0;
      read_until_ =
          std::min(std::chrono::steady_clock::now() + *options_.total_timeout,
                   sent_at_ + options_.extension->max_total);
    }
  }

  static auto ReportIfOversized(const beast::error_code& error) -> void {
    if (error == http::error::buffer_overflow ||
        error == http::error::header_limit ||
        error == http::error::body_limit) {
      const auto reason = error.message();
      ReportOversized("server", reason);
    }
  }

  auto NotifyReceived() -> void {
    if (options_.on_received) {
      options_.on_received();
    }
  }

  // Whether the message has ended as its framing says.
  [[nodiscard]] auto IsMessageComplete() const -> bool {
    return reader_->IsDone() && !has_failed_;
  }

  // Whether a stream ended inside an event, or before its first one where
  // nothing but the end of the connection marks its end.
  [[nodiscard]] auto IsBrokenOffStream() const -> bool {
    const auto is_without_events =
        !has_event_ && Framing() == body_framing::kConnection;
    return is_event_stream_ && (PartialEventBytes() > 0 || is_without_events);
  }

  auto ScanEvents(std::string_view bytes) -> void {
    while (is_event_stream_ && !bytes.empty()) {
      bytes.remove_prefix(events_.Scan(bytes));
      has_event_ = has_event_ || events_.IsAtEventEnd();
    }
  }

  // Returns true when another response may follow on the connection.
  auto SkipBody() -> asio::awaitable<bool> {
    while (co_await ReadPart()) {
    }
    co_return IsMessageComplete() && reader_->KeepsConnection();
  }

  auto ReturnToPool() -> void {
    if (connection_ == nullptr || is_cancelled_) {
      return;
    }
    if (options_.cancellation != nullptr) {
      options_.cancellation->SetHook(nullptr);
    }
    auto connection = std::exchange(connection_, nullptr);
    if (has_failed_ || !reader_->KeepsConnection()) {
      connection->Close();
      return;
    }
    pool_->Return(address_, std::move(connection));
  }

  static constexpr std::size_t kPartBytes = 8192;

  pool_ptr pool_;
  socket_address address_;
  connection_ptr connection_;
  // Whether earlier requests were sent on the connection.
  bool is_kept_;
  http_options options_;
  std::optional<response_reader> reader_;
  http_response head_;
  bool is_event_stream_ = false;
  sse_scanner events_;
  bool has_event_ = false;
  std::chrono::steady_clock::time_point sent_at_;
  // Bytes of the body since the time-out was last extended.
  std::size_t progress_bytes_ = 0;
  // No read waits past this time.
  std::chrono::steady_clock::time_point read_until_ =
      std::chrono::steady_clock::time_point::max();
  bool has_failed_ = false;
  bool is_cancelled_ = false;
};

// Starts to write a request. A server may respond before it has read the whole
// request, so reading the response does not wait for the end of the write.
auto StartWrite(const connection_ptr& connection,
                std::string request,
                duration timeout) -> void {
  connection->outgoing = std::move(request);
  connection->bytes_written = 0;
  connection->is_written = false;
  connection->has_write_failed = false;
  connection->stream.expires_after(timeout);
  asio::async_write(
      connection->stream, asio::buffer(connection->outgoing),
      [connection](const beast::error_code& error, std::size_t size) {
        connection->bytes_written += size;
        connection->is_written = !error;
        connection->has_write_failed = error.failed();
        FreeMemory(connection->outgoing);
      });
}

}  // namespace

http_client::http_client(asio::io_context& context, http_pool_options pool)
    : pool_(std::make_shared<http_connection_pool>(context, pool)) {}

http_client::~http_client() = default;

auto http_client::Open(socket_address address,
                       http_request request,
                       http_options options)
    -> asio::awaitable<http_stream_result> {
  auto pool = pool_;
  auto connection = options.connection == connection_use::kNew
                        ? nullptr
                        : pool->Take(address);
  const auto is_pooled = connection != nullptr;
  auto connect_error = beast::error_code{};
  if (!is_pooled && options.connection != connection_use::kIdle) {
    connection = co_await pool->Open(address, options, connect_error);
  }
  if (connection == nullptr || IsCancelled(options)) {
    co_return http_stream_result{
        http_outcome::kNotSent,
        {},
        nullptr,
        IsCancelled(options) ? "cancelled before it was sent"
        : connect_error      ? "connect: " + connect_error.message()
                             : "no idle connection"};
  }
  if (options.cancellation != nullptr) {
    options.cancellation->SetHook([connection] { connection->Close(); });
  }
  const auto is_kept = std::exchange(connection->is_used, true);
  StartWrite(connection, RenderRequest(address, request), options.head_timeout);
  if (!is_pooled || !options.resend_on_stale) {
    FreeMemory(request);
  }
  auto body = std::make_unique<body_stream>(pool, address, connection, is_kept,
                                            options);
  const auto error = co_await body->ReadHead();
  if (!error) {
    auto head = body->TakeHead();
    co_return http_stream_result{http_outcome::kAnswered, std::move(head),
                                 std::move(body), "", is_pooled};
  }
  if (is_pooled && options.resend_on_stale && !IsCancelled(options)) {
    options.connection = connection_use::kNew;
    co_return co_await Open(std::move(address), std::move(request),
                            std::move(options));
  }
  const auto is_unsent =
      connection->has_write_failed && connection->bytes_written == 0;
  co_return http_stream_result{
      is_unsent ? http_outcome::kNotSent : http_outcome::kNoAnswer,
      {},
      nullptr,
      error.message(),
      is_pooled};
}

auto http_client::Connect(socket_address address, duration timeout)
    -> asio::awaitable<bool> {
  auto pool = pool_;
  auto options = http_options{};
  options.connect_timeout = timeout;
  auto error = beast::error_code{};
  auto connection = co_await pool->Open(address, options, error);
  if (connection == nullptr) {
    co_return false;
  }
  connection->keep_alive_timeout = pool->options().max_idle;
  pool->Return(address, std::move(connection));
  co_return true;
}

auto http_client::HasIdleConnection(const socket_address& address) -> bool {
  return pool_->HasUsable(address);
}

auto http_client::CloseIdleConnections() -> void {
  pool_->Clear();
}

auto http_client::OpenedConnections() const -> std::uint64_t {
  return pool_->OpenedConnections();
}

auto http_client::Send(socket_address address,
                       http_request request,
                       http_options options) -> asio::awaitable<http_result> {
  auto opened =
      co_await Open(std::move(address), std::move(request), std::move(options));
  if (opened.outcome != http_outcome::kAnswered) {
    co_return http_result{opened.outcome, {}, std::move(opened.error)};
  }
  auto response = std::move(opened.head);
  while (auto part = co_await opened.body->Next()) {
    response.body += *part;
  }
  if (!opened.body->IsComplete()) {
    co_return http_result{http_outcome::kNoAnswer, std::move(response),
                          "response ended before its body was complete"};
  }
  co_return http_result{http_outcome::kAnswered, std::move(response), ""};
}

}  // namespace daisywind::net
