#include "net/frame_link.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <string>
#include <vector>

namespace daisywind::net {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr auto kQueueBytes = std::size_t{1} << 20U;

struct receiver {
  explicit receiver(std::size_t expected_frames)
      : server(context,
               8,
               [this, expected_frames](std::string_view frame) {
                 frames.emplace_back(frame);
                 if (frames.size() == expected_frames) {
                   context.stop();
                 }
                 return frame != "bad";
               }),
        port(server.Listen({"127.0.0.1", 0})) {}

  asio::io_context context;
  std::vector<std::string> frames;
  frame_server server;
  std::uint16_t port;
};

}  // namespace

TEST_CASE("frames arrive complete and in order") {
  auto peer = receiver(3);
  auto link =
      frame_link(peer.context, {"127.0.0.1", peer.port}, kQueueBytes, {});
  const auto large = std::string(100'000, 'x');
  CHECK(link.Send("a"));
  CHECK(link.Send(large));
  CHECK(link.Send("b"));
  peer.context.run();
  CHECK(peer.frames == std::vector<std::string>{"a", large, "b"});
}

TEST_CASE("a full queue drops the frame and Send returns false") {
  auto peer = receiver(1);
  auto link = frame_link(peer.context, {"127.0.0.1", peer.port}, 10, {});
  CHECK(link.Send("0123456789"));
  CHECK_FALSE(link.Send("x"));
}

TEST_CASE("a peer that refuses the connection is reported") {
  auto context = asio::io_context();
  auto is_connected = true;
  auto link = frame_link(context, {"127.0.0.1", 1}, kQueueBytes,
                         [&](bool value) { is_connected = value; });
  link.Send("a");
  context.run();
  CHECK_FALSE(is_connected);
}

TEST_CASE("an oversized or truncated frame closes only its own connection") {
  auto peer = receiver(1);
  auto socket = tcp::socket(peer.context);
  socket.connect({asio::ip::make_address("127.0.0.1"), peer.port});
  const auto length = std::string("\xff\xff\xff\xff", 4);
  asio::write(socket, asio::buffer(length));
  auto truncated = tcp::socket(peer.context);
  truncated.connect({asio::ip::make_address("127.0.0.1"), peer.port});
  asio::write(truncated, asio::buffer(std::string("\x09\x00\x00\x00"
                                                  "ab",
                                                  6)));
  truncated.close();
  auto link =
      frame_link(peer.context, {"127.0.0.1", peer.port}, kQueueBytes, {});
  link.Send("good");
  peer.context.run();
  CHECK(peer.frames == std::vector<std::string>{"good"});
}

}  // namespace daisywind::net
