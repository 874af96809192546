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
                  "refers to a model that this document does not define");
    }
  }
  return {};
}

template <class Names, class Table>
auto CheckNames(const path_text& path, const Names& names, const Table& table)
    -> leaf::result<void> {
  for (const auto& name : names) {
    if (!table.contains(name)) {
      return Fail(path, "refers to '" + name.value +
                            "', which this document does not define");
    }
  }
  return {};
}

auto CheckKind(const path_text& path, const endpoint& item)
    -> leaf::result<void> {
  const auto is_engine = item.kind == endpoint_kind::kEngine;
  if (is_engine && !item.services.empty()) {
    return Fail(path + "/services",
                "must be empty for an endpoint of kind 'engine'");
  }
  if (!is_engine && !item.models.empty()) {
    return Fail(path + "/models",
                "must be empty for an endpoint of kind 'service'");
  }
  if (!is_engine && !item.adapters.empty()) {
    return Fail(path + "/adapters",
                "must be empty for an endpoint of kind 'service'");
  }
  return {};
}

auto CheckAdaptersOf(const path_text& path,
                     const document& value,
                     const endpoint& item) -> leaf::result<void> {
  for (const auto& name : item.adapters) {
    if (!item.models.contains(value.adapters.at(name).base)) {
      return Fail(
          path + "/adapters",
          "'" + name.value +
              "' requires a base model that this endpoint does not list");
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
    return Fail(
        path + "/failure_domain",
        "refers to a failure domain that this document does not define");
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
    const auto serves_it = item.models.contains(model_id(name)) ||
                           item.services.contains(service_id(name));
    if (serves_it && item.role == endpoint_role::kServing) {
      count += 1;
    }
  }
  return count;
}

auto CheckNeed(const document& value,
               const std::string& name,
               std::int64_t required) -> leaf::result<void> {
  const auto path = PathTo("need", name);
  if (!value.models.contains(model_id(name)) &&
      !value.services.contains(service_id(name))) {
    return Fail(
        path,
        "refers to a model or service that this document does not define");
  }
  const auto count = CountServing(value, name);
  if (count < required) {
    return Fail(path, "requires at least " + std::to_string(required) +
                          " serving endpoints, but the document has " +
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
  for (const auto& [name, required] : value.need) {
    BOOST_LEAF_CHECK(CheckNeed(value, name, required));
  }
  return {};
}

}  // namespace daisywind::configuration
