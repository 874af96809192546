// What the platform's store says: configuration, endpoints and journals.
#ifndef DAISYWIND_FRONT_DIRECTORY_H_
#define DAISYWIND_FRONT_DIRECTORY_H_

#include <boost/asio/io_context.hpp>
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

// What the owner of a directory hears.
struct directory_handlers {
  std::function<void(const history::view& newest)> on_view;
  std::function<void()> on_configuration;
};

// Bounds of the trust in what the store says, and how often it is asked.
struct directory_options {
  kv::watch_options watch;
  // After the store was out of reach, entries may be missing that come back.
  duration doubt_after_contact = 2s;
  // So many entries of a service gone at once hint at leases that ran out in an
  // outage, in hundredths.
  std::size_t doubtful_share = 34;
  std::size_t doubtful_count = 3;
};

// Keeps tables up to date from one watch over the whole store.
class directory {
 public:
  directory(boost::asio::io_context& context,
            kv::store& store,
            const directory_codec& codec,
            directory_options options,
            directory_handlers handlers);

  auto Start() -> void;
  auto Stop() -> void;

  // Takes over another VM's copy of the store if it is newer than what is
  // known. Entries that are missing in it are in doubt.
  auto ImportCopy(const history::store_copy& copy) -> void;

  // The newest revision of the store that is known.
  [[nodiscard]] auto revision_at() const -> kv::revision { return revision_; }

  // False while the store is out of reach.
  [[nodiscard]] auto IsStoreReachable() const -> bool { return is_reachable_; }

  // Ends doubts whose time has passed.
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
  auto OnSnapshot(const std::vector<kv::key_value>& items, bool is_in_doubt)
      -> void;
  auto OnChanges(const std::vector<kv::key_change>& changes) -> void;
  auto OnItem(const kv::key_value& item, instant now) -> void;
  auto OnConfiguration(const kv::key_value& item) -> void;
  auto OnEndpoint(const endpoint_id& id, const kv::key_value& item, instant now)
      -> void;
  auto RemoveEndpoint(const endpoint_id& id, bool is_in_doubt, instant now)
      -> void;
  // The endpoint whose entry has the key, if it is one.
  [[nodiscard]] auto EndpointOf(const std::string& key) const
      -> std::optional<endpoint_id>;
  [[nodiscard]] auto IsBulkRemoval(std::size_t removed) const -> bool;
  [[nodiscard]] auto IsInDoubt(instant now) const -> bool;

  const directory_codec& codec_;
  directory_options options_;
  directory_handlers handlers_;
  dispatch::route_table routes_;
  dispatch::endpoint_table endpoints_;
  kv::store_watch watch_;
  kv::revision revision_ = 0;
  bool is_reachable_ = true;
  instant doubt_until_{};
};

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_DIRECTORY_H_
