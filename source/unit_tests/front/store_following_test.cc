// How a front learns of changes in the platform's store.
#include <doctest/doctest.h>

#include <string>

#include "front_harness.h"
#include "history/messages.h"
#include "history_wire/view_json.h"
#include "testing/fake_journal.h"

namespace daisywind::front {

// Regression: each front fetched every version from the store, over a link
// between regions that could not carry them in time.
TEST_CASE(
    "a front does not ask the store while a journal of its region has it") {
  auto harness = front_harness();
  auto journal = testing::fake_journal(harness.context);
  journal.on_request = [&](const history::copy_request&) {
    auto reply = history::copy_reply{};
    reply.store_age = duration(0);
    return reply;
  };
  harness.store.Put(std::string(history::kViewKey),
                    history::RenderView(
                        {1,
                         {{vm_id("j"), history::disk_id("d"), journal.address(),
                           failure_domain_id("d"), region_id("r")}}}));
  REQUIRE(harness.RunUntil([&] { return journal.requests > 0; }));
  const auto waits = harness.store.waits();
  REQUIRE(harness.RunUntil([&] { return journal.requests > 4; }));
  CHECK(harness.store.waits() == waits);
}

}  // namespace daisywind::front
