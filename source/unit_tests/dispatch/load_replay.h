// Replays requests of many fronts to the endpoints of one service, without a
// network: every front has its own endpoint table and chooses with Place().
#ifndef DAISYWIND_UNIT_TESTS_DISPATCH_LOAD_REPLAY_H_
#define DAISYWIND_UNIT_TESTS_DISPATCH_LOAD_REPLAY_H_

#include <cstddef>
#include <cstdint>

#include "common/time.h"
#include "dispatch/endpoint_table.h"
#include "dispatch/placement.h"

namespace daisywind::dispatch {

struct replay_options {
  std::size_t fronts = 73;
  std::size_t endpoints = 52;
  std::uint32_t slots = 6;
  bool is_engine = false;
  duration service_time = 60ms;
  // Share of all slots that the requests need.
  double utilisation = 0.7;
  // Time between two shared reports of an endpoint. Each reaches the fronts
  // within half of it, at most 100 ms.
  duration report_interval = 500ms;
  // Every n-th endpoint takes `slowness` times as long; zero for none.
  std::size_t slow_every = 0;
  double slowness = 3;
  // Whether all shared reports are taken and received at the same moments.
  bool is_in_step = false;
  // Endpoints with a lower number report no load, whatever they have.
  std::size_t false_zeros = 0;
  // Endpoints with a lower number, after the false zeros, never report.
  std::size_t silent = 0;
  duration length = 6s;
  std::uint64_t seed = 1;
  endpoint_options table;
  placement_options placement;
};

struct replay_result {
  // Mean coefficient of variation over the endpoints of the requests held,
  // averaged over windows.
  double variation_100ms = 0;
  double variation_1s = 0;
  // Share of requests that found their endpoint full while another had a free
  // slot.
  double avoidable_waits = 0;
  duration mean_wait{};
  // Requests at endpoint 0, as a multiple of the mean.
  double first_share = 0;
};

auto Replay(const replay_options& options) -> replay_result;

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_UNIT_TESTS_DISPATCH_LOAD_REPLAY_H_
