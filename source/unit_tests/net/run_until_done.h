// Runs coroutines in tests.
#ifndef DAISYWIND_UNIT_TESTS_NET_RUN_UNTIL_DONE_H_
#define DAISYWIND_UNIT_TESTS_NET_RUN_UNTIL_DONE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <utility>

namespace daisywind::net {

// Runs the context until the given coroutine has finished.
inline auto RunUntilDone(boost::asio::io_context& context,
                         boost::asio::awaitable<void> work) -> void {
  boost::asio::co_spawn(context, std::move(work),
                        [&](const std::exception_ptr& error) {
                          context.stop();
                          if (error) {
                            std::rethrow_exception(error);
                          }
                        });
  context.run();
}

}  // namespace daisywind::net

#endif  // DAISYWIND_UNIT_TESTS_NET_RUN_UNTIL_DONE_H_
