#include "configuration/check.h"

#include <string>

namespace daisywind::configuration {
namespace {

using path_text = std::string;

auto PathTo(std::string_view section, std::string_view name) -> path_text {
  return AppendPointer(AppendPointer("", section), name);
}

auto Fail(path_text path, std::string reason) -> leaf::error_id {
  return leaf::new_error(document_error{std::move(path), std::move(reason)});
}

auto CheckAdapters(const document& value) -> leaf::result<void> {
  for (const auto& [id, item] : value.adapters) {
    if (!value.models.contains(item.base)) {
      return Fail(PathTo("adapters", id.value) + "/model",
                  "names no model of this document");
    }
  }
  return {};
}

template <class Names, class Table>
auto CheckNames(const path_text& path, const Names& names, const Table& table)
    -> leaf::result<void> {
  for (const auto& name : names) {
    if (!table.contains(name)) {
      return Fail(path,
                  "names '" + name.value + "', which is not in this document");
    }
  }
  return {};
}

auto CheckKind(const path_text& path, const endpoint& item)
    -> leaf::result<void> {
  const auto is_engine = item.kind == endpoint_kind::kEngine;
  if (is_engine && !item.services.empty()) {
    return Fail(path + "/services", "an engine has no services");
  }
  if (!is_engine && !item.models.empty()) {
    return Fail(path + "/models", "a service has no models");
  }
  if (!is_engine && !item.adapters.empty()) {
    return Fail(path + "/adapters", "a service has no adapters");
  }
  return {};
}

auto CheckAdaptersOf(const path_text& path,
                     const document& value,
                     const endpoint& item) -> leaf::result<void> {
  for (const auto& name : item.adapters) {
    if (!item.models.contains(value.adapters.at(name).base)) {
      return Fail(path + "/adapters",
                  "'" + name.value + "' is of a model that is not here");
    }
  }
  return {};
}

auto CheckEndpoint(const document& value,
                   const endpoint_id& id,
                   const endpoint& item) -> leaf::result<void> {
  const auto path = PathTo("endpoints", id.value);
  if (item.address.find(':') == std::string::npos) {
    return Fail(path + "/address", "is not of the form host:port");
  }
  if (!value.failure_domains.contains(item.domain)) {
    return Fail(path + "/failure_domain",
                "names no failure domain of this document");
  }
  BOOST_LEAF_CHECK(CheckKind(path, item));
  BOOST_LEAF_CHECK(CheckNames(path + "/models", item.models, value.models));
  BOOST_LEAF_CHECK(
      CheckNames(path + "/adapters", item.adapters, value.adapters));
  BOOST_LEAF_CHECK(
      CheckNames(path + "/services", item.services, value.services));
  return CheckAdaptersOf(path, value, item);
}

auto CountServing(const document& value, const std::string& name)
    -> std::int64_t {
  auto count = std::int64_t{0};
  for (const auto& [id, item] : value.endpoints) {
    const auto has_it = item.models.contains(model_id(name)) ||
                        item.services.contains(service_id(name));
    if (has_it && item.role == endpoint_role::kServing) {
      count += 1;
    }
  }
  return count;
}

auto CheckNeed(const document& value,
               const std::string& name,
               std::int64_t wanted) -> leaf::result<void> {
  const auto path = PathTo("need", name);
  if (!value.models.contains(model_id(name)) &&
      !value.services.contains(service_id(name))) {
    return Fail(path, "names no model or service of this document");
  }
  const auto count = CountServing(value, name);
  if (count < wanted) {
    return Fail(path, "needs " + std::to_string(wanted) +
                          " serving endpoints, the document has " +
                          std::to_string(count));
  }
  return {};
}

}  // namespace

auto CheckDocument(const document& value) -> leaf::result<void> {
  BOOST_LEAF_CHECK(CheckAdapters(value));
  for (const auto& [id, item] : value.endpoints) {
    BOOST_LEAF_CHECK(CheckEndpoint(value, id, item));
  }
  for (const auto& [name, wanted] : value.need) {
    BOOST_LEAF_CHECK(CheckNeed(value, name, wanted));
  }
  return {};
}

}  // namespace daisywind::configuration
