// An open-loop load test: many concurrent programs against the gateways.
#ifndef DAISYWIND_LOAD_LOAD_RUN_H_
#define DAISYWIND_LOAD_LOAD_RUN_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "common/json.h"
#include "load/call_client.h"
#include "load/deployment.h"
#include "load/program_plan.h"
#include "net/http_types.h"

namespace daisywind::load {

// The configuration of a run.
struct load_options {
  std::vector<net::socket_address> gateways;
  std::string organisation;
  const deployment* workload = nullptr;
  std::uint64_t seed = 1;
  plan_options plan;
  client_options client;
};

// Numbers of programs started, ended and planned so far.
struct load_progress {
  std::size_t started = 0;
  std::size_t ended = 0;
  std::size_t programs = 0;
};

// The report of a run, and whether any response had wrong content.
struct load_outcome {
  json::object report;
  bool has_wrong_answer = false;
};

// Runs all programs and returns when the last one has ended. Each starts at its
// intended time, independent of the progress of earlier ones. The progress
// handler is called about once a second, and once at the end.
auto RunLoad(const load_options& options,
             const std::function<void(const load_progress&)>& on_progress)
    -> load_outcome;

}  // namespace daisywind::load

#endif  // DAISYWIND_LOAD_LOAD_RUN_H_
