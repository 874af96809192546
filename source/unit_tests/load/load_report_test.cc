#include "load/load_report.h"

#include <doctest/doctest.h>

namespace daisywind::load {

TEST_CASE("percentiles use the nearest-rank method") {
  auto times = std::vector<duration>{};
  for (auto i = 100; i > 0; --i) {
    times.emplace_back(i);
  }
  CHECK(Percentile(times, 0.50) == 50us);
  CHECK(Percentile(times, 0.99) == 99us);
  CHECK(Percentile({7us}, 0.01) == 7us);
  CHECK(Percentile({}, 0.50) == 0us);
}

TEST_CASE("a report counts programs, keys and wasted tokens") {
  auto report = load_report("choclo");
  auto plan = program_plan{};
  plan.class_name = "vendor";
  auto finished = program_result{};
  finished.tokens = {100, 64, 48};
  finished.service_calls = {{"k1", call_status::kDone}};
  auto in_doubt = program_result{};
  in_doubt.status = program_status::kInDoubt;
  in_doubt.service_calls = {{"k2", call_status::kInDoubt}};
  report.RecordStart();
  report.RecordStart();
  report.RecordEnd(plan, finished, 2ms, 1500ms);
  report.RecordEnd(plan, in_doubt, 9ms, 1500ms);
  const auto out = report.ToJson({});
  CHECK(out.at("programs") == json::value({{"started", 2},
                                           {"finished", 1},
                                           {"wrong", 0},
                                           {"in_doubt", 1},
                                           {"refused", 0}}));
  CHECK(out.at("prompt_tokens").at("wasted") == 16);
  CHECK(out.at("latency_ms").at("by_class").at("choclo/vendor").at("p99") ==
        2.0);
  CHECK(out.at("finished_per_second") == json::value({0, 1}));
  CHECK(out.at("service_keys").at("in_doubt") ==
        json::value(json::array{"k2"}));
  CHECK(out.at("unfinished").as_array().size() == 1);
}

TEST_CASE("the slowest programs are listed, slowest first") {
  auto report = load_report("choclo");
  for (auto i = std::size_t{0}; i < 12; ++i) {
    auto plan = program_plan{};
    plan.index = i;
    report.RecordEnd(plan, {}, duration(i), {});
  }
  const auto out = report.ToJson({});
  const auto& slowest = out.at("slowest").as_array();
  REQUIRE(slowest.size() == load_report::kMaxListedSlowest);
  CHECK(slowest.front().at("program") == 11);
  CHECK(slowest.back().at("program") == 2);
}

}  // namespace daisywind::load
