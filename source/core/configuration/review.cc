#include "configuration/review.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>

namespace daisywind::configuration {
namespace {

auto PathTo(std::string_view section, std::string_view name) -> std::string {
  return AppendPointer(AppendPointer("", section), name);
}

// Adds a finding for each entry of a section that no serving endpoint lists.
template <class Table, class Names>
auto FindUnserved(const document& value,
                  std::string_view section,
                  const Table& table,
                  Names endpoint::*names,
                  std::vector<review_finding>& findings) -> void {
  for (const auto& [id, item] : table) {
    const auto is_served =
        std::any_of(value.endpoints.begin(), value.endpoints.end(),
                    [&, &name = id](const auto& entry) {
                      return entry.second.role == endpoint_role::kServing &&
                             (entry.second.*names).contains(name);
                    });
    if (!is_served) {
      findings.push_back(
          {PathTo(section, id.value), "no serving endpoint lists it"});
    }
  }
}

auto FindSharedKeys(const document& value,
                    std::vector<review_finding>& findings) -> void {
  auto owners = std::map<std::string, std::string>{};
  for (const auto& [id, item] : value.organisations) {
    const auto [owner, is_first] =
        owners.try_emplace(item.key_digest, id.value);
    if (!is_first) {
      findings.push_back({PathTo("organisations", id.value) + "/key_digest",
                          "has the key of '" + owner->second + "'"});
    }
  }
}

auto FindSharedAddresses(const document& value,
                         std::vector<review_finding>& findings) -> void {
  auto owners = std::map<std::string, std::string>{};
  for (const auto& [id, item] : value.endpoints) {
    const auto [owner, is_first] = owners.try_emplace(item.address, id.value);
    if (!is_first) {
      findings.push_back({PathTo("endpoints", id.value) + "/address",
                          "is the address of '" + owner->second + "'"});
    }
  }
}

// Adds a finding if a rate is zero, or if a program of the budget can't use it
// up in its time at that rate.
auto CompareRate(const std::string& path,
                 std::string_view rate_name,
                 double rate,
                 std::string_view amount_name,
                 std::int64_t amount,
                 std::int64_t seconds,
                 std::vector<review_finding>& findings) -> void {
  if (rate == 0.0) {
    findings.push_back({path + "/limits/" + std::string(rate_name),
                        "is zero, which means no limit"});
    return;
  }
  if (seconds > 0 && rate * double(seconds) < double(amount)) {
    findings.push_back({path + "/budget/" + std::string(amount_name),
                        "is more than '" + std::string(rate_name) +
                            "' allows in the budget's seconds"});
  }
}

auto FindContradictingLimits(const document& value,
                             std::vector<review_finding>& findings) -> void {
  for (const auto& [id, item] : value.organisations) {
    if (!item.limits) {
      continue;
    }
    const auto path = PathTo("organisations", id.value);
    const auto amounts = item.budget.value_or(program_budget{});
    CompareRate(path, "tokens_per_second", item.limits->tokens_per_second,
                "tokens", amounts.tokens, amounts.seconds, findings);
    CompareRate(path, "calls_per_second", item.limits->calls_per_second,
                "calls", amounts.calls, amounts.seconds, findings);
  }
}

}  // namespace

auto ReviewDocument(const document& value) -> std::vector<review_finding> {
  auto findings = std::vector<review_finding>{};
  FindUnserved(value, "models", value.models, &endpoint::models, findings);
  FindUnserved(value, "adapters", value.adapters, &endpoint::adapters,
               findings);
  FindUnserved(value, "services", value.services, &endpoint::services,
               findings);
  FindSharedKeys(value, findings);
  FindSharedAddresses(value, findings);
  FindContradictingLimits(value, findings);
  std::sort(findings.begin(), findings.end());
  return findings;
}

}  // namespace daisywind::configuration
