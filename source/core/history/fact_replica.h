// One VM's part in holding facts: what it answers to each request. Without I/O
// or clock.
#ifndef DAISYWIND_HISTORY_FACT_REPLICA_H_
#define DAISYWIND_HISTORY_FACT_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "history/fact_table.h"
#include "history/messages.h"

namespace daisywind::history {

// What a request leads to. The reply may leave once the facts are on disk.
struct replica_effect {
  std::vector<turn_fact> to_persist;
  std::optional<message_body> reply;

  auto operator<=>(const replica_effect&) const = default;
};

class fact_replica {
 public:
  // Takes in facts that were on disk at the start.
  auto Restore(const std::vector<turn_fact>& facts) -> void;

  // The view since which this copy holds everything; zero when it may lack
  // facts.
  auto SetComplete(view_number since) -> void { complete_since_ = since; }
  [[nodiscard]] auto complete_since() const -> view_number {
    return complete_since_;
  }
  [[nodiscard]] auto IsComplete() const -> bool { return complete_since_ != 0; }

  // Takes a view into force unless it is older than the one in force.
  auto Adopt(const view& newest) -> void;

  // Answers a request. `now_ms` is wall-clock time in milliseconds.
  auto Handle(const message& request, std::int64_t now_ms) -> replica_effect;

  // Takes in facts read from another member. Returns those that are new.
  auto MergeFacts(const std::vector<turn_fact>& facts)
      -> std::vector<turn_fact>;

  auto ExpireBefore(std::int64_t recorded_ms) -> std::size_t;

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
  template <class Other>
  auto Answer(const Other& /*no request*/, std::int64_t /*now_ms*/)
      -> replica_effect {
    return {};
  }

  fact_table facts_;
  view view_;
  // The newest view that any request was sent in.
  view_number newest_seen_ = 0;
  view_number complete_since_ = 0;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_FACT_REPLICA_H_
