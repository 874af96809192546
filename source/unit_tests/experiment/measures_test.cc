#include "experiment/measures.h"

#include <doctest/doctest.h>

#include <cmath>

namespace daisywind::experiment {
namespace {

auto MakeRecord(duration latency, program_outcome outcome) -> program_record {
  auto out = program_record{};
  out.latency = latency;
  out.outcome = outcome;
  out.is_measured = true;
  return out;
}

}  // namespace

TEST_CASE("unfinished programs count with infinite latency") {
  const auto records =
      std::vector<program_record>{MakeRecord(1s, program_outcome::kDone),
                                  MakeRecord(2s, program_outcome::kDone),
                                  MakeRecord(1s, program_outcome::kUnfinished)};
  const auto summary = SummariseLatency(records, {});
  CHECK(summary.p50 == 2.0);
  CHECK(std::isinf(summary.p95));
}

TEST_CASE("latency summaries exclude refused programs and the warm-up") {
  auto warm_up = MakeRecord(9s, program_outcome::kDone);
  warm_up.is_measured = false;
  const auto records = std::vector<program_record>{
      MakeRecord(1s, program_outcome::kDone), warm_up,
      MakeRecord(9s, program_outcome::kRefused)};
  CHECK(SummariseLatency(records, {}) == latency_summary{1, 1.0, 1.0, 1.0});
  CHECK(CountOutcome(records, program_outcome::kRefused) == 1);
}

TEST_CASE(
    "goodput counts only programs that end within the interval and deadline") {
  auto good = MakeRecord(1s, program_outcome::kDone);
  good.end = instant{10s};
  good.is_within_deadline = true;
  auto late = good;
  late.end = instant{20s};
  auto slow = good;
  slow.is_within_deadline = false;
  CHECK(CountGood({good, late, slow}, instant{5s}, instant{20s}) == 1);
}

}  // namespace daisywind::experiment
