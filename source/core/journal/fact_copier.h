// Copies facts between the members of the view, so that enough disks have each.
#ifndef DAISYWIND_JOURNAL_FACT_COPIER_H_
#define DAISYWIND_JOURNAL_FACT_COPIER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "common/time.h"
#include "history/messages.h"
#include "history/view.h"
#include "history_client/member_client.h"

namespace daisywind::journal {

class journal_node;

// Hashes of the facts that a member holds.
struct fact_list {
  history::member peer;
  std::vector<history::fact_hash> hashes;
};

struct fact_copier_options {
  // Number of disks that a write needs.
  std::size_t copies = 2;
  // An exchange that carries facts fails when it does not proceed for this
  // long.
  duration request_timeout = 3s;
};

class fact_copier {
 public:
  fact_copier(boost::asio::io_context& context,
              journal_node& node,
              fact_copier_options options);

  // Gets every fact that fewer members hold than a write needs to one more
  // disk, given the lists of complete members, nearest first. This replica
  // reads it from a member that has it. If another member is nearer to that one
  // than this replica is, facts are also copied between those two at the same
  // time: a new disk has to be replaced before the next one may be lost, and a
  // link between regions may be too slow for that. Returns whether all facts
  // are on enough disks.
  auto CopyMissing(history::view_number view, std::vector<fact_list> lists)
      -> boost::asio::awaitable<bool>;

  // Likewise, beside other members that copy at the same time, whose lists are
  // given as well: what they hold counts, and each begins with other turns, so
  // that they share the work. Copies a part, and each turn once in a view.
  // Returns whether this was the last part.
  auto CopyShare(history::view_number view,
                 std::vector<fact_list> lists,
                 const std::vector<fact_list>& copying)
      -> boost::asio::awaitable<bool>;

  // Likewise for the facts of too few members, a part of them at a time, so
  // that others can be asked as soon as they are there. Returns whether none is
  // left.
  auto CopyPart(history::view_number view, std::vector<fact_list> lists)
      -> boost::asio::awaitable<bool>;

  // Sends the facts of this replica that fewer members hold than a write needs
  // to as many more of them, given the lists of all. Returns whether they have
  // stored all.
  auto PushMissing(history::view_number view, std::vector<fact_list> lists)
      -> boost::asio::awaitable<bool>;

  // Sends the first facts of a request to the member at its address.
  // `are_copies`: see record_request.
  auto Forward(history::view_number view,
               history::forward_request request,
               bool are_copies)
      -> boost::asio::awaitable<history::forward_reply>;

 private:
  // Facts that one member has and that need another disk.
  struct copy_work;
  // The facts to read from each of some members, in the order of their lists.
  using pull_plan = std::vector<std::vector<history::fact_hash>>;

  auto PlanPulls(const std::vector<fact_list>& lists) const -> pull_plan;
  // The hash with which this member begins, beside others that copy as well.
  [[nodiscard]] auto FirstHashOfShare(
      const std::vector<fact_list>& copying) const -> history::fact_hash;
  auto CopyPlanned(history::view_number view,
                   const std::vector<fact_list>& lists,
                   pull_plan wanted) -> boost::asio::awaitable<bool>;
  auto MakeWork(history::view_number view,
                const std::vector<fact_list>& lists,
                std::size_t source,
                std::vector<history::fact_hash> wanted)
      -> std::shared_ptr<copy_work>;
  auto Push(history::view_number view,
            std::string address,
            std::vector<history::fact_hash> hashes)
      -> boost::asio::awaitable<bool>;
  auto Copy(std::shared_ptr<copy_work> work) -> boost::asio::awaitable<void>;
  // Several of these run for one source. They stop when nothing is left or when
  // one has failed.
  auto PullBatches(std::shared_ptr<copy_work> work)
      -> boost::asio::awaitable<void>;
  auto ForwardBatches(std::shared_ptr<copy_work> work)
      -> boost::asio::awaitable<void>;

  boost::asio::io_context& context_;
  journal_node& node_;
  fact_copier_options options_;
  history::member_clients clients_;
  std::size_t running_forwards_ = 0;
  // The turns that lacked a disk at the first part in a view and have not been
  // copied since. Later ones and turns of which members have different states
  // may always seem to lack one, so waiting for them would not end.
  history::view_number shared_in_ = 0;
  std::unordered_set<history::fact_hash> shared_turns_;
};

}  // namespace daisywind::journal

#endif  // DAISYWIND_JOURNAL_FACT_COPIER_H_
