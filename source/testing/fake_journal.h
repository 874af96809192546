// A journal that replies to requests for its copy of the platform's store.
#ifndef DAISYWIND_TESTING_FAKE_JOURNAL_H_
#define DAISYWIND_TESTING_FAKE_JOURNAL_H_

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "history_wire/codec.h"
#include "net/frame_channel.h"

namespace daisywind::testing {

class fake_journal {
 public:
  explicit fake_journal(boost::asio::io_context& context)
      : server_(context,
                /*max_channels=*/16,
                {},
                [this](const std::shared_ptr<net::frame_channel>& channel) {
                  auto handlers = net::channel_handlers{};
                  handlers.on_frame = [this, weak = std::weak_ptr(channel)](
                                          std::string_view frame) {
                    Reply(weak, frame);
                  };
                  return handlers;
                }),
        port_(server_.Listen({"127.0.0.1", 0})) {}

  [[nodiscard]] auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(port_);
  }

  std::function<history::copy_reply(const history::copy_request&)> on_request;
  int requests = 0;

 private:
  auto Reply(const std::weak_ptr<net::frame_channel>& channel,
             std::string_view frame) -> void {
    const auto request = history::DecodeMessage(frame);
    REQUIRE(request);
    const auto* wanted = std::get_if<history::copy_request>(&request->body);
    const auto open = channel.lock();
    if (wanted == nullptr || open == nullptr) {
      return;
    }
    ++requests;
    open->Send(history::EncodeMessage({request->id, 1, on_request(*wanted)}));
  }

  net::channel_server server_;
  std::uint16_t port_;
};

}  // namespace daisywind::testing

#endif  // DAISYWIND_TESTING_FAKE_JOURNAL_H_
