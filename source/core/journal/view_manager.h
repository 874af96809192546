// Manages this VM's membership in the journal view.
#ifndef DAISYWIND_JOURNAL_VIEW_MANAGER_H_
#define DAISYWIND_JOURNAL_VIEW_MANAGER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/time.h"
#include "history/view.h"
#include "history_client/member_client.h"
#include "history_client/mirrored_store.h"
#include "journal/fact_copier.h"
#include "kv/store.h"
#include "kv/store_watch.h"

namespace daisywind::journal {

class journal_node;

// Store keys by which the platform requests that a VM retires and reads the
// progress. A VM that retires leaves the view, and has retired once every fact
// is on a write quorum of other disks. The platform adapter supplies the names.
struct retire_keys {
  std::string request_prefix;
  std::string status_prefix;
  // Values of the status key.
  std::string running;
  std::string done;
};

struct view_manager_options {
  // Number of disks that may be lost at the same time without losing facts.
  std::size_t tolerated_losses = 1;
  retire_keys retire;
  // Timing of the watch of the store, and of the calls to members in its place.
  kv::watch_options watch;
  history::mirrored_store_options mirror;
  // A member that has been unreachable for this long may be replaced.
  duration replace_after = 1500ms;
  // Time between two steps of the manager.
  duration step_interval = 250ms;
  // A request to a member fails when there is no reply within this time.
  // Exchanges that carry facts or lists of their hashes may take three times as
  // long.
  duration request_timeout = 1s;
  // When all members have replied but too few are complete for this long, more
  // disks were lost than the system tolerates. The union of the remaining
  // copies is then accepted as complete.
  duration accept_loss_after = 3s;
  // Before a VM that retires leaves the view, it waits this long for another VM
  // to replace it.
  duration successor_wait = 1500ms;
};

// Watches the view in the platform's store and changes it by compare-and-swap.
// A VM that is no member watches the store through the members, so that the
// calls to the store don't grow with the VMs that stand by.
// Makes this VM a member, brings its replica up to date and retires it when the
// platform asks for that.
//
// A member is complete when it has read from the others the facts that its
// replica may lack, and has written a view for that; a member of the first view
// is complete from the start. Only complete members are sources of facts for
// others, unless more disks were lost than the system tolerates.
class view_manager {
 public:
  view_manager(boost::asio::io_context& context,
               journal_node& node,
               kv::store& store,
               view_manager_options options);

  auto Start() -> void;
  auto Stop() -> void;

  // Time since the store last answered this VM completely; empty before its
  // first answer. What members say of the store does not count.
  [[nodiscard]] auto StoreAge(instant now) const -> std::optional<duration> {
    return followed_store_.SourceAge(now);
  }

  // Time since the store was asked the question whose answer the mirror
  // includes; empty before the first one.
  [[nodiscard]] auto ProofAge(instant now) const -> std::optional<duration> {
    const auto as_of = watch_.known_as_of();
    return as_of ? std::optional(now - *as_of) : std::nullopt;
  }

 private:
  struct reachable_member {
    history::member peer;
    bool is_complete = false;

    auto operator<=>(const reachable_member&) const = default;
  };

  auto OnSnapshot(const kv::listing& all) -> void;
  auto OnChanges(const kv::change_list& list) -> void;
  auto OnItem(const kv::key_value& item) -> void;
  auto OnViewItem(const kv::key_value& item) -> void;
  // The VM that is to retire, if the key is a request for that.
  [[nodiscard]] auto RetiringVm(const std::string& key) const
      -> std::optional<vm_id>;
  auto Run() -> boost::asio::awaitable<void>;
  auto Step() -> boost::asio::awaitable<void>;
  // Tries to write a view with this VM as a member. Returns false when there is
  // no such view to write, and true otherwise, even if the write fails.
  auto JoinView() -> boost::asio::awaitable<bool>;
  // Writes to disk since which view the replica is complete, and waits for
  // that. Returns whether it is on disk.
  auto PersistComplete(history::view_number since)
      -> boost::asio::awaitable<bool>;
  // Replaces the view in the store if it has not changed meanwhile. Returns
  // whether the write is known to have been applied.
  auto WriteView(history::view next) -> boost::asio::awaitable<bool>;
  // Updates which members are unreachable and which are complete.
  auto ProbeMembers() -> boost::asio::awaitable<void>;
  // Reads the facts that this replica may lack from the other members.
  auto CompleteReplica() -> boost::asio::awaitable<void>;
  // Number of complete members to read from.
  [[nodiscard]] auto SourcesNeeded() const -> std::size_t;
  // Whether a copy from the complete members, or else from all others, is all
  // that there is to copy.
  auto AreEnoughSources(std::size_t complete, std::size_t reachable) -> bool;
  // Copies what lacks a disk, given complete members and all that are
  // reachable. Returns whether all of it is on enough disks.
  auto CopyFrom(std::vector<reachable_member> sources,
                std::vector<reachable_member> reachable)
      -> boost::asio::awaitable<bool>;
  // Copies what too few members have, because the disk of one of them may be
  // lost before the others are back.
  auto CopyFromSome(history::view_number view,
                    std::vector<reachable_member> from)
      -> boost::asio::awaitable<void>;
  // Sends the facts that the members lack, once for each view. A VM that was
  // replaced while it was down may have the last copy of some.
  auto HandOver() -> boost::asio::awaitable<void>;
  // Sends the view to all other members. Returns those that replied.
  auto AnnounceView() -> boost::asio::awaitable<std::vector<reachable_member>>;
  // Stops at the first member that does not send its list. Returns the lists
  // read until then.
  auto FetchFactLists(const std::vector<reachable_member>& from)
      -> boost::asio::awaitable<std::vector<fact_list>>;
  auto Retire() -> boost::asio::awaitable<void>;
  // Sends the facts that fewer than a write quorum of the other members hold to
  // as many more of them as needed. Returns whether all other members sent
  // their lists and stored what they were sent.
  auto PushMissingFacts() -> boost::asio::awaitable<bool>;
  // Returns whether all members of the view, which this VM has left, replied
  // that they are complete.
  auto AreMembersComplete() -> boost::asio::awaitable<bool>;
  auto WriteStatus(const std::string& value) -> boost::asio::awaitable<bool>;
  auto Pause(duration length) -> boost::asio::awaitable<void>;
  [[nodiscard]] auto IsMember() const -> bool;
  [[nodiscard]] auto OtherMembers() const -> std::vector<history::member>;

  boost::asio::io_context& context_;
  journal_node& node_;
  kv::store& store_;
  view_manager_options options_;
  // The members that this VM follows the store through; empty while it is one
  // itself.
  history::view followed_members_;
  history::mirrored_store followed_store_;
  kv::store_watch watch_;
  boost::asio::steady_timer timer_;
  // The view in the store and the revision of its key.
  history::view stored_view_;
  kv::revision view_revision_ = 0;
  bool has_read_view_ = false;
  std::set<vm_id> retiring_;
  std::string last_status_;
  // Members that were complete at the last probe.
  std::vector<vm_id> complete_members_;
  // When each unreachable member first failed to reply.
  std::map<vm_id, instant> unreachable_since_;
  history::member_clients clients_;
  // Members of which all facts were copied while there were too few sources,
  // with the view in which that was.
  std::set<std::pair<history::view_number, vm_id>> copied_from_;
  // The view in which this member has copied all that it lacked.
  history::view_number copied_in_ = 0;
  // The view whose members hold all facts of this VM, which is none of them.
  history::view_number handed_over_in_ = 0;
  // Since when all members have replied but too few of them are complete.
  std::optional<instant> too_few_complete_since_;
  bool is_stopped_ = false;
};

}  // namespace daisywind::journal

#endif  // DAISYWIND_JOURNAL_VIEW_MANAGER_H_
