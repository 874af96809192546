// In-memory key-value service for tests.
#ifndef DAISYWIND_UNIT_TESTS_CONFIGURATION_FAKE_KV_SERVICE_H_
#define DAISYWIND_UNIT_TESTS_CONFIGURATION_FAKE_KV_SERVICE_H_

#include <map>
#include <string>
#include <vector>

#include "common/kv_types.h"

namespace daisywind::configuration {

// Copying an object simulates taking a backup.
class fake_kv_service {
 public:
  // Executes a transaction.
  auto Execute(const kv::txn_request& request) -> kv::txn_response;

  // Returns the keys written since the last call.
  auto TakeChanged() -> std::vector<kv::key_value>;

  auto Put(std::string key, std::string value) -> void;

  [[nodiscard]] auto Find(const std::string& key) const -> const kv::key_value*;

 private:
  auto Apply(const kv::operation& item, kv::txn_response& response) -> void;
  [[nodiscard]] auto Range(const kv::range_request& request) const
      -> kv::range_response;

  std::map<std::string, kv::key_value> items_;
  std::vector<kv::key_value> changed_;
  kv::revision revision_ = 1;
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_UNIT_TESTS_CONFIGURATION_FAKE_KV_SERVICE_H_
