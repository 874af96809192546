// What VMs tell each other about the load of endpoints, by way of the VMs that
// hold facts, to which every turn goes anyway. Without I/O or clock.
#ifndef DAISYWIND_HISTORY_LOAD_CHANGE_FEED_H_
#define DAISYWIND_HISTORY_LOAD_CHANGE_FEED_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/endpoint_key.h"
#include "common/time.h"

namespace daisywind::history {

// What an endpoint said of itself in an answer, and when it last failed to give
// one.
struct load_sample {
  endpoint_key endpoint = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // How long ago it said so.
  duration age{};
  // How long ago it failed a request; absent when it has not lately.
  std::optional<duration> failed_age = std::nullopt;

  auto operator<=>(const load_sample&) const = default;
};

// Bounds of what is told.
struct change_feed_options {
  // A change by at least this many requests is told at once,
  std::uint32_t min_change = 2;
  // a smaller one only this long after the last sample that was told.
  duration refresh = 400ms;
  // A sample of this age says nothing any more.
  duration lifetime = 4s;
  // Samples in one message. At 16 bytes each, a message stays under 2.1 KB.
  std::size_t most_told = 128;

  auto operator<=>(const change_feed_options&) const = default;
};

// The newest sample of each endpoint, in the order in which they changed.
class load_change_feed {
 public:
  using sequence = std::uint64_t;

  // Samples that changed after a point, and the point up to which that is all.
  struct change_batch {
    std::vector<load_sample> samples;
    sequence up_to = 0;
  };

  explicit load_change_feed(change_feed_options options = {})
      : options_(options) {}

  // Takes in a sample unless a newer one of its endpoint is known. The newest
  // failure counts whatever the age of the load.
  auto Put(const load_sample& sample, instant now) -> void;

  // Takes in a failure, of which the load is not known.
  auto PutFailure(endpoint_key endpoint, instant now) -> void;

  // The samples that changed after a point, the newest first and no more than
  // fit a message. A point of another run of the board counts as none.
  [[nodiscard]] auto ChangesSince(sequence known, instant now) const
      -> change_batch;

  [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }

 private:
  struct entry {
    load_sample sample;
    instant taken_at;
    // What was told last: its sum of requests, when, and its place in the
    // order.
    std::uint32_t told_sum = 0;
    instant told_at;
    sequence told_as = 0;
    std::optional<instant> failed_at;
  };

  auto Tell(entry& item, instant now) -> void;
  auto Forget(instant now) -> void;

  change_feed_options options_;
  std::unordered_map<endpoint_key, entry> entries_;
  std::map<sequence, endpoint_key> order_;
  sequence last_ = 0;
  instant forget_at_{};
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_LOAD_CHANGE_FEED_H_
