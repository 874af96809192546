// An in-memory fake of the platform's key-value store with fault injection.
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

// Can be shared by all clients that run on the same I/O context.
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

  // Writes or removes a key as another client would.
  auto Put(const std::string& key, const std::string& value) -> void;
  auto Remove(const std::string& key) -> void;

  // Returns the value of a key, or an empty string when the key does not exist.
  [[nodiscard]] auto Value(const std::string& key) const -> std::string;

  // While set, refuses every call.
  auto SetDown(bool is_down) -> void;

  // Discards the change history, so that a client that waits for changes since
  // an earlier revision is told that history was lost.
  auto DropHistory() -> void;

  // Applies the next write but reports its outcome as unknown.
  auto LoseNextAnswer() -> void { loses_next_answer_ = true; }

  // Loses the response to the next call for changes.
  auto LoseNextChanges() -> void { loses_next_changes_ = true; }

  [[nodiscard]] auto lists() const -> int { return lists_; }
  // Number of calls for changes.
  [[nodiscard]] auto waits() const -> int { return waits_; }

  // The longest wait that a client has requested in a call for changes.
  [[nodiscard]] auto longest_wait() const -> duration { return longest_wait_; }

 private:
  struct change {
    kv::key_change what;
    kv::revision at = 0;
  };

  auto Apply(const kv::txn_request& request) -> bool;
  auto NotifyWaiters() -> void;

  std::map<std::string, kv::key_value> items_;
  std::vector<change> history_;
  kv::revision revision_ = 1;
  kv::revision oldest_revision_ = 1;
  boost::asio::steady_timer change_signal_;
  bool is_down_ = false;
  bool loses_next_answer_ = false;
  bool loses_next_changes_ = false;
  int lists_ = 0;
  int waits_ = 0;
  duration longest_wait_{};
};

}  // namespace daisywind::testing

#endif  // DAISYWIND_TESTING_FAKE_STORE_H_
