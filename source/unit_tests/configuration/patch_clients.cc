#include "patch_clients.h"

#include <doctest/doctest.h>

#include "configuration/storage.h"

namespace daisywind::configuration {

auto CheckedHistory(fake_fleet& fleet)
    -> std::map<std::string, version_number> {
  const auto response = fleet.service.Execute(HistoryRequest(1));
  auto stored = std::map<std::string, version_number>{};
  auto number = version_number{0};
  const auto read = ReadHistoryState(response).value();
  for (const auto& record : read.entries) {
    number += 1;
    CHECK(record.info.ref.number == number);
    CHECK(stored.emplace(record.info.patch_id, number).second);
  }
  stored.erase("init");
  return stored;
}

}  // namespace daisywind::configuration
