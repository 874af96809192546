// What the system asks of the platform's store, whatever protocol that speaks.
#ifndef DAISYWIND_KV_STORE_H_
#define DAISYWIND_KV_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

#include "common/kv_types.h"
#include "common/time.h"

namespace daisywind::kv {

// All keys under a prefix, and the store's revision before the first was read.
struct listing {
  std::vector<key_value> items;
  revision revision_at = 0;

  auto operator<=>(const listing&) const = default;
};

// One change of a key. A removed key has no value.
struct key_change {
  key_value item;
  bool is_removed = false;

  auto operator<=>(const key_change&) const = default;
};

// Changes in the order in which they were made, and the revision to go on from.
struct change_list {
  std::vector<key_change> changes;
  revision next = 0;
  // The store no longer knows what has changed since the revision asked for.
  bool is_history_lost = false;

  auto operator<=>(const change_list&) const = default;
};

// The end of a call. The value is present when the call was answered.
template <class Value>
struct store_result {
  kv::outcome outcome = kv::outcome::kNotSent;
  std::optional<Value> value;
  std::string error;
};

// One client of the platform's store.
class store {
 public:
  store() = default;
  store(const store&) = delete;
  auto operator=(const store&) -> store& = delete;
  virtual ~store() = default;

  // Reads one key in its newest state. No item means that it does not exist.
  virtual auto Read(std::string key)
      -> boost::asio::awaitable<store_result<std::optional<key_value>>> = 0;

  // Reads all keys under a prefix in their newest state.
  virtual auto List(std::string prefix)
      -> boost::asio::awaitable<store_result<listing>> = 0;

  // Writes keys under conditions, all or nothing. The value says whether the
  // conditions held.
  virtual auto Write(txn_request request)
      -> boost::asio::awaitable<store_result<bool>> = 0;

  // Waits for changes under a prefix that came after a revision.
  virtual auto WaitForChanges(std::string prefix, revision after, duration wait)
      -> boost::asio::awaitable<store_result<change_list>> = 0;
};

}  // namespace daisywind::kv

#endif  // DAISYWIND_KV_STORE_H_
