// The configuration document: typed values, read from JSON and written to it.
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

// A group of VMs that may fail together, and the region it stands in.
struct failure_domain {
  region_id region;

  auto operator<=>(const failure_domain&) const = default;
};

// A class of an organisation's programs. A lower rank goes first.
struct organisation_class {
  std::int64_t rank = 0;

  auto operator<=>(const organisation_class&) const = default;
};

// Rates that an organisation may use.
struct rate_limits {
  double tokens_per_second = 0;
  double calls_per_second = 0;

  auto operator<=>(const rate_limits&) const = default;
};

// The largest budget that one program may ask for.
struct program_budget {
  std::int64_t tokens = 0;
  std::int64_t calls = 0;
  std::int64_t seconds = 0;

  auto operator<=>(const program_budget&) const = default;
};

// An organisation whose programs run here. Absent limits do not bound.
struct organisation {
  // SHA-256 of the organisation's key, 64 lower-case hexadecimal digits.
  std::string key_digest;
  // Weight among the organisations; greater than zero.
  double share = 1.0;
  std::map<class_id, organisation_class> classes;
  std::optional<rate_limits> limits;
  std::optional<program_budget> budget;

  auto operator<=>(const organisation&) const = default;
};

// A model and the version of its weights that is wanted.
struct model {
  std::string version;

  auto operator<=>(const model&) const = default;
};

// An adapter of a model and the version that is wanted.
struct adapter {
  model_id base;
  std::string version;

  auto operator<=>(const adapter&) const = default;
};

// A plain service. With lookup it can be asked for a run by its key.
struct service {
  bool has_lookup = false;

  auto operator<=>(const service&) const = default;
};

enum class endpoint_kind : std::uint8_t { kEngine, kService };

enum class endpoint_role : std::uint8_t {
  // Takes work.
  kServing,
  // Takes no new work; running work ends.
  kDraining,
  // Nothing is loaded and nothing runs.
  kEmpty,
};

// A back end that calls are sent to.
struct endpoint {
  // "host:port", the host an IP number.
  std::string address;
  failure_domain_id domain;
  endpoint_kind kind = endpoint_kind::kEngine;
  // True when the engine refuses orders with an old fencing number.
  bool checks_fencing = false;
  // Calls that may run at a time; at least one.
  std::int64_t capacity = 1;
  endpoint_role role = endpoint_role::kServing;
  std::set<model_id> models;
  std::set<adapter_id> adapters;
  std::set<service_id> services;

  auto operator<=>(const endpoint&) const = default;
};

// Bounds of a move.
struct migration_settings {
  std::int64_t deadline_seconds = 3600;

  auto operator<=>(const migration_settings&) const = default;
};

// One whole configuration, without its number.
struct document {
  std::map<failure_domain_id, failure_domain> failure_domains;
  std::map<organisation_id, organisation> organisations;
  std::map<model_id, model> models;
  std::map<adapter_id, adapter> adapters;
  std::map<service_id, service> services;
  std::map<endpoint_id, endpoint> endpoints;
  // The least number of serving endpoints of a model or service, by its name.
  std::map<std::string, std::int64_t> need;
  migration_settings migration;

  auto operator<=>(const document&) const = default;
};

// Reads a document. Fails with document_error, whose path is a JSON pointer,
// on an unknown or missing member, a wrong type or a value out of range.
// References between members are checked by CheckDocument in check.h.
auto ReadDocument(const json::value& value) -> leaf::result<document>;

// Parses and reads a document. Fails with document_error.
auto ParseDocument(std::string_view text) -> leaf::result<document>;

// One entry of a section in which two documents differ, by its JSON pointer.
// A value is null where the entry is absent.
struct entry_change {
  std::string pointer;
  json::value before;
  json::value after;
};

// The entries in which two documents differ.
auto ChangedEntries(const document& from, const document& to)
    -> std::vector<entry_change>;

// The document as JSON, with members in the order of their names.
auto ToJson(const document& value) -> json::value;

// The document as JSON text. Equal documents have equal texts.
auto Serialize(const document& value) -> std::string;

// Appends an escaped reference token to a JSON pointer (RFC 6901).
auto AppendPointer(std::string_view path, std::string_view token)
    -> std::string;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_DOCUMENT_H_
