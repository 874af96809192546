#include "journal/fact_copier.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <iterator>
#include <limits>
#include <optional>
#include <unordered_set>
#include <utility>

#include "common/logging.h"
#include "common/vm_location.h"
#include "journal/journal_node.h"

namespace daisywind::journal {
namespace {

namespace asio = boost::asio;

using hash_list = std::vector<history::fact_hash>;

// Maximum number of facts in one message, and their maximum size in bytes
// unless there is only one. Some of these messages share a link between regions
// with the requests of callers.
constexpr auto kFactsPerBatch = std::size_t{256};
constexpr auto kBatchBytes = std::size_t{256} * 1024;
// Members of earlier versions do not limit the size of a reply.
constexpr auto kFactsPerUnlimitedBatch = std::size_t{32};
// Several connections, because the window of a single one limits throughput
// over a long distance.
constexpr auto kPullConnections = std::size_t{4};
constexpr auto kForwardConnections = std::size_t{4};
// Requests of other members to forward facts that are served at the same time.
constexpr auto kMaxForwards = std::size_t{16};
// Facts that are copied from one member before others are asked again.
constexpr auto kFactsPerPart = std::size_t{2048};
// Turns whose facts are copied before the lists of others that copy as well are
// requested again.
constexpr auto kTurnsPerShare = std::size_t{8192};

auto TurnsOf(const std::vector<hash_list>& hashes) -> hash_list {
  auto turns = hash_list{};
  for (const auto& list : hashes) {
    std::transform(list.begin(), list.end(), std::back_inserter(turns),
                   history::TurnPart);
  }
  std::sort(turns.begin(), turns.end());
  turns.erase(std::unique(turns.begin(), turns.end()), turns.end());
  return turns;
}

// Removes the first hashes, or all if their number is zero, as in replies of
// members of earlier versions.
auto RemoveExamined(hash_list& hashes, std::size_t examined) -> void {
  const auto count =
      examined == 0 ? hashes.size() : std::min(examined, hashes.size());
  hashes.erase(hashes.begin(),
               hashes.begin() + static_cast<std::ptrdiff_t>(count));
}

auto HashesOf(const std::vector<fact_list>& lists) -> std::vector<hash_list> {
  auto hashes = std::vector<hash_list>{};
  for (const auto& item : lists) {
    hashes.push_back(item.hashes);
  }
  return hashes;
}

}  // namespace

struct fact_copier::copy_work {
  explicit copy_work(asio::io_context& context)
      : wake(context, asio::steady_timer::time_point::max()) {}

  // Takes facts from the front, where those are that only this replica can
  // read, or from the back. What a message has no room for is returned at once,
  // so that the faster path can take it.
  auto TakeFront() -> hash_list {
    const auto count = std::min(facts_per_batch, wanted.size());
    const auto last = wanted.begin() + static_cast<std::ptrdiff_t>(count);
    auto batch = hash_list(wanted.begin(), last);
    wanted.erase(wanted.begin(), last);
    not_forwardable -= std::min(not_forwardable, count);
    return batch;
  }

  // Returns facts of which the first ones can only be read here. The others go
  // to the back, because those in front may have been returned meanwhile.
  auto ReturnFront(const hash_list& hashes, std::size_t only_here) -> void {
    const auto first_other =
        hashes.begin() + static_cast<std::ptrdiff_t>(only_here);
    wanted.insert(wanted.end(), first_other, hashes.end());
    wanted.insert(wanted.begin(), hashes.begin(), first_other);
    not_forwardable += only_here;
  }

  auto TakeBack() -> hash_list {
    const auto count =
        std::min(facts_per_batch, wanted.size() - not_forwardable);
    const auto first = wanted.end() - static_cast<std::ptrdiff_t>(count);
    auto batch = hash_list(first, wanted.end());
    wanted.erase(first, wanted.end());
    return batch;
  }

  auto ReturnBack(const hash_list& hashes) -> void {
    wanted.insert(wanted.end(), hashes.begin(), hashes.end());
  }

  // Takes about as many facts as a message has room for, so that none wait for
  // the answer to a message that they are not part of. Members of earlier
  // versions, which answer zero, do not limit the size of a reply.
  auto AdaptBatch(std::size_t answered) -> void {
    facts_per_batch = answered == 0 ? kFactsPerUnlimitedBatch
                                    : std::min(2 * answered, kFactsPerBatch);
  }

  auto End() -> void {
    --running;
    wake.cancel();
  }

  history::view_number view = 0;
  history::member source;
  // The member that the source may copy facts to, if any.
  std::optional<history::member> partner;
  hash_list wanted;
  // Number of facts in front of `wanted` that the partner has already.
  std::size_t not_forwardable = 0;
  std::size_t facts_per_batch = kFactsPerUnlimitedBatch;
  std::size_t running = 0;
  std::size_t forwarded = 0;
  bool has_failed = false;
  // Cancelled when a worker ends.
  asio::steady_timer wake;
};

fact_copier::fact_copier(asio::io_context& context,
                         journal_node& node,
                         fact_copier_options options)
    : context_(context), node_(node), options_(options), clients_(context) {}

auto fact_copier::PlanPulls(const std::vector<fact_list>& lists) const
    -> pull_plan {
  return history::PlanPulls(node_.replica().facts().Hashes(), HashesOf(lists),
                            options_.copies);
}

auto fact_copier::CopyMissing(history::view_number view,
                              std::vector<fact_list> lists)
    -> asio::awaitable<bool> {
  auto wanted = PlanPulls(lists);
  co_return co_await CopyPlanned(view, lists, std::move(wanted));
}

auto fact_copier::CopyShare(history::view_number view,
                            std::vector<fact_list> lists,
                            const std::vector<fact_list>& copying)
    -> asio::awaitable<bool> {
  const auto first = history::TurnPart(FirstHashOfShare(copying));
  lists.insert(lists.end(), copying.begin(), copying.end());
  auto wanted = PlanPulls(lists);
  auto turns = TurnsOf(wanted);
  if (shared_in_ != view) {
    shared_in_ = view;
    shared_turns_ = {turns.begin(), turns.end()};
  }
  std::erase_if(turns, [&](history::fact_hash turn) {
    return !shared_turns_.contains(turn);
  });
  // Beyond the largest turn, the order continues with the smallest.
  std::sort(turns.begin(), turns.end(),
            [first](history::fact_hash a, history::fact_hash b) {
              return a - first < b - first;
            });
  const auto is_last = turns.size() <= kTurnsPerShare;
  turns.resize(std::min(turns.size(), kTurnsPerShare));
  // All states of a turn are in the same part.
  const auto part =
      std::unordered_set<history::fact_hash>(turns.begin(), turns.end());
  for (auto& hashes : wanted) {
    std::erase_if(hashes, [&](history::fact_hash hash) {
      return !part.contains(history::TurnPart(hash));
    });
  }
  if (!co_await CopyPlanned(view, lists, std::move(wanted))) {
    co_return false;
  }
  for (const auto turn : turns) {
    shared_turns_.erase(turn);
  }
  co_return is_last;
}

auto fact_copier::FirstHashOfShare(const std::vector<fact_list>& copying) const
    -> history::fact_hash {
  constexpr auto kLargest = std::numeric_limits<history::fact_hash>::max();
  const auto before = static_cast<std::size_t>(std::count_if(
      copying.begin(), copying.end(),
      [&](const fact_list& item) { return item.peer.vm < node_.self().vm; }));
  return before * (kLargest / (copying.size() + 1));
}

auto fact_copier::CopyPart(history::view_number view,
                           std::vector<fact_list> lists)
    -> asio::awaitable<bool> {
  auto wanted = PlanPulls(lists);
  auto is_all = true;
  for (auto& hashes : wanted) {
    if (hashes.size() > kFactsPerPart) {
      hashes.resize(kFactsPerPart);
      is_all = false;
    }
  }
  co_return co_await CopyPlanned(view, lists, std::move(wanted)) && is_all;
}

auto fact_copier::CopyPlanned(history::view_number view,
                              const std::vector<fact_list>& lists,
                              pull_plan wanted) -> asio::awaitable<bool> {
  auto works = std::vector<std::shared_ptr<copy_work>>{};
  for (auto i = std::size_t{0}; i < lists.size(); ++i) {
    works.push_back(MakeWork(view, lists, i, std::move(wanted[i])));
    ++works.back()->running;
    asio::co_spawn(context_, Copy(works.back()), asio::detached);
  }
  auto has_all = true;
  for (const auto& work : works) {
    while (work->running > 0) {
      co_await work->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (work->has_failed) {
      Log(log_events::kPullFailed,
          {{"vm", std::string_view(work->source.vm.value)},
           {"reason", "member did not send the requested facts"}});
      has_all = false;
    }
    node_.counters().facts_forwarded += work->forwarded;
  }
  co_return has_all;
}

auto fact_copier::MakeWork(history::view_number view,
                           const std::vector<fact_list>& lists,
                           std::size_t source,
                           hash_list wanted) -> std::shared_ptr<copy_work> {
  auto work = std::make_shared<copy_work>(context_);
  work->view = view;
  work->source = lists[source].peer;
  work->wanted = std::move(wanted);
  work->not_forwardable = work->wanted.size();
  auto nearest = Distance(work->source, node_.self());
  const fact_list* partner = nullptr;
  for (auto i = std::size_t{0}; i < lists.size(); ++i) {
    const auto distance = Distance(work->source, lists[i].peer);
    if (i != source && distance < nearest) {
      nearest = distance;
      partner = &lists[i];
    }
  }
  if (partner != nullptr) {
    work->partner = partner->peer;
    // Another state of a turn that the partner has is no disk more for it.
    auto known = std::unordered_set<history::fact_hash>{};
    for (const auto hash : partner->hashes) {
      known.insert(history::TurnPart(hash));
    }
    const auto first_forwardable = std::stable_partition(
        work->wanted.begin(), work->wanted.end(), [&](history::fact_hash hash) {
          return known.contains(history::TurnPart(hash));
        });
    work->not_forwardable = static_cast<std::size_t>(
        std::distance(work->wanted.begin(), first_forwardable));
  }
  return work;
}

auto fact_copier::Copy(std::shared_ptr<copy_work> work)
    -> asio::awaitable<void> {
  // Facts that could not be forwarded are read in another pass.
  while (!work->wanted.empty() && !work->has_failed) {
    work->running += kPullConnections;
    for (auto i = std::size_t{0}; i < kPullConnections; ++i) {
      asio::co_spawn(context_, PullBatches(work), asio::detached);
    }
    if (work->partner && work->wanted.size() > work->not_forwardable) {
      work->running += kForwardConnections;
      for (auto i = std::size_t{0}; i < kForwardConnections; ++i) {
        asio::co_spawn(context_, ForwardBatches(work), asio::detached);
      }
    }
    while (work->running > 1) {
      co_await work->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }
  work->End();
}

auto fact_copier::PullBatches(std::shared_ptr<copy_work> work)
    -> asio::awaitable<void> {
  auto client = history::member_client(context_, work->source.address);
  while (!work->wanted.empty() && !work->has_failed) {
    const auto only_here_before = work->not_forwardable;
    auto hashes = work->TakeFront();
    const auto only_here = only_here_before - work->not_forwardable;
    auto request = history::pull_request{hashes, kBatchBytes};
    auto reply = co_await client.SendAndWaitForLong(
        work->view, std::move(request), options_.request_timeout);
    auto* pulled = reply ? std::get_if<history::pull_reply>(&*reply) : nullptr;
    if (pulled == nullptr) {
      work->has_failed = true;
      break;
    }
    work->AdaptBatch(pulled->examined);
    const auto asked = hashes.size();
    RemoveExamined(hashes, pulled->examined);
    const auto answered = asked - hashes.size();
    work->ReturnFront(hashes, only_here - std::min(only_here, answered));
    auto added = node_.replica().MergeFacts(pulled->facts);
    node_.counters().facts_pulled += added.size();
    // A disk slower than the network holds the next request back.
    if (!added.empty() && !co_await node_.PersistAndWait(std::move(added))) {
      work->has_failed = true;
    }
  }
  work->End();
}

auto fact_copier::ForwardBatches(std::shared_ptr<copy_work> work)
    -> asio::awaitable<void> {
  auto client = history::member_client(context_, work->source.address);
  auto is_served = true;
  while (is_served && !work->has_failed &&
         work->wanted.size() > work->not_forwardable) {
    auto hashes = work->TakeBack();
    auto request = history::forward_request{work->partner->address, hashes};
    auto reply = co_await client.SendAndWait(work->view, std::move(request),
                                             options_.request_timeout);
    const auto* forwarded =
        reply ? std::get_if<history::forward_reply>(&*reply) : nullptr;
    is_served = forwarded != nullptr && forwarded->stored > 0;
    if (is_served) {
      work->forwarded += forwarded->stored;
      work->AdaptBatch(forwarded->stored);
      RemoveExamined(hashes, forwarded->stored);
      work->ReturnBack(hashes);
    } else {
      work->ReturnFront(hashes, hashes.size());
    }
  }
  work->End();
}

auto fact_copier::PushMissing(history::view_number view,
                              std::vector<fact_list> lists)
    -> asio::awaitable<bool> {
  auto missing = history::PlanCopies(node_.replica().facts().Hashes(),
                                     HashesOf(lists), options_.copies);
  for (auto i = std::size_t{0}; i < lists.size(); ++i) {
    if (!co_await Push(view, lists[i].peer.address, std::move(missing[i]))) {
      co_return false;
    }
  }
  co_return true;
}

auto fact_copier::Push(history::view_number view,
                       std::string address,
                       hash_list hashes) -> asio::awaitable<bool> {
  while (!hashes.empty()) {
    auto request = history::forward_request{address, hashes};
    const auto reply =
        co_await Forward(view, std::move(request), /*are_copies=*/false);
    if (reply.stored == 0) {
      co_return false;
    }
    RemoveExamined(hashes, reply.stored);
  }
  co_return true;
}

auto fact_copier::Forward(history::view_number view,
                          history::forward_request request,
                          bool are_copies)
    -> asio::awaitable<history::forward_reply> {
  const auto& members = node_.replica().current().members;
  const auto is_to_member = std::any_of(
      members.begin(), members.end(), [&](const history::member& item) {
        return item.address == request.address;
      });
  if (!is_to_member || running_forwards_ >= kMaxForwards) {
    co_return history::forward_reply{};
  }
  ++running_forwards_;
  auto batch = node_.replica().facts().FindBatch(request.hashes, kBatchBytes);
  auto record = history::record_request{std::move(batch.facts), are_copies};
  const auto reply =
      co_await clients_.ClientFor(request.address)
          ->SendAndWait(view, std::move(record), options_.request_timeout);
  --running_forwards_;
  const auto* recorded =
      reply ? std::get_if<history::record_reply>(&*reply) : nullptr;
  const auto is_stored = recorded != nullptr && recorded->is_durable;
  co_return history::forward_reply{is_stored ? batch.examined : 0};
}

}  // namespace daisywind::journal
