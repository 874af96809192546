#include "fake_kv_service.h"

#include <algorithm>
#include <utility>

namespace daisywind::configuration {

auto fake_kv_service::Execute(const kv::txn_request& request)
    -> kv::txn_response {
  const auto has_succeeded =
      std::all_of(request.compares.begin(), request.compares.end(),
                  [&](const kv::compare& item) {
                    const auto* found = Find(item.key);
                    return (found == nullptr ? 0 : found->mod_revision) ==
                           item.mod_revision;
                  });
  auto response = kv::txn_response{};
  response.has_succeeded = has_succeeded;
  const auto& list = has_succeeded ? request.success : request.failure;
  const auto is_write =
      std::any_of(list.begin(), list.end(), [](const kv::operation& item) {
        return !std::holds_alternative<kv::range_request>(item);
      });
  revision_ += is_write ? 1 : 0;
  for (const auto& item : list) {
    Apply(item, response);
  }
  response.revision_at = revision_;
  return response;
}

auto fake_kv_service::TakeChanged() -> std::vector<kv::key_value> {
  return std::exchange(changed_, {});
}

auto fake_kv_service::Put(std::string key, std::string value) -> void {
  auto request = kv::txn_request{};
  request.success.emplace_back(
      kv::put_request{std::move(key), std::move(value), 0});
  Execute(request);
}

auto fake_kv_service::Find(const std::string& key) const
    -> const kv::key_value* {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &found->second;
}

auto fake_kv_service::Apply(const kv::operation& item,
                            kv::txn_response& response) -> void {
  if (const auto* range = std::get_if<kv::range_request>(&item)) {
    response.ranges.push_back(Range(*range));
  } else if (const auto* put = std::get_if<kv::put_request>(&item)) {
    auto& target = items_[put->key];
    target.key = put->key;
    target.value = put->value;
    target.mod_revision = revision_;
    changed_.push_back(target);
  } else if (const auto* removal = std::get_if<kv::delete_request>(&item)) {
    items_.erase(removal->key);
  }
}

auto fake_kv_service::Range(const kv::range_request& request) const
    -> kv::range_response {
  auto response = kv::range_response{};
  if (request.range_end.empty()) {
    if (const auto* found = Find(request.key)) {
      response.items.push_back(*found);
    }
    return response;
  }
  const auto end = items_.lower_bound(request.range_end);
  for (auto i = items_.lower_bound(request.key); i != end; ++i) {
    response.items.push_back(i->second);
  }
  return response;
}

}  // namespace daisywind::configuration
