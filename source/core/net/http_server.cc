#include "net/http_server.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <utility>

#include "common/logging.h"
#include "net/acceptor.h"
#include "net/message_limits.h"

namespace daisywind::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

// Renders a response head without the header fields that frame the body and
// without the final empty line.
auto RenderHead(const http_response& from, bool keep_alive) -> std::string {
  auto text = std::string("HTTP/1.1 ");
  text.append(std::to_string(from.status)).append(" ");
  const auto reason = http::obsolete_reason(http::int_to_status(from.status));
  text.append(reason.data(), reason.size()).append("\r\n");
  for (const auto& header : from.headers) {
    text.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  if (!keep_alive) {
    text.append("Connection: close\r\n");
  }
  return text;
}

auto RenderChunk(std::string_view bytes) -> std::string {
  auto text = std::array<char, 20>{};
  const auto end =
      std::to_chars(text.data(), text.data() + text.size(), bytes.size(), 16);
  auto chunk = std::string(text.data(), end.ptr);
  chunk.append("\r\n").append(bytes).append("\r\n");
  return chunk;
}

constexpr auto kLastChunk = std::string_view("0\r\n\r\n");

auto ToHttpRequest(http::request<http::string_body>&& from) -> http_request {
  auto to = http_request{};
  to.headers.reserve(
      static_cast<std::size_t>(std::distance(from.begin(), from.end())));
  to.method = std::string(from.method_string());
  to.target = std::string(from.target());
  for (const auto& field : from) {
    to.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  to.body = std::move(from.body());
  return to;
}

// Whether a request has a transfer coding that this server does not decode. The
// parser takes such a body for empty, or leaves its coding in it, and what
// follows the head must then not be read as another request.
auto HasUnknownFraming(const http::request_parser<http::string_body>& parser)
    -> bool {
  constexpr auto kHttp11 = 11U;
  const auto& request = parser.get();
  const auto codings = request.count(http::field::transfer_encoding);
  if (codings == 0) {
    return false;
  }
  return codings > 1 || request.version() < kHttp11 || !parser.chunked() ||
         !beast::iequals(request[http::field::transfer_encoding], "chunked");
}

auto ErrorResponse(const beast::error_code& error) -> http_response {
  auto status = 400U;
  auto title = std::string("malformed request");
  if (error == http::error::body_limit) {
    status = 413;
    title = "request body too large";
  } else if (error == http::error::header_limit ||
             error == http::error::buffer_overflow) {
    status = 431;
    title = "request head too large";
  } else if (error == beast::error::timeout) {
    status = 408;
    title = "request took too long to arrive";
  } else if (error == beast::errc::not_enough_memory) {
    status = 503;
    title = "memory for requests used up";
  }
  return {status,
          {{"Content-Type", "application/problem+json"}},
          R"({"type":"about:blank","title":")" + title + R"(","status":)" +
              std::to_string(status) + R"(,"outcome":"not_run"})"};
}

// A connection that has waited for its caller for less time is not closed for
// another: ordinary requests arrive, and responses are read, within it.
constexpr auto kMinWait = std::chrono::seconds(1);

// Bytes of each request, and of each unsent response, that are not counted
// towards the memory of all: those of ordinary heads and refusals, so that
// max_connections alone bounds them.
constexpr auto kUncountedBytes = std::size_t{8} * 1024;

// Memory of a header field other than its text: its node in the parser and its
// copy in http_request. 4,000 empty fields took 82 bytes each in the parser and
// 170 with the request to the endpoint.
constexpr auto kFieldBytes = std::size_t{128};

auto CountedBytes(std::size_t bytes) -> std::size_t {
  return bytes - std::min(bytes, kUncountedBytes);
}

class connection;

// What a connection waits for its caller to do.
enum class caller_wait : std::uint8_t {
  kNone,
  kSendRequest,
  kReadResponse,
};

}  // namespace

struct http_server::state : std::enable_shared_from_this<http_server::state> {
  state(asio::io_context& io, http_limits initial_limits, http_handler handle)
      : context(io),
        limits(initial_limits),
        handler(std::move(handle)),
        acceptor(io) {}

  // Ends the connection, other than `except`, that has waited longest for its
  // caller, if it has waited for kMinWait. Considers connections of one kind,
  // or all without one. Returns whether there was one.
  auto EndLongestWait(std::optional<caller_wait> kind, const connection* except)
      -> bool;

  asio::io_context& context;
  http_limits limits;
  http_handler handler;
  std::shared_ptr<byte_budget> memory;
  std::shared_ptr<byte_budget> unsent_memory;
  tcp::acceptor acceptor;
  std::set<connection*> connections;
  std::size_t active_requests = 0;
  // Connections close after the request that has arrived on them, if any.
  bool is_closing = false;
  // No request is served any more.
  bool is_aborted = false;
  // Set while this process drains before it stops: responses then carry
  // "Connection: close".
  bool is_draining = false;
};

namespace {

using server_state = std::shared_ptr<http_server::state>;

// A request that counts as active until this object's end.
class active_request {
 public:
  explicit active_request(http_server::state& server) : server_(server) {
    ++server_.active_requests;
  }
  active_request(const active_request&) = delete;
  auto operator=(const active_request&) -> active_request& = delete;
  ~active_request() { --server_.active_requests; }

 private:
  http_server::state& server_;
};

class connection : public http_exchange {
 public:
  connection(tcp::socket socket,
             const http_limits& limits,
             std::shared_ptr<byte_budget> memory,
             std::shared_ptr<byte_budget> unsent_memory)
      : stream_(std::move(socket)),
        limits_(limits),
        memory_(std::move(memory)),
        unsent_memory_(std::move(unsent_memory)),
        buffer_(limits.max_head_bytes + kMaxParserBytes) {}

  [[nodiscard]] auto request() const -> const http_request& override {
    return request_;
  }

  auto Respond(http_response response) -> asio::awaitable<bool> override {
    auto text = RenderHead(response, KeepsAlive());
    text.append("Content-Length: ")
        .append(std::to_string(response.body.size()))
        .append("\r\n\r\n");
    has_responded_ = true;
    co_return co_await Write(std::move(text), std::move(response.body));
  }

  auto StartStream(http_response head) -> asio::awaitable<bool> override {
    StartStreamWithFirstChunk(std::move(head));
    co_return co_await Write(std::exchange(pending_head_, {}));
  }

  auto StartStreamWithFirstChunk(http_response head) -> void override {
    pending_head_ = RenderHead(head, KeepsAlive());
    pending_head_.append("Transfer-Encoding: chunked\r\n\r\n");
    has_responded_ = true;
    is_streaming_ = true;
  }

  auto WriteChunk(std::string_view bytes) -> asio::awaitable<bool> override {
    co_return co_await Write(std::exchange(pending_head_, {}) +
                             RenderChunk(bytes));
  }

  auto EndStream() -> asio::awaitable<bool> override {
    auto text = std::exchange(pending_head_, {});
    text.append(kLastChunk);
    const auto is_sent = co_await Write(std::move(text));
    is_streaming_ = false;
    co_return is_sent;
  }

  auto Abort() -> void override {
    keep_alive_ = false;
    auto ignored = beast::error_code{};
    // A reset tells the client that the response is incomplete.
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream_.socket().close(ignored);
  }

  auto WaitForClose() -> asio::awaitable<void> override {
    while (stream_.socket().is_open()) {
      const auto [error] = co_await stream_.socket().async_wait(
          tcp::socket::wait_read, kAsTuple);
      if (error || IsPeerClosed()) {
        co_return;
      }
      // The bytes of a pipelined request are readable too, but are not consumed
      // here, so waiting again at once would spin.
      auto timer = asio::steady_timer(stream_.get_executor(),
                                      std::chrono::milliseconds(100));
      const auto [timer_error] = co_await timer.async_wait(kAsTuple);
      if (timer_error) {
        co_return;
      }
    }
  }

  auto OnClose(std::function<void()> handler) -> void override {
    close_handler_ = std::move(handler);
    if (is_watching_) {
      return;
    }
    is_watching_ = true;
    const auto alive = std::weak_ptr<bool>(alive_);
    stream_.socket().async_wait(
        tcp::socket::wait_read, [this, alive](const beast::error_code& error) {
          if (alive.expired()) {
            return;
          }
          is_watching_ = false;
          if (close_handler_ && (error ? error != asio::error::operation_aborted
                                       : IsPeerClosed())) {
            std::exchange(close_handler_, nullptr)();
          }
        });
  }

  [[nodiscard]] auto IsClosed() -> bool override {
    return !stream_.socket().is_open() || IsPeerClosed();
  }

  auto Run(server_state server) -> asio::awaitable<void> {
    server_ = server.get();
    while (keep_alive_ && !server->is_aborted &&
           (!server->is_closing || HasInput())) {
      if (buffer_.size() == 0 && !co_await WaitForFirstByte()) {
        break;
      }
      const auto counted = active_request(*server);
      is_busy_ = true;
      StartWait(caller_wait::kSendRequest);
      const auto is_read = co_await ReadRequest();
      EndWait();
      if (is_read) {
        has_responded_ = false;
        co_await server->handler(*this);
      }
      is_busy_ = false;
      FreeMemory(request_);
      memory_.Resize(0);
      close_handler_ = nullptr;
      keep_alive_ = KeepsAlive();
      if (!is_read) {
        break;
      }
      if (is_streaming_ || !has_responded_) {
        Abort();
        break;
      }
    }
    auto ignored = beast::error_code{};
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
  }

  // How long the connection has waited for its caller. Zero if it does not, or
  // waits for something else than is asked for.
  [[nodiscard]] auto WaitedFor(std::optional<caller_wait> kind) const
      -> std::chrono::steady_clock::duration {
    if (wait_ == caller_wait::kNone || is_ended_ || (kind && *kind != wait_)) {
      return {};
    }
    return std::chrono::steady_clock::now() - waiting_since_;
  }

  // Ends the wait for the caller, and the connection with it. Returns its
  // memory at once, although its buffers live until its coroutine has
  // continued.
  auto EndBecauseOfWait() -> void {
    ReportOversized("caller", "memory or connections used up by slow callers");
    is_ended_ = true;
    memory_.Resize(0);
    unsent_memory_.Resize(0);
    Abort();
  }

  auto CloseIfIdle() -> void {
    if (!is_busy_ && (server_->is_aborted || !HasInput())) {
      stream_.close();
    }
    keep_alive_ = false;
  }

 private:
  // Whether a byte of the next request has arrived.
  [[nodiscard]] auto HasInput() -> bool {
    auto ignored = beast::error_code{};
    return buffer_.size() > 0 || stream_.socket().available(ignored) > 0;
  }

  auto ReadRequest() -> asio::awaitable<bool> {
    auto parser = http::request_parser<http::string_body>{};
    parser.header_limit(static_cast<std::uint32_t>(limits_.max_head_bytes));
    parser.body_limit(limits_.max_body_bytes);
    // The time-out of the stream would close the socket, and no error response
    // could be sent.
    const auto has_expired = std::make_shared<bool>(false);
    auto timer =
        asio::steady_timer(stream_.get_executor(), limits_.read_timeout);
    // A handler that is already queued may run after this coroutine has
    // continued. The weak pointer is expired by then.
    const auto weak_flag = std::weak_ptr<bool>(has_expired);
    timer.async_wait([this, weak_flag](const beast::error_code& wait_error) {
      const auto flag = weak_flag.lock();
      if (!wait_error && flag != nullptr) {
        *flag = true;
        stream_.cancel();
      }
    });
    stream_.expires_never();
    const auto error = co_await ReadInto(parser);
    timer.cancel();
    if (is_ended_) {
      co_return false;
    }
    if (error) {
      co_await Reject(*has_expired ? make_error_code(beast::error::timeout)
                                   : error);
      co_return false;
    }
    keep_alive_ = keep_alive_ && parser.get().keep_alive();
    request_ = ToHttpRequest(parser.release());
    co_return true;
  }

  auto ReadInto(http::request_parser<http::string_body>& parser)
      -> asio::awaitable<beast::error_code> {
    head_bytes_ = 0;
    head_lines_ = 0;
    while (true) {
      const auto error = Parse(parser);
      if (error || parser.is_done()) {
        ShrinkBuffer();
        memory_.Resize(CountedBytes(RequestBytes(parser)));
        co_return error;
      }
      if (!TakeMemory(parser)) {
        co_return make_error_code(beast::errc::not_enough_memory);
      }
      const auto space = ReadSize();
      if (space == 0) {
        co_return make_error_code(http::error::buffer_overflow);
      }
      auto free = buffer_.prepare(space);
      const auto [read_error, size] =
          co_await stream_.async_read_some(free, kAsTuple);
      if (read_error == asio::error::eof) {
        co_return parser.got_some()
            ? make_error_code(http::error::partial_message)
            : make_error_code(http::error::end_of_stream);
      }
      if (read_error || is_ended_) {
        co_return read_error;
      }
      buffer_.commit(size);
    }
  }

  // Parses what has arrived. Needs more if it returns no error and the parser
  // is not done.
  auto Parse(http::request_parser<http::string_body>& parser)
      -> beast::error_code {
    while (buffer_.size() > 0 && !parser.is_done()) {
      const auto was_header_done = parser.is_header_done();
      auto error = beast::error_code{};
      const auto used = Put(parser, error);
      if (!was_header_done) {
        const auto* text = static_cast<const char*>(buffer_.data().data());
        head_bytes_ += used;
        head_lines_ +=
            static_cast<std::size_t>(std::count(text, text + used, '\n'));
      }
      buffer_.consume(used);
      if (error == http::error::need_more) {
        return {};
      }
      if (error) {
        return error;
      }
      if (!was_header_done && parser.is_header_done() &&
          HasUnknownFraming(parser)) {
        return make_error_code(http::error::bad_transfer_encoding);
      }
      if (used == 0) {
        return {};
      }
    }
    return {};
  }

  // Returns how many bytes of the buffer the parser has taken.
  auto Put(http::request_parser<http::string_body>& parser,
           beast::error_code& error) -> std::size_t {
    try {
      return parser.put(buffer_.data(), error);
    } catch (const std::length_error&) {
      // A name or value of 64 KiB is more than the parser can store.
      error = http::error::header_limit;
      return 0;
    }
  }

  // Bytes to read next; zero if the buffer is full.
  [[nodiscard]] auto ReadSize() const -> std::size_t {
    constexpr auto kMinReadBytes = std::size_t{512};
    const auto wanted =
        std::max(kMinReadBytes, buffer_.capacity() - buffer_.size());
    return std::min(wanted, buffer_.max_size() - buffer_.size());
  }

  // Memory of the request that is being read.
  [[nodiscard]] auto RequestBytes(
      const http::request_parser<http::string_body>& parser) const
      -> std::size_t {
    return buffer_.capacity() + 2 * head_bytes_ + head_lines_ * kFieldBytes +
           parser.get().body().size();
  }

  auto TakeMemory(const http::request_parser<http::string_body>& parser)
      -> bool {
    const auto bytes = CountedBytes(RequestBytes(parser));
    while (!memory_.Resize(bytes)) {
      if (!server_->EndLongestWait(caller_wait::kSendRequest, this)) {
        return false;
      }
    }
    return true;
  }

  auto ShrinkBuffer() -> void {
    if (buffer_.capacity() > std::max(buffer_.size(), kReadAheadBytes)) {
      buffer_.shrink_to_fit();
    }
  }

  auto StartWait(caller_wait kind) -> void {
    wait_ = kind;
    waiting_since_ = std::chrono::steady_clock::now();
  }

  auto EndWait() -> void { wait_ = caller_wait::kNone; }

  auto WaitForFirstByte() -> asio::awaitable<bool> {
    stream_.expires_after(limits_.idle_timeout);
    ShrinkBuffer();
    auto space = buffer_.prepare(kReadAheadBytes);
    const auto [error, size] =
        co_await stream_.async_read_some(space, kAsTuple);
    if (error) {
      co_return false;
    }
    buffer_.commit(size);
    co_return true;
  }

  auto Reject(const beast::error_code& error) -> asio::awaitable<void> {
    const auto is_disconnect = error == http::error::end_of_stream ||
                               error == http::error::partial_message ||
                               error == asio::error::connection_reset ||
                               error == asio::error::operation_aborted;
    if (is_disconnect) {
      co_return;
    }
    const auto reason = error.message();
    if (error == http::error::buffer_overflow ||
        error == beast::errc::not_enough_memory) {
      ReportOversized("caller", reason);
    }
    Log(log_events::kRequestRejected, {{"reason", std::string_view(reason)}});
    keep_alive_ = false;
    co_await Respond(ErrorResponse(error));
  }

  auto IsPeerClosed() -> bool {
    auto byte = char{};
    auto error = beast::error_code{};
    auto& socket = stream_.socket();
    const auto was_non_blocking = socket.non_blocking();
    auto ignored = beast::error_code{};
    socket.non_blocking(true, ignored);
    const auto size = socket.receive(asio::buffer(&byte, 1),
                                     tcp::socket::message_peek, error);
    socket.non_blocking(was_non_blocking, ignored);
    if (error == asio::error::would_block) {
      return false;
    }
    return error.failed() || size == 0;
  }

  [[nodiscard]] auto KeepsAlive() const -> bool {
    return keep_alive_ && (server_ == nullptr ||
                           !(server_->is_draining || server_->is_closing));
  }

  auto Write(std::string text, std::string body = {}) -> asio::awaitable<bool> {
    const auto parts = std::array<asio::const_buffer, 2>{asio::buffer(text),
                                                         asio::buffer(body)};
    auto unsent = beast::buffers_suffix(parts);
    unsent.consume(SendAtOnce(unsent));
    const auto size = beast::buffer_bytes(unsent);
    if (size == 0) {
      // Other connections get their turn between pipelined requests.
      co_await asio::post(stream_.get_executor(), asio::use_awaitable);
      co_return true;
    }
    if (!TakeUnsentMemory(size)) {
      ReportOversized("caller", "memory for unread responses used up");
      Abort();
      co_return FinishWrite(make_error_code(beast::errc::not_enough_memory));
    }
    StartWait(caller_wait::kReadResponse);
    stream_.expires_after(limits_.write_timeout);
    const auto [error, written] =
        co_await asio::async_write(stream_, unsent, kAsTuple);
    EndWait();
    unsent_memory_.Resize(0);
    co_return FinishWrite(error);
  }

  // Sends what the socket takes without waiting, and returns its size.
  template <class Buffers>
  auto SendAtOnce(const Buffers& buffers) -> std::size_t {
    auto& socket = stream_.socket();
    auto error = beast::error_code{};
    socket.non_blocking(true, error);
    return error ? 0 : socket.write_some(buffers, error);
  }

  auto TakeUnsentMemory(std::size_t bytes) -> bool {
    while (!unsent_memory_.Resize(CountedBytes(bytes))) {
      if (!server_->EndLongestWait(caller_wait::kReadResponse, this)) {
        return false;
      }
    }
    return true;
  }

  auto FinishWrite(const beast::error_code& error) -> bool {
    if (error) {
      keep_alive_ = false;
      is_streaming_ = false;
    }
    return !error;
  }

  static constexpr std::size_t kReadAheadBytes = 4096;

  beast::tcp_stream stream_;
  const http_limits& limits_;
  // What the current request has taken, and its response.
  byte_share memory_;
  byte_share unsent_memory_;
  beast::flat_buffer buffer_;
  http_request request_;
  std::string pending_head_;
  std::function<void()> close_handler_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  http_server::state* server_ = nullptr;
  // Size and number of lines of the head of the current request, as far as it
  // was parsed.
  std::size_t head_bytes_ = 0;
  std::size_t head_lines_ = 0;
  // A caller that has connected and sent nothing is waited for.
  caller_wait wait_ = caller_wait::kSendRequest;
  std::chrono::steady_clock::time_point waiting_since_ =
      std::chrono::steady_clock::now();
  bool is_ended_ = false;
  bool is_watching_ = false;
  bool keep_alive_ = true;
  bool is_busy_ = false;
  bool has_responded_ = false;
  bool is_streaming_ = false;
};

// The entry of a connection in its server's table. It goes with the connection,
// even if an exception ends that.
class table_entry {
 public:
  table_entry(http_server::state& server, connection& peer)
      : server_(server), peer_(peer) {
    server_.connections.insert(&peer_);
  }
  table_entry(const table_entry&) = delete;
  auto operator=(const table_entry&) -> table_entry& = delete;
  ~table_entry() { server_.connections.erase(&peer_); }

 private:
  http_server::state& server_;
  connection& peer_;
};

auto Serve(server_state server, tcp::socket socket) -> asio::awaitable<void> {
  auto peer = connection(std::move(socket), server->limits, server->memory,
                         server->unsent_memory);
  const auto entry = table_entry(*server, peer);
  co_await peer.Run(server);
}

auto StartServing(const server_state& server, tcp::socket socket) -> void {
  auto ignored = beast::error_code{};
  if (server->connections.size() >= server->limits.max_connections &&
      !server->EndLongestWait(std::nullopt, nullptr)) {
    socket.close(ignored);
    return;
  }
  socket.set_option(tcp::no_delay(true), ignored);
  asio::co_spawn(server->context, Serve(server, std::move(socket)),
                 asio::detached);
}

auto Accept(server_state server) -> asio::awaitable<void> {
  while (server->acceptor.is_open()) {
    auto [error, socket] = co_await server->acceptor.async_accept(kAsTuple);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      // The process may be out of file descriptors. The delay lets open
      // connections end.
      auto timer =
          asio::steady_timer(server->context, std::chrono::milliseconds(50));
      co_await timer.async_wait(kAsTuple);
      continue;
    }
    StartServing(server, std::move(socket));
  }
}

}  // namespace

auto ProbeLimits() -> http_limits {
  auto limits = http_limits{};
  limits.max_body_bytes = std::size_t{64} * 1024;
  limits.max_connections = 32;
  return limits;
}

auto http_server::state::EndLongestWait(std::optional<caller_wait> kind,
                                        const connection* except) -> bool {
  auto* longest = static_cast<connection*>(nullptr);
  auto longest_wait = std::chrono::steady_clock::duration(kMinWait);
  for (auto* peer : connections) {
    const auto wait = peer->WaitedFor(kind);
    if (peer != except && wait >= longest_wait) {
      longest = peer;
      longest_wait = wait;
    }
  }
  if (longest != nullptr) {
    longest->EndBecauseOfWait();
  }
  return longest != nullptr;
}

http_server::http_server(asio::io_context& context,
                         http_limits limits,
                         http_handler handler)
    : state_(std::make_shared<state>(context, limits, std::move(handler))) {}

http_server::~http_server() {
  // The handler's owner may be gone, so no further request is served.
  state_->is_aborted = true;
  auto ignored = beast::error_code{};
  state_->acceptor.close(ignored);
  CloseIdle();
}

auto http_server::Listen(const socket_address& address) -> std::uint16_t {
  const auto port = OpenAcceptor(state_->acceptor, address);
  if (port != 0) {
    asio::co_spawn(state_->context, Accept(state_), asio::detached);
  }
  return port;
}

auto http_server::UpdateLimits(const http_limits& limits) -> void {
  state_->limits = limits;
}

auto http_server::SetMemory(std::shared_ptr<byte_budget> memory) -> void {
  state_->memory = std::move(memory);
}

auto http_server::SetUnsentMemory(std::shared_ptr<byte_budget> memory) -> void {
  state_->unsent_memory = std::move(memory);
}

auto http_server::CloseAfterResponses() -> void {
  state_->is_draining = true;
}

auto http_server::StopAccepting() -> void {
  auto error = beast::error_code{};
  if (!state_->acceptor.is_open()) {
    return;
  }
  // Closing the socket would reset the connections that wait in its queue.
  state_->acceptor.non_blocking(true, error);
  while (!error) {
    auto socket = tcp::socket(state_->context);
    state_->acceptor.accept(socket, error);
    if (!error) {
      StartServing(state_, std::move(socket));
    }
  }
  state_->acceptor.close(error);
}

auto http_server::CloseIdle() -> void {
  state_->is_closing = true;
  for (auto* peer : state_->connections) {
    peer->CloseIfIdle();
  }
}

auto http_server::CloseAll() -> void {
  state_->is_closing = true;
  state_->is_aborted = true;
  for (auto* peer : state_->connections) {
    peer->Abort();
  }
}

auto http_server::ConnectionCount() const -> std::size_t {
  return state_->connections.size();
}

auto http_server::ActiveRequestCount() const -> std::size_t {
  return state_->active_requests;
}

}  // namespace daisywind::net
