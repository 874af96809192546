// One replica of the facts: computes the answer to each request. Does no I/O
// and reads no clock.
#ifndef DAISYWIND_HISTORY_FACT_REPLICA_H_
#define DAISYWIND_HISTORY_FACT_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "history/fact_table.h"
#include "history/messages.h"

namespace daisywind::history {

// Result of a request. The reply may be sent only once the facts are on disk.
struct replica_effect {
  std::vector<turn_fact> to_persist;
  std::optional<message_body> reply;

  auto operator<=>(const replica_effect&) const = default;
};

class fact_replica {
 public:
  // The default lifetime, in milliseconds, is that of facts that name no
  // retention.
  explicit fact_replica(std::int64_t default_lifetime_ms = 0)
      : default_lifetime_ms_(default_lifetime_ms) {}

  // Loads the facts found on disk at start-up.
  auto Restore(const std::vector<turn_fact>& facts) -> void;

  // Sets the view since which this replica is complete; zero when it may lack
  // facts. A complete replica answers no request of an earlier view, whose
  // sender may have the answer of another member from before the copy.
  auto SetComplete(view_number since) -> void;
  [[nodiscard]] auto complete_since() const -> view_number {
    return complete_since_;
  }
  [[nodiscard]] auto IsComplete() const -> bool { return complete_since_ != 0; }

  // Installs a view unless the current one is as new or newer.
  auto Adopt(const view& newest) -> void;

  // Handles a request. `now_ms` is Unix time in milliseconds. A request from an
  // older view than the replica has seen is answered with stale_view, except
  // for adopt, list and pull requests.
  auto Handle(const message& request, std::int64_t now_ms) -> replica_effect;

  // Merges facts read from another member. Returns those that added something.
  auto MergeFacts(const std::vector<turn_fact>& facts)
      -> std::vector<turn_fact>;

  // See fact_table. Times are Unix times in milliseconds.
  [[nodiscard]] auto Outlived(std::int64_t now_ms) const
      -> std::vector<program_name> {
    return facts_.Outlived(now_ms, default_lifetime_ms_);
  }
  [[nodiscard]] auto IsOutlived(const program_name& program,
                                std::int64_t now_ms) const -> bool {
    return facts_.IsOutlived(program, now_ms, default_lifetime_ms_);
  }
  [[nodiscard]] auto LongestLifetimeMs() const -> std::int64_t {
    return facts_.LongestLifetimeMs(default_lifetime_ms_);
  }
  auto Keep(const program_name& program, std::int64_t until_ms) -> void {
    facts_.Keep(program, until_ms);
  }
  auto Remove(const std::vector<program_name>& programs) -> std::size_t {
    return facts_.Remove(programs);
  }

  [[nodiscard]] auto facts() const -> const fact_table& { return facts_; }
  [[nodiscard]] auto current() const -> const view& { return view_; }

 private:
  [[nodiscard]] auto IsStale(const message& request) -> bool;
  auto Answer(const begin_request& request, std::int64_t now_ms)
      -> replica_effect;
  auto Answer(const record_request& request, std::int64_t now_ms)
      -> replica_effect;
  auto Answer(const read_request& request, std::int64_t now_ms)
      -> replica_effect;
  auto Answer(const adopt_request& request, std::int64_t now_ms)
      -> replica_effect;
  auto Answer(const list_request& request, std::int64_t now_ms)
      -> replica_effect;
  auto Answer(const pull_request& request, std::int64_t now_ms)
      -> replica_effect;
  auto Answer(const lifetimes_request& request, std::int64_t now_ms)
      -> replica_effect;
  template <class Other>
  auto Answer(const Other& /*no request*/, std::int64_t /*now_ms*/)
      -> replica_effect {
    return {};
  }

  std::int64_t default_lifetime_ms_;
  fact_table facts_;
  view view_;
  // The newest view seen in any request or announcement.
  view_number newest_view_seen_ = 0;
  view_number complete_since_ = 0;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_FACT_REPLICA_H_
