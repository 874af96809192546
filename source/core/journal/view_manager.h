// Takes and keeps this VM's seat in the view of journals.
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
#include <vector>

#include "common/time.h"
#include "history/view.h"
#include "history_client/member_client.h"
#include "kv/store.h"
#include "kv/store_watch.h"

namespace daisywind::journal {

class journal_node;

// How the platform asks for the emptying of a VM and hears of it. The names are
// the platform's, so the adapter gives them.
struct retire_keys {
  std::string request_prefix;
  std::string status_prefix;
  // Values of the status key.
  std::string running;
  std::string done;
};

struct view_manager_options {
  std::size_t tolerated_losses = 1;
  retire_keys retire;
  // A member that is unreachable for this long may be replaced.
  duration replace_after = 1500ms;
  duration tick = 250ms;
  duration ask_timeout = 1s;
  // When all members answer and too few are complete for this long, more disks
  // were lost than the system tolerates, and what they hold together is taken.
  duration give_up_after = 3s;
  // A VM that leaves waits this long for another one to take its seat.
  duration successor_wait = 1500ms;
};

// Watches the view and changes it by compare-and-swap.
class view_manager {
 public:
  view_manager(boost::asio::io_context& context,
               journal_node& node,
               kv::store& store,
               view_manager_options options);

  auto Start() -> void;
  auto Stop() -> void;

 private:
  struct answering_member {
    history::member who;
    bool is_complete = false;
  };

  // The facts that a member has.
  struct fact_list {
    history::member who;
    std::vector<history::fact_hash> hashes;
  };

  // Facts to be read from one member, shared by several connections.
  struct pull_work {
    history::member from;
    std::vector<history::fact_hash> wanted;
    std::size_t next = 0;
    std::size_t running = 0;
    bool has_failed = false;
  };

  auto OnSnapshot(const kv::listing& all) -> void;
  auto OnChanges(const kv::change_list& list) -> void;
  auto OnItem(const kv::key_value& item) -> void;
  auto OnViewItem(const kv::key_value& item) -> void;
  // The VM that a request to be emptied names, if the key is one.
  [[nodiscard]] auto RetiringVm(const std::string& key) const
      -> std::optional<vm_id>;
  auto Run() -> boost::asio::awaitable<void>;
  auto Step() -> boost::asio::awaitable<void>;
  // Returns false when there is no seat to take.
  auto TakeSeat() -> boost::asio::awaitable<bool>;
  auto Write(history::view next) -> boost::asio::awaitable<bool>;
  auto ProbeMembers() -> boost::asio::awaitable<void>;
  auto BecomeComplete() -> boost::asio::awaitable<void>;
  // Tells the view to all other members; returns those that answered.
  auto AnnounceView() -> boost::asio::awaitable<std::vector<answering_member>>;
  auto ReadLists(const std::vector<answering_member>& from)
      -> boost::asio::awaitable<std::vector<fact_list>>;
  static auto HashesOf(const std::vector<fact_list>& lists)
      -> std::vector<std::vector<history::fact_hash>>;
  auto Pull(const std::vector<fact_list>& lists)
      -> boost::asio::awaitable<bool>;
  auto PullBatches(std::shared_ptr<pull_work> work)
      -> boost::asio::awaitable<void>;
  auto Retire() -> boost::asio::awaitable<void>;
  // Puts facts that are on too few members on others.
  auto Push() -> boost::asio::awaitable<bool>;
  auto AreMembersComplete() -> boost::asio::awaitable<bool>;
  auto WriteStatus(const std::string& value) -> boost::asio::awaitable<bool>;
  auto Pause(duration length) -> boost::asio::awaitable<void>;
  [[nodiscard]] auto HasSeat() const -> bool;
  [[nodiscard]] auto Others() const -> std::vector<history::member>;

  boost::asio::io_context& context_;
  journal_node& node_;
  kv::store& store_;
  view_manager_options options_;
  kv::store_watch watch_;
  boost::asio::steady_timer timer_;
  // The view as the store has it, and the revision of its key.
  history::view stored_;
  kv::revision revision_ = 0;
  bool has_read_view_ = false;
  std::set<vm_id> retiring_;
  std::string last_status_;
  // Members that were complete when they were last asked.
  std::vector<vm_id> complete_;
  // Since when members do not answer.
  std::map<vm_id, instant> silent_since_;
  history::member_clients clients_;
  // Since when too few complete members answer, although all answer.
  std::optional<instant> stuck_since_;
  bool is_stopped_ = false;
};

}  // namespace daisywind::journal

#endif  // DAISYWIND_JOURNAL_VIEW_MANAGER_H_
