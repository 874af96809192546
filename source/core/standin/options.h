// What a stand-in is told on its command line.
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

// Names of models or adapters with their versions.
using version_map = std::map<std::string, std::string>;

// Settings of one stand-in of any role. Durations are already divided by the
// time scale.
struct stand_in_options {
  std::string name = "standin";
  // Engines: what is loaded at the start.
  version_map models;
  version_map adapters;
  // Engines: whether orders with an old fencing number are refused.
  bool checks_fencing = true;
  // Requests that run at once.
  std::size_t capacity = 8;
  // Engines: size of the prefix cache, in tokens.
  std::size_t cache_tokens = std::size_t{256} * 1024;
  // Engines: where models are pulled from. Without it they load at once.
  std::optional<net::socket_address> weights;
  // Engines: cost of a prompt token that is not cached.
  duration prefill_per_token = 100us;
  // Engines: time between two tokens of an answer.
  duration decode_per_token = 10ms;
  // Engines: time for which a request without reader goes on.
  duration grace = 5s;
  // Engines: age of the load in the metrics.
  duration metrics_lag = 500ms;
  // Engines: delay of the cache events.
  duration events_lag = 200ms;
  // Engines: one cache event in this many is never published; 0 for none.
  std::size_t event_gap_every = 50;
  // Services: run time of a call.
  duration run_time = 20ms;
  // Services: whether a run can be looked up by its key.
  bool has_lookup = false;
  // Services: a file that gets the key of each run before it starts, so that
  // runs can be counted after a crash. Empty for none.
  std::string runs_file;
  // Weight store: transfer time of a pull.
  duration pull_time = 2s;
  // Weight store: pulls that run at once; more are refused with 429.
  std::size_t max_pulls = 2;
  // VM list: age of the list that is shown.
  duration list_lag = 1s;
};

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_OPTIONS_H_
