// The platform's store as a table in memory, with the troubles it can have.
#ifndef DAISYWIND_TESTING_FAKE_STORE_H_
#define DAISYWIND_TESTING_FAKE_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>
#include <vector>

#include "kv/store.h"

namespace daisywind::testing {

// Serves all clients of one context.
class fake_store : public kv::store {
 public:
  explicit fake_store(boost::asio::io_context& context);

  auto Read(std::string key) -> boost::asio::awaitable<
      kv::store_result<std::optional<kv::key_value>>> override;
  auto List(std::string prefix)
      -> boost::asio::awaitable<kv::store_result<kv::listing>> override;
  auto Write(kv::txn_request request)
      -> boost::asio::awaitable<kv::store_result<bool>> override;
  auto WaitForChanges(std::string prefix, kv::revision after, duration wait)
      -> boost::asio::awaitable<kv::store_result<kv::change_list>> override;

  // Writes or removes a key as an outsider.
  auto Put(const std::string& key, const std::string& value) -> void;
  auto Remove(const std::string& key) -> void;

  // The value of a key; empty when there is none.
  [[nodiscard]] auto Value(const std::string& key) const -> std::string;

  // Refuses every call while set.
  auto SetDown(bool is_down) -> void;

  // Forgets which changes were made before now.
  auto DropHistory() -> void;

  // Carries out the next write without an answer.
  auto LoseNextAnswer() -> void { loses_next_answer_ = true; }

  [[nodiscard]] auto lists() const -> int { return lists_; }

 private:
  struct change {
    kv::key_change what;
    kv::revision at = 0;
  };

  auto Apply(const kv::txn_request& request) -> bool;
  auto Changed() -> void;

  std::map<std::string, kv::key_value> items_;
  std::vector<change> history_;
  kv::revision revision_ = 1;
  kv::revision oldest_ = 1;
  boost::asio::steady_timer changed_;
  bool is_down_ = false;
  bool loses_next_answer_ = false;
  int lists_ = 0;
};

}  // namespace daisywind::testing

#endif  // DAISYWIND_TESTING_FAKE_STORE_H_
