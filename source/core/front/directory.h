// Service directory: the configuration, the endpoints and the journal view, as
// the platform's metadata store holds them.
#ifndef DAISYWIND_FRONT_DIRECTORY_H_
#define DAISYWIND_FRONT_DIRECTORY_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "dispatch/endpoint_table.h"
#include "dispatch/route_table.h"
#include "front/platform_codecs.h"
#include "history/messages.h"
#include "history/view.h"
#include "kv/store.h"
#include "kv/store_watch.h"

namespace daisywind::front {

// Callbacks of a directory. They run on the thread of its context.
struct directory_handlers {
  // The store holds a view of the journals. It may be one that was reported
  // before.
  std::function<void(const history::view& newest)> on_view;
  // A newer configuration is in force.
  std::function<void()> on_configuration;
};

// Timing of the store's watch, and when removed endpoint entries are kept in
// use for a grace period instead of being dropped at once.
struct directory_options {
  kv::watch_options watch;
  // For this long after the store is reachable again, missing entries are
  // expected to be registered again.
  duration uncertain_after_reconnect = 2s;
  // A removal of at least this percentage of all endpoints, and of at least
  // this number of them, at once suggests that leases expired during an outage.
  std::size_t bulk_removal_percent = 34;
  std::size_t bulk_removal_count = 3;
};

// Keeps the route and endpoint tables up to date from one watch over the whole
// store.
class directory {
 public:
  directory(boost::asio::io_context& context,
            kv::store& store,
            const directory_codec& codec,
            directory_options options,
            directory_handlers handlers);

  auto Start() -> void;
  auto Stop() -> void;

  // Installs another VM's copy of the store if its revision is newer than the
  // newest one known here. Endpoints that the copy lacks stay in use for a
  // grace period.
  auto ImportCopy(const history::store_copy& copy) -> void;

  // Records that another VM's copy, if it is no newer than what is known here,
  // includes all that the store had acknowledged at a time.
  auto ImportProof(instant as_of) -> void;

  // The newest store revision received, from the store or from a copy.
  [[nodiscard]] auto revision_at() const -> kv::revision { return revision_; }

  // Time since the store last answered completely; empty before its first
  // answer.
  [[nodiscard]] auto StoreAge(instant now) const -> std::optional<duration>;

  // The configuration in force was the newest at this time; empty when that is
  // not known, as while the newest one can't be read.
  [[nodiscard]] auto ProvenAt() const -> std::optional<instant>;

  // False while the store is unreachable.
  [[nodiscard]] auto IsStoreReachable() const -> bool { return is_reachable_; }

  // Drops missing endpoints whose grace period has expired.
  auto Tick(instant now) -> void;

  [[nodiscard]] auto routes() const -> const dispatch::route_table& {
    return routes_;
  }
  [[nodiscard]] auto endpoints() -> dispatch::endpoint_table& {
    return endpoints_;
  }

  // Whether a configuration is in force.
  [[nodiscard]] auto IsConfigured() const -> bool {
    return routes_.version() != 0;
  }

 private:
  // Where items of the store come from, for the log.
  enum class item_source : std::uint8_t { kListing, kWatch, kCopy };

  auto OnSnapshot(const std::vector<kv::key_value>& items,
                  item_source source,
                  bool is_removal_uncertain) -> void;
  auto OnChanges(const std::vector<kv::key_change>& changes) -> void;
  auto OnItem(const kv::key_value& item, item_source source, instant now)
      -> void;
  auto OnConfiguration(const kv::key_value& item, item_source source) -> void;
  auto OnEndpoint(const endpoint_id& id, const kv::key_value& item, instant now)
      -> void;
  auto RemoveEndpoint(const endpoint_id& id,
                      bool is_removal_uncertain,
                      instant now) -> void;
  // The endpoint whose entry is stored under the key, or nothing if the key is
  // not that of an endpoint entry.
  [[nodiscard]] auto EndpointIdFromKey(const std::string& key) const
      -> std::optional<endpoint_id>;
  [[nodiscard]] auto IsBulkRemoval(std::size_t removed) const -> bool;
  [[nodiscard]] auto AreRemovalsUncertain(instant now) const -> bool;

  const directory_codec& codec_;
  directory_options options_;
  directory_handlers handlers_;
  dispatch::route_table routes_;
  dispatch::endpoint_table endpoints_;
  kv::store_watch watch_;
  kv::revision revision_ = 0;
  // What copies of other VMs prove.
  std::optional<instant> copy_as_of_;
  // Whether the newest configuration could be read.
  bool is_configuration_valid_ = false;
  bool is_reachable_ = true;
  instant removals_uncertain_until_{};
};

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_DIRECTORY_H_
