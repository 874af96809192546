// The platform's store as seen through the copies that journals keep of it.
#ifndef DAISYWIND_HISTORY_CLIENT_MIRRORED_STORE_H_
#define DAISYWIND_HISTORY_CLIENT_MIRRORED_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/random.h"
#include "common/time.h"
#include "history/messages.h"
#include "history/view.h"
#include "history_client/member_client.h"
#include "kv/store.h"

namespace daisywind::history {

// Timing of a mirrored store.
struct mirrored_store_options {
  // Time between two requests to a journal for changes.
  duration poll_interval = 250ms;
  duration request_timeout = 300ms;
  // A journal's copy serves if the store has answered the journal within this
  // time.
  duration max_age = 1500ms;
  // A journal whose copy did not serve is not asked again for this long.
  duration retry_after = 2s;
  // Number of journals asked in a row before the store itself is.
  std::size_t max_journals = 2;
  // When set, a copy serves only if the journal asked the store for it within
  // this time, and calls for changes also return without changes, with the time
  // of that question.
  std::optional<duration> max_proof_age = std::nullopt;
  // The store itself is not asked for changes again for this long after a
  // failure. Each call is charged, and journals tell soon that it is back.
  duration source_retry_after{};
};

// Returns the timing with which a change is known within `time_limit` although
// the journal that is asked, or its watch of the store, has just failed.
auto MirroredStoreOptionsFor(duration time_limit) -> mirrored_store_options;

// Makes a mirrored store prove how new its changes are, for a VM that has to
// know within `max_age` that it has missed none.
auto WithProofs(mirrored_store_options options, duration max_age)
    -> mirrored_store_options;

// Waits for changes at a journal of the VM's region, which watches the store
// for all VMs there, or at any journal if the region has none, and at the store
// itself if no such journal has an up-to-date copy. So a change crosses the
// link between regions once for each journal and not once for each VM, and in
// each reply a key only once. So do listings of all keys, unless a change was
// known that the copy lacks. Reads and writes go to the store itself.
class mirrored_store : public kv::store {
 public:
  // `current_view` returns the journals to ask; none for a VM that watches the
  // store itself.
  mirrored_store(boost::asio::io_context& context,
                 kv::store& source,
                 region_id region,
                 std::function<const view&()> current_view,
                 mirrored_store_options options);

  auto Read(std::string key) -> boost::asio::awaitable<
      kv::store_result<std::optional<kv::key_value>>> override;
  // Only the prefix of all keys is served from copies, here and below.
  auto List(std::string prefix)
      -> boost::asio::awaitable<kv::store_result<kv::listing>> override;
  auto Write(kv::txn_request request)
      -> boost::asio::awaitable<kv::store_result<bool>> override;
  auto WaitForChanges(std::string prefix, kv::revision after, duration wait)
      -> boost::asio::awaitable<kv::store_result<kv::change_list>> override;

  // Time since the store itself last answered completely about all keys; empty
  // before its first answer. Copies do not count.
  [[nodiscard]] auto SourceAge(instant now) const -> std::optional<duration>;

  // Whether journals have replied lately, but with copies too old to serve.
  [[nodiscard]] auto AreJournalsOutdated(instant now) const -> bool;

 private:
  // Asks one journal for the changes since a revision. Returns nothing if its
  // copy does not serve.
  auto RequestChanges(std::string address, kv::revision after)
      -> boost::asio::awaitable<std::optional<kv::change_list>>;
  // Asks journals until a copy serves. Returns nothing if none does.
  auto RequestFromAny(kv::revision after)
      -> boost::asio::awaitable<std::optional<kv::change_list>>;
  // The journal to be asked next: the one that served last, or any other.
  auto NextJournal() -> std::optional<std::string>;
  // Lists all keys at the store, as changes that replace what is known.
  auto ListAsChanges()
      -> boost::asio::awaitable<kv::store_result<kv::change_list>>;
  // Waits until the poll interval since the last request to a journal is over.
  auto WaitForPoll() -> boost::asio::awaitable<void>;

  boost::asio::io_context& context_;
  kv::store& source_;
  region_id region_;
  std::function<const view&()> current_view_;
  mirrored_store_options options_;
  random_source random_;
  member_clients clients_;
  std::optional<instant> source_answered_at_;
  // The newest revision of any copy or response.
  kv::revision newest_revision_ = 0;
  // When a journal was last asked, and when one last replied with a copy that
  // served or did not.
  instant polled_at_{};
  instant served_at_{};
  instant outdated_at_{};
  instant source_retry_at_{};
  // Whether a response of the store to a call for changes was lost. It may have
  // said that the history is gone, and the store may answer a repeated call as
  // if nothing had changed.
  bool must_list_ = false;
  // The address of the journal that served last.
  std::string last_journal_;
  // When journals whose copies did not serve may be asked again, by address.
  std::map<std::string, instant> excluded_until_;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_CLIENT_MIRRORED_STORE_H_
