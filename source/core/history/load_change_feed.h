// Exchange of endpoint loads between VMs. The samples travel with requests to
// the members that store facts, which every turn contacts anyway. Does no I/O
// and reads no clock.
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

// Load that an endpoint reported with an answer, and when it last failed a
// request.
struct load_sample {
  endpoint_key endpoint = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // Time since the report.
  duration age{};
  // Time since it last failed a request; absent when it has not recently.
  std::optional<duration> failed_age = std::nullopt;
  // How long work takes at the endpoint, in percent of the usual; zero when it
  // is not known.
  std::uint32_t pace_percent = 0;

  auto operator<=>(const load_sample&) const = default;
};

// Limits on what is published.
struct change_feed_options {
  // A change by at least this many requests is published at once.
  std::uint32_t min_change = 2;
  // A smaller change is published only when the endpoint's last published
  // sample is at least this old.
  duration refresh_interval = 400ms;
  // Age beyond which a sample is expired.
  duration lifetime = 4s;
  // Maximum number of samples in one message. At 16 bytes each, a message stays
  // under 2.1 KB.
  std::size_t max_samples = 128;

  auto operator<=>(const change_feed_options&) const = default;
};

// The newest sample of each endpoint, in the order in which they were
// published.
class load_change_feed {
 public:
  using sequence = std::uint64_t;

  // Samples published after a sequence number, and the last number that is
  // covered.
  struct change_batch {
    std::vector<load_sample> samples;
    sequence up_to = 0;
  };

  explicit load_change_feed(change_feed_options options = {})
      : options_(options) {}

  // Adds a sample unless a newer one of its endpoint is known. The newest
  // failure counts even if the load sample is old.
  auto Put(const load_sample& sample, instant now) -> void;

  // Records a failure that came without a load report.
  auto PutFailure(endpoint_key endpoint, instant now) -> void;

  // Returns the samples published after a sequence number, newest first and
  // limited to one message. A number from before a restart is higher than the
  // last one here and counts as zero.
  [[nodiscard]] auto ChangesSince(sequence since, instant now) const
      -> change_batch;

  [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }

 private:
  struct entry {
    load_sample sample;
    instant taken_at;
    // The last published state: sum of running and waiting requests, time, and
    // sequence number.
    std::uint32_t published_total = 0;
    instant published_at;
    sequence published_sequence = 0;
    std::optional<instant> failed_at;
  };

  auto Publish(entry& item, instant now) -> void;
  auto RemoveExpired(instant now) -> void;

  change_feed_options options_;
  std::unordered_map<endpoint_key, entry> entries_;
  std::map<sequence, endpoint_key> by_sequence_;
  sequence last_sequence_ = 0;
  instant cleanup_at_{};
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_LOAD_CHANGE_FEED_H_
