// Fetches copies of the platform's store from journals while the store is
// unreachable.
#ifndef DAISYWIND_FRONT_STORE_FALLBACK_H_
#define DAISYWIND_FRONT_STORE_FALLBACK_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "front/directory.h"
#include "history_client/member_client.h"
#include "history_client/turn_client.h"

namespace daisywind::front {

// Timing of the requests to journals.
struct store_fallback_options {
  // Time between requests while no configuration is in force.
  duration urgent_interval = 150ms;
  // Time between requests while the store is unreachable and a configuration is
  // in force.
  duration interval = 1s;
  duration request_timeout = 400ms;
  // Whether journals are asked although a configuration is in force.
  bool asks_while_configured = true;
  // How long the replies of other journals are waited for after the first one.
  duration settle_time = 60ms;
};

// Asks the journals of the settings and those of the current view how new their
// copies are, and fetches the newest: a journal that has just restarted may
// have one with endpoints and routes that are gone. Only one copy is fetched,
// as all of them together may be more than a link carries in time. The
// directory and the turn client must outlive it.
class store_fallback {
 public:
  store_fallback(boost::asio::io_context& context,
                 directory& service_directory,
                 history::turn_client& turns,
                 std::vector<std::string> seeds,
                 store_fallback_options options);

  auto Start() -> void;
  auto Stop() -> void;

 private:
  // The replies to one round of requests.
  struct copy_round;
  struct copy_offer;

  auto Run() -> boost::asio::awaitable<void>;
  auto RequestCopies() -> boost::asio::awaitable<void>;
  // Fetches a copy that is newer than the known revision, unless it has been
  // sent already, and uses it. Returns false if the journal did not send it.
  auto Take(copy_offer from, kv::revision known)
      -> boost::asio::awaitable<bool>;
  [[nodiscard]] auto JournalAddresses() const -> std::vector<std::string>;

  boost::asio::io_context& context_;
  directory& service_directory_;
  history::turn_client& turns_;
  std::vector<std::string> seeds_;
  store_fallback_options options_;
  boost::asio::steady_timer timer_;
  history::member_clients clients_;
  bool is_stopped_ = false;
};

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_STORE_FALLBACK_H_
