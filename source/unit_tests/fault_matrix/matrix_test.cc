#include "fault_matrix/matrix.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace daisywind::fault_matrix {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr std::size_t kSampledPairs = 1000;
constexpr auto kMutationSeeds = std::to_array<std::uint64_t>({1, 2, 3});

auto CheckCases(const std::vector<matrix_case>& cases) -> void {
  for (const auto& item : cases) {
    const auto result = RunCase(item, MatrixOptions());
    for (const auto& broken : result.violations) {
      FAIL_CHECK(ToString(item)
                 << ": " << NameOf(broken.guarantee) << ": " << broken.detail);
    }
  }
}

// Runs single faults and sampled pairs of faults, seed by seed, until the
// checker reports a violation of the guarantee.
auto IsDetected(const program::protocol_mutations& mutations,
                guarantee_kind guarantee) -> bool {
  auto options = MatrixOptions();
  options.mutations = mutations;
  const auto violates = [&](const matrix_case& item) {
    const auto result = RunCase(item, options);
    return std::any_of(result.violations.begin(), result.violations.end(),
                       [guarantee](const auto& broken) {
                         return broken.guarantee == guarantee;
                       });
  };
  for (const auto seed : kMutationSeeds) {
    auto cases = SingleFaultCases(seed);
    const auto pairs = FaultPairCases(seed, kSampledPairs);
    cases.insert(cases.end(), pairs.begin(), pairs.end());
    if (std::any_of(cases.begin(), cases.end(), violates)) {
      return true;
    }
  }
  return false;
}

}  // namespace

TEST_CASE("a program without faults finishes with every answer") {
  for (const auto kind : {scenario::kWorkflow, scenario::kLoop}) {
    const auto result = RunCase({kSeed, kind, {}}, MatrixOptions());
    CHECK(result.violations.empty());
    CHECK(result.is_finished);
    CHECK(result.unknown == 0);
  }
}

TEST_CASE("every single fault at every step keeps the guarantees") {
  CheckCases(SingleFaultCases(kSeed));
}

TEST_CASE("a sample of pairs of faults keeps the guarantees") {
  CheckCases(FaultPairCases(kSeed, kSampledPairs));
}

TEST_CASE("the same seed gives the same history") {
  const auto item = FaultPairCases(kSeed, 1).front();
  CHECK(RunCase(item, MatrixOptions()).events ==
        RunCase(item, MatrixOptions()).events);
}

TEST_CASE("the checker detects a send before the acknowledgement") {
  auto mutations = program::protocol_mutations{};
  mutations.send_before_ack = true;
  CHECK(IsDetected(mutations, guarantee_kind::kAtMostOnce));
}

TEST_CASE("the checker detects a skipped budget reservation") {
  auto mutations = program::protocol_mutations{};
  mutations.skip_reservation = true;
  CHECK(IsDetected(mutations, guarantee_kind::kBudget));
}

TEST_CASE("the checker detects a retried call that is not idempotent") {
  auto mutations = program::protocol_mutations{};
  mutations.retry_non_idempotent = true;
  CHECK(IsDetected(mutations, guarantee_kind::kAtMostOnce));
}

TEST_CASE("the checker detects an epoch that is not closed") {
  auto mutations = program::protocol_mutations{};
  mutations.keep_epoch_open = true;
  CHECK(IsDetected(mutations, guarantee_kind::kAtMostOnce));
}

TEST_CASE("the checker detects memory that is not released") {
  auto mutations = program::protocol_mutations{};
  mutations.skip_release = true;
  CHECK(IsDetected(mutations, guarantee_kind::kMemoryReleased));
}

TEST_CASE("the checker detects turns that run out of order") {
  auto mutations = program::protocol_mutations{};
  mutations.skip_turn_order = true;
  CHECK(IsDetected(mutations, guarantee_kind::kTurnOrder));
}

TEST_CASE("the checker detects an answer mixed from two runs") {
  auto mutations = program::protocol_mutations{};
  mutations.skip_prefix_check = true;
  CHECK(IsDetected(mutations, guarantee_kind::kWholeAnswer));
}

}  // namespace daisywind::fault_matrix
