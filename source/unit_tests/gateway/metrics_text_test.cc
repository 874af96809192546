#include "gateway/metrics_text.h"

#include <doctest/doctest.h>

#include <string>

namespace daisywind::gateway {

TEST_CASE("the first sample of a gauge is read") {
  const auto text = std::string(
      "# HELP running Requests\nrunning{model=\"a\"} 12.0\nwaiting 3\n"
      "running{model=\"b\"} 5\n");
  CHECK(ReadGauge(text, "running") == 12U);
  CHECK(ReadGauge(text, "waiting") == 3U);
  CHECK(ReadGauge("running -1\n", "running") == 0U);
}

TEST_CASE("a truncated list of metrics is no report of an idle endpoint") {
  CHECK(!ReadGauge("", "running"));
  CHECK(!ReadGauge("waiting 3\n", "running"));
  CHECK(!ReadGauge("waiting 3\nrunning 12", "running"));
  CHECK(!ReadGauge("running many\n", "running"));
}

}  // namespace daisywind::gateway
