#include "common/logging.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/asio.hpp>
#include <string>

#include "common/bounded_log.h"

namespace daisywind {
namespace {

namespace asio = boost::asio;

// Redirects standard output to a pipe during its lifetime.
class captured_output {
 public:
  captured_output() : output_(::dup(STDOUT_FILENO)) {
    REQUIRE(::pipe2(pipe_.data(), O_CLOEXEC) == 0);
    ::dup2(pipe_[1], STDOUT_FILENO);
  }
  captured_output(const captured_output&) = delete;
  auto operator=(const captured_output&) -> captured_output& = delete;
  ~captured_output() {
    ::dup2(output_, STDOUT_FILENO);
    for (const auto descriptor : {output_, pipe_[0], pipe_[1]}) {
      ::close(descriptor);
    }
  }

  // What was written so far, which must fit into the pipe.
  [[nodiscard]] auto Read() const -> std::string {
    auto text = std::string(std::size_t{4096}, '\0');
    const auto size = ::read(pipe_[0], text.data(), text.size());
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }

 private:
  int output_;
  std::array<int, 2> pipe_{};
};

auto LogAfterWait(asio::steady_timer& timer, bool is_ready)
    -> asio::awaitable<void> {
  for (auto round = 0; round < 2; ++round) {
    timer.expires_after(std::chrono::milliseconds(0));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (is_ready) {
      Log(log_events::kReadinessChanged,
          {{"ready", is_ready},
           {"version", static_cast<std::int64_t>(round)},
           {"source", "listing"}});
    }
  }
}

}  // namespace

// Regression: clang 14 on arm64 passed garbage as the fields of an event that a
// coroutine logged after a wait, and processes crashed.
TEST_CASE("a coroutine logs its fields after a wait") {
  StartBoundedLogging(log_level::kDebug);
  auto context = asio::io_context();
  auto timer = asio::steady_timer(context);
  asio::co_spawn(context, LogAfterWait(timer, true), asio::detached);
  context.run();

  auto text = std::string();
  {
    const auto output = captured_output();
    FlushLogs();
    text = output.Read();
  }

  for (const auto* const fields :
       {R"("ready":true,"version":0,"source":"listing"})",
        R"("ready":true,"version":1,"source":"listing"})"}) {
    CHECK_MESSAGE(text.find(fields) != std::string::npos, text);
  }
}

}  // namespace daisywind
