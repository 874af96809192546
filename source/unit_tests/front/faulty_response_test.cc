// Responses of endpoints that are not what they seem.
#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "front_harness.h"
#include "memory_journals.h"

namespace daisywind::front {
namespace {

// A response with a length, and with the id of its request unless that is
// empty.
auto Message(const std::string& status,
             const std::string& id,
             const std::string& body) -> std::string {
  return "HTTP/1.1 " + status + "\r\n" +
         (id.empty() ? "" : "Id: " + id + "\r\n") +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto Refusal(const std::string& id) -> std::string {
  return "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n" +
         (id.empty() ? "" : "Id: " + id + "\r\n") + "Content-Length: 0\r\n\r\n";
}

// As large as a request may be, and larger than what the buffers of a
// connection take.
auto LongUpload() -> std::string {
  return std::string(std::size_t{4} << 20U, 'x');
}

// Responses of an endpoint that ends the connection while it is sent a long
// request. Whether a stream broke off shows in its framing alone.
auto BrokenOffResponses() -> std::vector<testing::early_response> {
  auto responses = std::vector<testing::early_response>{};
  for (const auto* head : {"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n"}) {
    for (const auto end : testing::kEarlyEnds) {
      for (const auto pause : {0, 30}) {
        responses.push_back({std::string(head) + "\r\nid: 1\ndata: " +
                                 std::string(1'200, 'y') + "\n\n",
                             end, std::chrono::milliseconds(pause)});
      }
    }
  }
  return responses;
}

// Heads with a line that no field has, up to their empty line.
auto MalformedHeads() -> std::vector<std::string> {
  const auto head = std::string("HTTP/1.1 200 OK\r\nId: r\r\nA: a\r\n");
  auto heads = std::vector<std::string>{};
  for (const auto* line : {"B b: c", "Bb : c", "B\x01: c", "B\x7f: c", "\tB: c",
                           " B: c", " s", " Content-Length: 5"}) {
    heads.push_back(head + line + "\r\n");
  }
  return heads;
}

// A front that reaches the endpoint "a" only through another one.
class relayed_front {
 public:
  relayed_front() { cut_off.AddUnreachableEndpoint("a"); }

  // `sound` has its endpoint by now.
  auto Configure() -> void {
    cut_off.Configure();
    sound.Configure();
    cut_off.SetFronts({sound.relay_address()});
  }

 private:
  std::shared_ptr<boost::asio::io_context> context_ =
      std::make_shared<boost::asio::io_context>(1);

 public:
  front_harness cut_off{32, context_};
  front_harness sound{32, context_};
};

}  // namespace

// Regression: an endpoint refuses a request, is sent it again on the same
// connection, writes the refusal once more and runs the request.
TEST_CASE("a refusal written again is not taken for that of the next attempt") {
  for (const auto* kind : {"once", "again"}) {
    auto harness = front_harness();
    auto requests = 0;
    auto runs = 0;
    harness.AddRawEndpoint("a", [&](int /*connection*/, int request,
                                    const std::string& id) {
      if (++requests == 1) {
        return Refusal(id);
      }
      ++runs;
      return (request > 0 ? Refusal(id) : "") + Message("200 OK", id, "answer");
    });
    harness.Configure();
    const auto result = harness.Send(kind, "r");
    CHECK(result.response.status == 200);
    CHECK(result.response.body == "answer");
    CHECK(runs == 1);
  }
}

// Regression: an endpoint writes its last refusal, which names no request, once
// more before the response to the next request.
TEST_CASE("a response without an id is not that of a later request") {
  auto harness = front_harness();
  auto runs = 0;
  harness.AddRawEndpoint(
      "a", [&](int /*connection*/, int request, const std::string& id) {
        ++runs;
        return (request > 0 ? Refusal("") : "") + Message("200 OK", id, id);
      });
  harness.Configure();
  for (const auto* id : {"p", "q", "r"}) {
    const auto result = harness.Send("once", id);
    CHECK(result.response.status == 200);
    CHECK(result.response.body == id);
  }
  CHECK(runs == 3);
}

TEST_CASE("the first response on a connection may lack an id") {
  auto harness = front_harness();
  harness.AddRawEndpoint(
      "a", [](int /*connection*/, int /*request*/, const std::string& /*id*/) {
        return Message("200 OK", "", "answer");
      });
  harness.Configure();
  CHECK(harness.Send("once", "r").response.body == "answer");
}

TEST_CASE("a response that ends inside its head is no answer") {
  const auto whole = Message("200 OK", "r", "answer");
  const auto head = whole.find("\r\n\r\n") + 4;
  for (auto size = std::size_t{0}; size < head; ++size) {
    auto harness = front_harness();
    harness.AddClosingEndpoint("a", whole.substr(0, size));
    harness.Configure();
    const auto result = harness.Send("once", "r");
    CHECK_MESSAGE(result.response.status == 502, size);
    CHECK_MESSAGE(result.response.body == "no_answer", size);
  }
}

// Guards against passing such a status on, and against running a request again
// that may have run.
TEST_CASE("a response with the status 000 is no answer") {
  for (const auto* status : {"000 X", "099 X", "600 X"}) {
    CAPTURE(status);
    auto harness = front_harness();
    auto runs = 0;
    harness.AddRawEndpoint(
        "a", [&](int /*connection*/, int /*request*/, const std::string& id) {
          ++runs;
          return Message(status, id, "answer");
        });
    harness.Configure();
    const auto result = harness.Send("once", "r");
    CHECK(result.response.status == 502);
    CHECK(result.response.body == "no_answer");
    CHECK(runs == 1);
  }
}

TEST_CASE("a response with the status 000 through another front is no answer") {
  auto fronts = relayed_front();
  auto runs = 0;
  fronts.sound.AddRawEndpoint(
      "a", [&](int /*connection*/, int /*request*/, const std::string& id) {
        ++runs;
        return Message("000 X", id, "answer");
      });
  fronts.Configure();
  const auto result = fronts.cut_off.Send("once", "r");
  CHECK(result.response.status == 502);
  CHECK(result.response.body == "no_answer");
  CHECK(runs == 1);
}

TEST_CASE("a stream that ends inside its head is no answer") {
  const auto head = std::string(
      "HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: text/event-stream\r\n\r\n");
  for (auto size = std::size_t{0}; size < head.size(); ++size) {
    auto harness = front_harness();
    harness.AddClosingEndpoint("a", head.substr(0, size));
    harness.Configure();
    const auto result = harness.Send("stream", "r");
    CHECK_MESSAGE(result.response.status == 502, size);
  }
}

// Regression: a line that begins with whitespace was joined to the field before
// it.
TEST_CASE("a response with a malformed line in its head is no answer") {
  for (const auto& head : MalformedHeads()) {
    CAPTURE(head);
    for (const auto* kind : {"once", "again", "stream", "kept"}) {
      CAPTURE(kind);
      for (const auto* rest :
           {"Content-Length: 11\r\n\r\ndata: one\n\n",
            "Transfer-Encoding: chunked\r\n\r\nb\r\ndata: one\n\n\r\n0\r\n\r\n",
            "\r\ndata: one\n\n"}) {
        CAPTURE(rest);
        auto harness = front_harness();
        harness.AddClosingEndpoint("a", head + rest);
        harness.Configure();
        auto journals = memory_journals(harness);
        const auto result = harness.Send(kind, "r", {{"Program", "p"}});
        CHECK(result.response.status == 502);
        CHECK(result.response.body == "no_answer");
      }
    }
  }
}

TEST_CASE("a malformed head through another front is no answer") {
  for (const auto& head : MalformedHeads()) {
    CAPTURE(head);
    auto fronts = relayed_front();
    fronts.sound.AddClosingEndpoint("a", head + "\r\nanswer");
    fronts.Configure();
    const auto result = fronts.cut_off.Send("once", "r");
    CHECK(result.response.status == 502);
    CHECK(result.response.body == "no_answer");
  }
}

// The head is sound, and a stream's caller has it before the trailer arrives.
TEST_CASE("a malformed line in a trailer breaks the response off") {
  for (const auto* line : {"B b: c", "B\x01: c", "B: b\r\n c", " c"}) {
    CAPTURE(line);
    auto harness = front_harness();
    harness.AddClosingEndpoint(
        "a",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "b\r\ndata: one\n\n\r\n0\r\n" +
            std::string(line) + "\r\n\r\n");
    harness.Configure();
    CHECK(harness.Send("once", "r").response.status == 502);
    CHECK(harness.Send("stream", "s").outcome == net::http_outcome::kNoAnswer);
  }
}

// Regression: callers got the part of a response that had arrived when its
// endpoint reset the connection as the whole of it.
TEST_CASE("a response that ends in the middle of its request is no answer") {
  for (const auto& response : BrokenOffResponses()) {
    CAPTURE(response.bytes.substr(0, 8));
    CAPTURE(testing::EndName(response.end));
    CAPTURE(response.pause.count());
    for (const auto* kind : {"once", "again"}) {
      CAPTURE(kind);
      auto harness = front_harness();
      harness.AddEarlyEndpoint("a", response);
      harness.Configure();
      const auto result = harness.Send(kind, "r", {}, LongUpload());
      CHECK(result.outcome == net::http_outcome::kAnswered);
      CHECK(result.response.status == 502);
      CHECK(result.response.body == "no_answer");
    }
  }
}

TEST_CASE("a stream that ends in the middle of its request is broken off") {
  for (const auto& response : BrokenOffResponses()) {
    CAPTURE(response.bytes.substr(0, 8));
    CAPTURE(testing::EndName(response.end));
    CAPTURE(response.pause.count());
    for (const auto* kind : {"stream", "resume", "kept"}) {
      CAPTURE(kind);
      auto harness = front_harness();
      harness.AddEarlyEndpoint("a", response);
      harness.Configure();
      auto journals = memory_journals(harness);
      const auto result = harness.Send(
          kind, "r", {{"Program", "p"}, {"Budget", "9"}, {"Max-Tokens", "8"}},
          LongUpload());
      CHECK(result.outcome == net::http_outcome::kNoAnswer);
      journals.WaitUntilSettled("r");
      CHECK_FALSE(journals.FindFact("r")->content.has_value());
    }
  }
}

TEST_CASE("a response that ends early behind another front is no answer") {
  for (const auto& response : BrokenOffResponses()) {
    CAPTURE(testing::EndName(response.end));
    CAPTURE(response.pause.count());
    auto fronts = relayed_front();
    fronts.sound.AddEarlyEndpoint("a", response);
    fronts.Configure();
    const auto result = fronts.cut_off.Send("once", "r", {}, LongUpload());
    CHECK(result.response.status == 502);
    CHECK(result.response.body == "no_answer");
    CHECK(fronts.cut_off.Send("stream", "s", {}, LongUpload()).outcome ==
          net::http_outcome::kNoAnswer);
  }
}

TEST_CASE("a response may end before its request has arrived") {
  auto harness = front_harness();
  harness.AddEarlyEndpoint("a", {"HTTP/1.1 200 OK\r\n\r\nanswer",
                                 testing::connection_end::kCloseOwnDirection});
  harness.Configure();
  const auto result = harness.Send("once", "r", {}, LongUpload());
  CHECK(result.response.status == 200);
  CHECK(result.response.body == "answer");
}

}  // namespace daisywind::front
