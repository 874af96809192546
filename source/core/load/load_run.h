// A run of many programs against gateways.
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

// What a run is told.
struct load_options {
  std::vector<net::socket_address> gateways;
  std::string organisation;
  const deployment* where = nullptr;
  std::uint64_t seed = 1;
  plan_options plan;
  client_options client;
};

// How far a run has come.
struct load_progress {
  std::size_t started = 0;
  std::size_t ended = 0;
  std::size_t programs = 0;
};

// The report of a run and whether every answer was right.
struct load_outcome {
  json::object report;
  bool has_wrong_answer = false;
};

// Runs all programs, each from its intended start on whatever became of the
// ones before, and returns when the last has ended. Progress is told about once
// a second.
auto RunLoad(const load_options& options,
             const std::function<void(const load_progress&)>& on_progress)
    -> load_outcome;

}  // namespace daisywind::load

#endif  // DAISYWIND_LOAD_LOAD_RUN_H_
