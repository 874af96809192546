// Responses that the client reads, and those that it takes for broken ones.
#include <doctest/doctest.h>

#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "net/http_client.h"
#include "net/sse.h"
#include "run_until_done.h"
#include "testing/early_endpoint.h"

namespace daisywind::net {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Sends the same bytes in response to each request and closes the connection.
// The client reads them in two parts if there is a place to split them at.
class closing_server {
 public:
  closing_server(asio::io_context& context,
                 std::string response,
                 std::size_t split_at = 0)
      : acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
        response_(std::move(response)),
        split_at_(split_at) {
    asio::co_spawn(context, Serve(), asio::detached);
  }

  [[nodiscard]] auto port() const -> std::uint16_t {
    return acceptor_.local_endpoint().port();
  }

 private:
  auto Serve() -> asio::awaitable<void> {
    constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
    while (true) {
      auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
      auto request = std::string{};
      co_await asio::async_read_until(socket, asio::dynamic_buffer(request),
                                      "\r\n\r\n", kAsTuple);
      if (split_at_ > 0) {
        socket.set_option(tcp::no_delay(true));
        co_await asio::async_write(
            socket, asio::buffer(response_.data(), split_at_), kAsTuple);
        auto timer = asio::steady_timer(socket.get_executor(),
                                        std::chrono::milliseconds(1));
        co_await timer.async_wait(kAsTuple);
      }
      co_await asio::async_write(socket, asio::buffer(response_) + split_at_,
                                 kAsTuple);
    }
  }

  tcp::acceptor acceptor_;
  std::string response_;
  std::size_t split_at_;
};

// Returns the outcome of a request to a server that sends these bytes and
// closes the connection.
auto OutcomeOfClosedResponse(const std::string& response,
                             const http_options& options = {},
                             std::size_t split_at = 0) -> http_outcome {
  auto context = asio::io_context{};
  const auto server = closing_server(context, response, split_at);
  auto client = http_client(context);
  auto result = http_result{};
  RunUntilDone(context, [&]() -> asio::awaitable<void> {
    result = co_await client.Send({"127.0.0.1", server.port()},
                                  {"GET", "/", {}, ""}, options);
  }());
  return result.outcome;
}

// Larger than what the endpoint's system takes, and than what both systems
// take.
constexpr auto kLongUploads =
    std::array{std::size_t{1} << 20U, std::size_t{16} << 20U};

// Sends a request with a body to an early endpoint.
auto Upload(testing::early_response response, std::size_t upload_bytes)
    -> http_result {
  auto context = asio::io_context{};
  const auto port = testing::StartEarlyEndpoint(context, std::move(response));
  const auto address = socket_address{"127.0.0.1", port};
  const auto request =
      http_request{"POST", "/", {}, std::string(upload_bytes, 'x')};
  const auto options = http_options{};
  auto client = http_client(context);
  auto result = http_result{};
  RunUntilDone(context, [&]() -> asio::awaitable<void> {
    result = co_await client.Send(address, request, options);
  }());
  return result;
}

// Renders a response head and a body under one framing.
auto Framed(body_framing framing, std::string head, const std::string& body)
    -> std::string {
  auto size = std::ostringstream{};
  size << std::hex << body.size();
  switch (framing) {
    case body_framing::kLength:
      head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
      return head + body;
    case body_framing::kChunks:
      head += "Transfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n";
      return head + body + "\r\n0\r\n\r\n";
    case body_framing::kConnection:
      break;
  }
  return head + "\r\n" + body;
}

// Responses with a line, which has no end, as a part of their heads or of a
// trailer.
auto ResponsesWithLine(const std::string& line) -> std::vector<std::string> {
  auto responses = std::vector<std::string>{};
  for (const auto framing : {body_framing::kLength, body_framing::kChunks,
                             body_framing::kConnection}) {
    const auto whole =
        Framed(framing, "HTTP/1.1 200 OK\r\nA: a\r\n" + line + "\r\n", "bytes");
    responses.push_back(whole);
    if (framing == body_framing::kChunks) {
      const auto head = Framed(framing, "HTTP/1.1 200 OK\r\n", "bytes");
      responses.push_back(head.substr(0, head.size() - 2) + "A: a\r\n" + line +
                          "\r\n\r\n");
    }
  }
  return responses;
}

}  // namespace

TEST_CASE("a stream that ends inside an event is incomplete") {
  const auto head =
      std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
  for (const auto framing : {body_framing::kLength, body_framing::kChunks,
                             body_framing::kConnection}) {
    CAPTURE(FramingName(framing));
    for (const auto* body :
         {"data: one\n\n", "data: one\r\n\r\n: a comment\r\n"}) {
      CHECK(OutcomeOfClosedResponse(Framed(framing, head, body)) ==
            http_outcome::kAnswered);
    }
    for (const auto* body :
         {"data: one\n\ndata: tw", "data: one\n\ndata: two\n", "id: 1\n"}) {
      CHECK(OutcomeOfClosedResponse(Framed(framing, head, body)) ==
            http_outcome::kNoAnswer);
    }
  }
}

TEST_CASE("a stream with an event beyond the maximum size is incomplete") {
  const auto head =
      std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
  const auto big = std::string(2 * sse_parser::kMaxEventBytes, 'x');
  CHECK(OutcomeOfClosedResponse(
            Framed(body_framing::kLength, head, "data: " + big + "\n\n")) ==
        http_outcome::kNoAnswer);
}

TEST_CASE("a body that is shorter than its framing says is incomplete") {
  const auto head = std::string("HTTP/1.1 200 OK\r\n");
  for (const auto framing : {body_framing::kLength, body_framing::kChunks}) {
    const auto whole = Framed(framing, head, "data: one\n\n");
    CHECK(OutcomeOfClosedResponse(whole) == http_outcome::kAnswered);
    for (auto size = whole.find("\r\n\r\n"); size < whole.size(); ++size) {
      CHECK(OutcomeOfClosedResponse(whole.substr(0, size)) ==
            http_outcome::kNoAnswer);
    }
  }
}

// Guards against passing a status on that is none: an endpoint in trouble sends
// 000.
TEST_CASE("a status outside 100 to 599 is no answer") {
  for (const auto* status : {"000", "001", "099", "600", "999", "0", "20",
                             "2000", "+20", "2 0", ""}) {
    CAPTURE(status);
    const auto head = std::string("HTTP/1.1 ") + status + " X\r\n";
    for (const auto framing : {body_framing::kLength, body_framing::kChunks,
                               body_framing::kConnection}) {
      CHECK(OutcomeOfClosedResponse(Framed(framing, head, "bytes")) ==
            http_outcome::kNoAnswer);
    }
  }
  for (const auto* status : {"200", "404", "599"}) {
    CAPTURE(status);
    const auto head = std::string("HTTP/1.1 ") + status + " X\r\n";
    CHECK(OutcomeOfClosedResponse(Framed(body_framing::kLength, head,
                                         "bytes")) == http_outcome::kAnswered);
  }
}

TEST_CASE("a successful response is an event stream if its client expects it") {
  auto options = http_options{};
  options.expects_events = true;
  const auto body = std::string("\r\n\r\ndata: on");
  CHECK(OutcomeOfClosedResponse("HTTP/1.1 200 OK" + body, options) ==
        http_outcome::kNoAnswer);
  CHECK(OutcomeOfClosedResponse("HTTP/1.1 500 Error" + body, options) ==
        http_outcome::kAnswered);
}

TEST_CASE("a body that is no event stream may end anywhere") {
  const auto head =
      std::string("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n");
  for (const auto framing : {body_framing::kLength, body_framing::kChunks,
                             body_framing::kConnection}) {
    CHECK(OutcomeOfClosedResponse(Framed(framing, head, "data: one")) ==
          http_outcome::kAnswered);
  }
}

TEST_CASE(
    "a stream that ends with its connection before any event is incomplete") {
  const auto head =
      std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
  for (const auto* body : {"", ": a comment\n"}) {
    CHECK(OutcomeOfClosedResponse(Framed(body_framing::kConnection, head,
                                         body)) == http_outcome::kNoAnswer);
    CHECK(OutcomeOfClosedResponse(Framed(body_framing::kLength, head, body)) ==
          http_outcome::kAnswered);
  }
}

TEST_CASE("a response with a field in its head and trailer is complete") {
  for (const auto& response : ResponsesWithLine("B: b")) {
    CAPTURE(response);
    CHECK(OutcomeOfClosedResponse(response) == http_outcome::kAnswered);
  }
}

// Guards against passing such a line on.
TEST_CASE("whitespace or a control byte in a field name is an error") {
  for (const auto byte : {' ', '\t', '\0', '\x01', '\v', '\r', '\n', '\x7f'}) {
    CAPTURE(static_cast<int>(byte));
    const auto bad = std::string(1, byte);
    for (const auto& name : {bad + "Bb", "B" + bad + "b", "Bb" + bad}) {
      CAPTURE(name);
      for (const auto& response : ResponsesWithLine(name + ": b")) {
        CHECK(OutcomeOfClosedResponse(response) == http_outcome::kNoAnswer);
      }
    }
  }
}

// Regression: such a line was joined to the field before it, which changed the
// value of that field, and a length in it was lost.
TEST_CASE("a line that begins with whitespace is an error") {
  for (const auto* line :
       {" Content-Length: 2", "\tContent-Length: 2", " B: b", " b", " ",
        "B:\r\n b", "B: b\r\n\t", "B: b\r\n  c\r\nC: c"}) {
    CAPTURE(line);
    for (const auto& response : ResponsesWithLine(line)) {
      CAPTURE(response);
      CHECK(OutcomeOfClosedResponse(response) == http_outcome::kNoAnswer);
    }
  }
  CHECK(OutcomeOfClosedResponse("HTTP/1.1 200 OK\r\n A: a\r\n\r\nbytes") ==
        http_outcome::kNoAnswer);
}

TEST_CASE("a line that begins with whitespace is found wherever a read ends") {
  for (const auto& response : ResponsesWithLine(" b")) {
    for (auto size = std::size_t{1}; size < response.size(); ++size) {
      CAPTURE(response);
      CAPTURE(size);
      CHECK(OutcomeOfClosedResponse(response, {}, size) ==
            http_outcome::kNoAnswer);
    }
  }
}

// A body may hold what is malformed in a head.
TEST_CASE("lines of a body may begin with whitespace") {
  for (const auto framing : {body_framing::kLength, body_framing::kChunks,
                             body_framing::kConnection}) {
    CAPTURE(FramingName(framing));
    CHECK(OutcomeOfClosedResponse(Framed(framing, "HTTP/1.1 200 OK\r\n",
                                         "one\r\n two\r\n\tthree\r\n ")) ==
          http_outcome::kAnswered);
  }
}

// Regression: the write of the request took the error of the reset, and the
// response seemed to end with a close of the connection.
TEST_CASE("a response that ends in the middle of its request is incomplete") {
  const auto events =
      std::string("Content-Type: text/event-stream\r\n\r\ndata: one\n\n");
  const auto body = std::string(1'200, 'y');
  const auto responses = std::vector<std::string>{
      "HTTP/1.1 200 OK\r\n\r\n" + body,
      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
      "HTTP/1.0 200 OK\r\n\r\n" + body,
      "HTTP/1.1 500 Error\r\n\r\n" + body,
      "HTTP/1.1 200 OK\r\n" + events,
  };
  for (const auto& response : responses) {
    for (const auto end : testing::kEarlyEnds) {
      for (const auto pause : {0, 30}) {
        for (const auto size : kLongUploads) {
          CAPTURE(response.substr(0, response.find("\r\n\r\n")));
          CAPTURE(testing::EndName(end));
          CAPTURE(pause);
          CAPTURE(size);
          CHECK(Upload({response, end, std::chrono::milliseconds(pause)}, size)
                    .outcome == http_outcome::kNoAnswer);
        }
      }
    }
  }
}

TEST_CASE("a response may end before its request has arrived") {
  const auto body = std::string(1'200, 'y');
  for (const auto pause : {0, 30}) {
    for (const auto size : kLongUploads) {
      CAPTURE(pause);
      CAPTURE(size);
      const auto result = Upload({"HTTP/1.1 200 OK\r\n\r\n" + body,
                                  testing::connection_end::kCloseOwnDirection,
                                  std::chrono::milliseconds(pause)},
                                 size);
      CHECK(result.outcome == http_outcome::kAnswered);
      CHECK(result.response.body == body);
    }
  }
}

// Its framing shows that a response with a length or chunks is whole.
TEST_CASE("a framed response is complete although its request is not sent") {
  for (const auto framing : {body_framing::kLength, body_framing::kChunks}) {
    for (const auto size : kLongUploads) {
      CAPTURE(FramingName(framing));
      CAPTURE(size);
      const auto end = testing::connection_end::kCloseUnread;
      const auto whole = Framed(framing, "HTTP/1.1 200 OK\r\n", "bytes");
      const auto result = Upload({whole, end, 30ms}, size);
      CHECK(result.outcome == http_outcome::kAnswered);
      CHECK(result.response.body == "bytes");
      CHECK(Upload({whole.substr(0, whole.size() - 1), end, 30ms}, size)
                .outcome == http_outcome::kNoAnswer);
    }
  }
}

}  // namespace daisywind::net
