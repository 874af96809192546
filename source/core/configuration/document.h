// The typed configuration document and its conversion from and to JSON.
#ifndef DAISYWIND_CONFIGURATION_DOCUMENT_H_
#define DAISYWIND_CONFIGURATION_DOCUMENT_H_

#include <boost/leaf/result.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.h"
#include "common/json.h"

namespace daisywind::configuration {

using service_id = strong_name<struct service_tag>;

// A group of VMs that may fail together, and the region where it is located.
struct failure_domain {
  region_id region;

  auto operator<=>(const failure_domain&) const = default;
};

// A class of an organisation's programs. A lower rank has higher priority.
struct organisation_class {
  std::int64_t rank = 0;

  auto operator<=>(const organisation_class&) const = default;
};

// The highest rates that an organisation may use.
struct rate_limits {
  double tokens_per_second = 0;
  double calls_per_second = 0;

  auto operator<=>(const rate_limits&) const = default;
};

// The largest budget that one program may request.
struct program_budget {
  std::int64_t tokens = 0;
  std::int64_t calls = 0;
  std::int64_t seconds = 0;

  auto operator<=>(const program_budget&) const = default;
};

// An organisation whose programs this deployment runs. An absent limit or
// budget means unlimited.
struct organisation {
  // SHA-256 of the organisation's key, 64 lower-case hexadecimal digits.
  std::string key_digest;
  // Relative weight of this organisation's share; greater than zero.
  double share = 1.0;
  std::map<class_id, organisation_class> classes;
  std::optional<rate_limits> limits;
  std::optional<program_budget> budget;

  auto operator<=>(const organisation&) const = default;
};

// A model and the version of its weights to be served.
struct model {
  std::string version;

  auto operator<=>(const model&) const = default;
};

// An adapter of a base model and the adapter version to be served.
struct adapter {
  model_id base;
  std::string version;

  auto operator<=>(const adapter&) const = default;
};

// A service other than a model. With lookup, it can be queried by a call's key
// whether it has run that call.
struct service {
  bool has_lookup = false;

  auto operator<=>(const service&) const = default;
};

enum class endpoint_kind : std::uint8_t { kEngine, kService };

enum class endpoint_role : std::uint8_t {
  // Accepts new work.
  kServing,
  // Accepts no new work; work in progress runs to completion.
  kDraining,
  // Has nothing loaded and no work in progress.
  kEmpty,
};

// A back end that calls are sent to.
struct endpoint {
  // "host:port"; the host is a numeric IP address.
  std::string address;
  failure_domain_id domain;
  endpoint_kind kind = endpoint_kind::kEngine;
  // True when the engine rejects orders with an outdated fencing token.
  bool checks_fencing = false;
  // Maximum number of concurrent calls; at least one.
  std::int64_t capacity = 1;
  endpoint_role role = endpoint_role::kServing;
  std::set<model_id> models;
  std::set<adapter_id> adapters;
  std::set<service_id> services;

  auto operator<=>(const endpoint&) const = default;
};

// Limits of a migration.
struct migration_settings {
  std::int64_t deadline_seconds = 3600;

  auto operator<=>(const migration_settings&) const = default;
};

// One complete configuration, without its version number.
struct document {
  std::map<failure_domain_id, failure_domain> failure_domains;
  std::map<organisation_id, organisation> organisations;
  std::map<model_id, model> models;
  std::map<adapter_id, adapter> adapters;
  std::map<service_id, service> services;
  std::map<endpoint_id, endpoint> endpoints;
  // Minimum number of serving endpoints, by the name of the model or service.
  std::map<std::string, std::int64_t> need;
  migration_settings migration;

  auto operator<=>(const document&) const = default;
};

// Converts JSON to a document. Fails with document_error, whose path is a JSON
// pointer, on an unknown or missing member, a wrong type or a value out of
// range. References between members are validated by CheckDocument in check.h.
auto ReadDocument(const json::value& value) -> leaf::result<document>;

// Parses JSON text and converts it to a document. Fails with document_error.
auto ParseDocument(std::string_view text) -> leaf::result<document>;

// One entry of a document section that differs between two documents,
// identified by its JSON pointer. A value is null where the entry is absent.
struct entry_change {
  std::string pointer;
  json::value before;
  json::value after;
};

// All entries that differ between two documents.
auto ChangedEntries(const document& from, const document& to)
    -> std::vector<entry_change>;

// The document as JSON, with members in the order of their names.
auto ToJson(const document& value) -> json::value;

// The document as JSON text. Equal documents produce equal texts.
auto Serialize(const document& value) -> std::string;

// Appends an escaped reference token to a JSON pointer (RFC 6901).
auto AppendPointer(std::string_view path, std::string_view token)
    -> std::string;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_DOCUMENT_H_
