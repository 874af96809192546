// The settings of a stand-in, which come from its command line.
#ifndef DAISYWIND_STANDIN_OPTIONS_H_
#define DAISYWIND_STANDIN_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "common/time.h"
#include "net/http_types.h"

namespace daisywind::standin {

// Versions of models or adapters by name.
using version_map = std::map<std::string, std::string>;

// Settings of one stand-in, for all roles. run_time, pull_time and the times
// per token are already divided by the time scale; the other durations are not
// scaled.
struct stand_in_options {
  std::string name = "standin";
  // Engines: models and adapters loaded at startup.
  version_map models;
  version_map adapters;
  // Engines: whether orders and pins with a stale fencing number are rejected.
  bool checks_fencing = true;
  // Engines and services: maximum number of concurrent requests.
  std::size_t capacity = 8;
  // Engines: size of the prefix cache, in tokens.
  std::size_t cache_tokens = std::size_t{256} * 1024;
  // Engines: address of the weight store that models are pulled from. Without
  // it, models load immediately.
  std::optional<net::socket_address> weights;
  // Engines: prefill time per prompt token that is not cached.
  duration prefill_per_token = 100us;
  // Engines: decode time per output token.
  duration decode_per_token = 10ms;
  // Engines: how long a request without a connected client keeps running, and
  // how long an ended one can be resumed.
  duration grace = 5s;
  // Engines: minimum age at which the load sample in the metrics is replaced.
  duration metrics_lag = 500ms;
  // Engines: delay until a cache event is published.
  duration events_lag = 200ms;
  // Engines: every n-th cache event is never published; 0 publishes all.
  std::size_t event_gap_every = 50;
  // Services: processing time of a call.
  duration run_time = 20ms;
  // Services: whether a run can be looked up by its idempotency key.
  bool has_lookup = false;
  // Services: file to which the idempotency key of each run is appended before
  // the run starts, so that runs can be counted after a crash. Empty for none.
  std::string runs_file;
  // Weight store: duration of a pull.
  duration pull_time = 2s;
  // Weight store: maximum number of concurrent pulls; further ones get a 429.
  std::size_t max_pulls = 2;
  // VM list: delay until a change becomes visible.
  duration list_lag = 1s;
};

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_OPTIONS_H_
