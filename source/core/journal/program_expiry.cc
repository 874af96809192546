#include "journal/program_expiry.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>
#include <variant>

#include "common/logging.h"
#include "common/process_clock.h"
#include "history/messages.h"
#include "journal/journal_node.h"

namespace daisywind::journal {
namespace {

namespace asio = boost::asio;

// Maximum number of programs in one request; a name has up to 8 KB.
constexpr auto kProgramsPerRequest = std::size_t{512};

}  // namespace

program_expiry::program_expiry(asio::io_context& context,
                               journal_node& node,
                               std::size_t tolerated_losses,
                               program_expiry_options options)
    : node_(node),
      tolerated_losses_(tolerated_losses),
      options_(options),
      clients_(context) {}

auto program_expiry::Sweep() -> asio::awaitable<void> {
  const auto outlived = node_.replica().Outlived(UnixMs());
  auto removed = std::size_t{0};
  auto kept = std::size_t{0};
  auto has_quorum = true;
  for (auto begin = std::size_t{0}; has_quorum && begin < outlived.size();
       begin += kProgramsPerRequest) {
    const auto size = std::min(kProgramsPerRequest, outlived.size() - begin);
    const auto first = outlived.begin() + static_cast<std::ptrdiff_t>(begin);
    auto programs = std::vector<history::program_name>(
        first, first + static_cast<std::ptrdiff_t>(size));
    const auto decision = co_await Decide(std::move(programs));
    for (const auto& item : decision.Kept()) {
      node_.replica().Keep(item.program, UnixMs() + item.left_ms);
      ++kept;
    }
    removed += node_.RemoveOutlived(decision.Removable());
    has_quorum = decision.HasQuorum();
  }
  clients_.CloseNonMembers(node_.replica().current());
  node_.counters().programs_kept += kept;
  if (!outlived.empty()) {
    Log(log_events::kFactsExpired,
        {{"programs", static_cast<std::int64_t>(outlived.size())},
         {"kept_by_others", static_cast<std::int64_t>(kept)},
         {"has_quorum", has_quorum},
         {"facts", static_cast<std::int64_t>(removed)},
         {"left", static_cast<std::int64_t>(node_.replica().facts().size())}});
  }
}

auto program_expiry::Decide(std::vector<history::program_name> programs)
    -> asio::awaitable<history::removal_decision> {
  const auto view = node_.replica().current();
  const auto sizes = history::QuorumSizes(view, tolerated_losses_);
  auto decision = history::removal_decision(programs, sizes);
  const auto& self = node_.self();
  const auto* own_entry = view.Find(self.vm);
  if (own_entry != nullptr && *own_entry == self) {
    decision.Add(self.vm, node_.replica().IsComplete(),
                 std::vector<std::int64_t>(programs.size(), 0));
  }
  for (const auto& peer : view.members) {
    if (peer.vm == self.vm || decision.HasQuorum()) {
      continue;
    }
    auto request = history::lifetimes_request{programs};
    const auto reply = co_await clients_.ClientFor(peer.address)
                           ->SendAndWait(view.number, std::move(request),
                                         options_.request_timeout);
    const auto* lifetimes =
        reply ? std::get_if<history::lifetimes_reply>(&*reply) : nullptr;
    if (lifetimes != nullptr) {
      decision.Add(peer.vm, lifetimes->is_complete, lifetimes->left_ms);
    }
  }
  // Turns of a newer view may be on members that were not asked.
  const auto is_current = node_.replica().current().number == view.number;
  co_return is_current ? decision
                       : history::removal_decision(std::move(programs), sizes);
}

}  // namespace daisywind::journal
