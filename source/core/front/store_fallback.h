// Learns what the platform's store holds from journals while it is away.
#ifndef DAISYWIND_FRONT_STORE_FALLBACK_H_
#define DAISYWIND_FRONT_STORE_FALLBACK_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <vector>

#include "common/time.h"
#include "front/directory.h"
#include "history_client/member_client.h"
#include "history_client/turn_client.h"

namespace daisywind::front {

// Timing of the questions to journals.
struct store_fallback_options {
  // While nothing is known, journals are asked so often.
  duration urgent_interval = 150ms;
  // While the store is away but a configuration is in force.
  duration interval = 1s;
  duration ask_timeout = 400ms;
};

// Asks the journals of the settings, and those of the view, in turn.
class store_fallback {
 public:
  store_fallback(boost::asio::io_context& context,
                 directory& known,
                 history::turn_client& turns,
                 std::vector<std::string> seeds,
                 store_fallback_options options);

  auto Start() -> void;
  auto Stop() -> void;

 private:
  auto Run() -> boost::asio::awaitable<void>;
  auto AskAll() -> boost::asio::awaitable<void>;
  [[nodiscard]] auto Addresses() const -> std::vector<std::string>;

  boost::asio::io_context& context_;
  directory& known_;
  history::turn_client& turns_;
  std::vector<std::string> seeds_;
  store_fallback_options options_;
  boost::asio::steady_timer timer_;
  history::member_clients clients_;
  bool is_stopped_ = false;
};

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_STORE_FALLBACK_H_
