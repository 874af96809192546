#include "configuration/document.h"

#include <algorithm>
#include <array>
#include <utility>

#include "configuration/document_reader.h"

namespace daisywind::configuration {
namespace {

constexpr auto kDigestDigits = std::size_t{64};

constexpr auto kKindNames =
    std::array<std::pair<endpoint_kind, std::string_view>, 2>{{
        {endpoint_kind::kEngine, "engine"},
        {endpoint_kind::kService, "service"},
    }};

constexpr auto kRoleNames =
    std::array<std::pair<endpoint_role, std::string_view>, 3>{{
        {endpoint_role::kServing, "serving"},
        {endpoint_role::kDraining, "draining"},
        {endpoint_role::kEmpty, "empty"},
    }};

template <class Names, class Enum>
auto NameOf(const Names& names, Enum value) -> std::string_view {
  const auto* const found =
      std::find_if(names.begin(), names.end(),
                   [&](const auto& entry) { return entry.first == value; });
  return found->second;
}

template <class Enum, std::size_t Count>
auto ReadEnum(const object_reader& reader,
              std::string_view name,
              const std::array<std::pair<Enum, std::string_view>, Count>& names)
    -> leaf::result<Enum> {
  BOOST_LEAF_AUTO(text, reader.String(name));
  auto allowed = std::string{};
  for (const auto& entry : names) {
    if (entry.second == text) {
      return entry.first;
    }
    allowed += allowed.empty() ? "" : ", ";
    allowed += entry.second;
  }
  return reader.Fail(name, "must be one of " + allowed);
}

auto IsDigest(const std::string& text) -> bool {
  return text.size() == kDigestDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

auto ReadFailureDomain(const json::value& value, std::string path)
    -> leaf::result<failure_domain> {
  BOOST_LEAF_AUTO(reader, object_reader::Open(value, std::move(path)));
  BOOST_LEAF_CHECK(reader.AllowOnly({"region"}));
  BOOST_LEAF_AUTO(region, reader.String("region"));
  return failure_domain{region_id(std::move(region))};
}

auto ReadClass(const json::value& value, std::string path)
    -> leaf::result<organisation_class> {
  BOOST_LEAF_AUTO(reader, object_reader::Open(value, std::move(path)));
  BOOST_LEAF_CHECK(reader.AllowOnly({"rank"}));
  BOOST_LEAF_AUTO(rank, reader.Integer("rank", {}));
  return organisation_class{rank};
}

auto ReadLimits(const json::value& value, std::string path)
    -> leaf::result<rate_limits> {
  BOOST_LEAF_AUTO(reader, object_reader::Open(value, std::move(path)));
  BOOST_LEAF_CHECK(reader.AllowOnly({"tokens_per_second", "calls_per_second"}));
  BOOST_LEAF_AUTO(tokens, reader.Number("tokens_per_second"));
  BOOST_LEAF_AUTO(calls, reader.Number("calls_per_second"));
  return rate_limits{tokens, calls};
}

auto ReadBudget(const json::value& value, std::string path)
    -> leaf::result<program_budget> {
  BOOST_LEAF_AUTO(reader, object_reader::Open(value, std::move(path)));
  BOOST_LEAF_CHECK(reader.AllowOnly({"tokens", "calls", "seconds"}));
  BOOST_LEAF_AUTO(tokens, reader.Integer("tokens", {}));
  BOOST_LEAF_AUTO(calls, reader.Integer("calls", {}));
  BOOST_LEAF_AUTO(seconds, reader.Integer("seconds", {}));
  return program_budget{tokens, calls, seconds};
}

auto ReadOrganisation(const json::value& value, std::string path)
    -> leaf::result<organisation> {
  BOOST_LEAF_AUTO(reader, object_reader::Open(value, std::move(path)));
  BOOST_LEAF_CHECK(
      reader.AllowOnly({"key_digest", "share", "classes", "limits", "budget"}));
  auto to = organisation{};
  BOOST_LEAF_ASSIGN(to.key_digest, reader.String("key_digest"));
  if (!IsDigest(to.key_digest)) {
    return reader.Fail("key_digest",
                       "must be 64 lower-case hexadecimal digits");
  }
  BOOST_LEAF_ASSIGN(to.share, reader.Number("share", 1.0));
  if (to.share <= 0) {
    return reader.Fail("share", "must be greater than zero");
  }
  BOOST_LEAF_ASSIGN(to.classes, (reader.Entries<class_id, organisation_class>(
                                    "classes", ReadClass)));
  BOOST_LEAF_ASSIGN(to.limits,
                    reader.Optional<rate_limits>("limits", ReadLimits));
  BOOST_LEAF_ASSIGN(to.budget,
                    reader.Optional<program_budget>("budget", ReadBudget));
  return to;
}

auto ReadModel(const json::value& value, std::string path)
    -> leaf::result<model> {
  BOOST_LEAF_AUTO(reader, object_reader::Open(value, std::move(path)));
  BOOST_LEAF_CHECK(reader.AllowOnly({"version"}));
  BOOST_LEAF_AUTO(version, reader.String("version"));
  return model{std::move(version)};
}

auto ReadAdapter(const json::value& value, std::string path)
    -> leaf::result<adapter> {
  BOOST_LEAF_AUTO(reader, object_reader::Open(value, std::move(path)));
  BOOST_LEAF_CHECK(reader.AllowOnly({"model", "version"}));
  BOOST_LEAF_AUTO(base, reader.String("model"));
  BOOST_LEAF_AUTO(version, reader.String("version"));
  return adapter{model_id(std::move(base)), std::move(version)};
}

auto ReadService(const json::value& value, std::string path)
    -> leaf::result<service> {
  BOOST_LEAF_AUTO(reader, object_reader::Open(value, std::move(path)));
  BOOST_LEAF_CHECK(reader.AllowOnly({"lookup"}));
  BOOST_LEAF_AUTO(has_lookup, reader.Bool("lookup", false));
  return service{has_lookup};
}

auto ReadEndpoint(const json::value& value, std::string path)
    -> leaf::result<endpoint> {
  BOOST_LEAF_AUTO(reader, object_reader::Open(value, std::move(path)));
  BOOST_LEAF_CHECK(
      reader.AllowOnly({"address", "failure_domain", "kind", "checks_fencing",
                        "capacity", "role", "models", "adapters", "services"}));
  auto to = endpoint{};
  BOOST_LEAF_ASSIGN(to.address, reader.String("address"));
  BOOST_LEAF_ASSIGN(to.domain.value, reader.String("failure_domain"));
  BOOST_LEAF_ASSIGN(to.kind, ReadEnum(reader, "kind", kKindNames));
  BOOST_LEAF_ASSIGN(to.checks_fencing, reader.Bool("checks_fencing", false));
  BOOST_LEAF_ASSIGN(to.capacity, reader.Integer("capacity", {1}));
  BOOST_LEAF_ASSIGN(to.role, ReadEnum(reader, "role", kRoleNames));
  BOOST_LEAF_ASSIGN(to.models, reader.Names<model_id>("models"));
  BOOST_LEAF_ASSIGN(to.adapters, reader.Names<adapter_id>("adapters"));
  BOOST_LEAF_ASSIGN(to.services, reader.Names<service_id>("services"));
  return to;
}

auto ReadNeed(const json::value& value, std::string path)
    -> leaf::result<std::int64_t> {
  auto error = json::error_code{};
  const auto number = value.to_number<std::int64_t>(error);
  if (error || number < 0) {
    return leaf::new_error(document_error{
        std::move(path), "must be an integer greater than or equal to zero"});
  }
  return number;
}

auto ReadMigration(const json::value& value, std::string path)
    -> leaf::result<migration_settings> {
  BOOST_LEAF_AUTO(reader, object_reader::Open(value, std::move(path)));
  BOOST_LEAF_CHECK(reader.AllowOnly({"deadline_seconds"}));
  auto to = migration_settings{};
  BOOST_LEAF_ASSIGN(to.deadline_seconds, reader.Integer("deadline_seconds", {1},
                                                        to.deadline_seconds));
  return to;
}

auto ToJson(const failure_domain& from) -> json::value {
  return {{"region", from.region.value}};
}

auto ToJson(const organisation_class& from) -> json::value {
  return {{"rank", from.rank}};
}

auto ToJson(const model& from) -> json::value {
  return {{"version", from.version}};
}

auto ToJson(const adapter& from) -> json::value {
  return {{"model", from.base.value}, {"version", from.version}};
}

auto ToJson(const service& from) -> json::value {
  return {{"lookup", from.has_lookup}};
}

auto ToJson(std::int64_t from) -> json::value {
  return json::value(from);
}

auto ToJson(const organisation& from) -> json::value;
auto ToJson(const endpoint& from) -> json::value;

auto ToText(const std::string& name) -> const std::string& {
  return name;
}

template <class Tag>
auto ToText(const strong_name<Tag>& name) -> const std::string& {
  return name.value;
}

template <class Entries>
auto EntriesToJson(const Entries& entries) -> json::object {
  auto object = json::object{};
  for (const auto& entry : entries) {
    object.emplace(ToText(entry.first), ToJson(entry.second));
  }
  return object;
}

template <class Names>
auto NamesToJson(const Names& names) -> json::array {
  auto array = json::array{};
  for (const auto& name : names) {
    array.emplace_back(name.value);
  }
  return array;
}

template <class Entries>
auto CollectChanges(std::string_view section,
                    const Entries& from,
                    const Entries& to,
                    std::vector<entry_change>& changes) -> void {
  const auto path = AppendPointer("", section);
  for (const auto& [name, entry] : from) {
    const auto found = to.find(name);
    if (found == to.end()) {
      changes.push_back(
          {AppendPointer(path, ToText(name)), ToJson(entry), nullptr});
    } else if (found->second != entry) {
      changes.push_back({AppendPointer(path, ToText(name)), ToJson(entry),
                         ToJson(found->second)});
    }
  }
  for (const auto& [name, entry] : to) {
    if (!from.contains(name)) {
      changes.push_back(
          {AppendPointer(path, ToText(name)), nullptr, ToJson(entry)});
    }
  }
}

auto ToJson(const organisation& from) -> json::value {
  auto object = json::object{};
  if (from.budget) {
    object["budget"] = {{"tokens", from.budget->tokens},
                        {"calls", from.budget->calls},
                        {"seconds", from.budget->seconds}};
  }
  object["classes"] = EntriesToJson(from.classes);
  object["key_digest"] = from.key_digest;
  if (from.limits) {
    object["limits"] = {{"tokens_per_second", from.limits->tokens_per_second},
                        {"calls_per_second", from.limits->calls_per_second}};
  }
  object["share"] = from.share;
  return object;
}

auto ToJson(const endpoint& from) -> json::value {
  auto object = json::object{};
  object["adapters"] = NamesToJson(from.adapters);
  object["address"] = from.address;
  object["capacity"] = from.capacity;
  object["checks_fencing"] = from.checks_fencing;
  object["failure_domain"] = from.domain.value;
  object["kind"] = NameOf(kKindNames, from.kind);
  object["models"] = NamesToJson(from.models);
  object["role"] = NameOf(kRoleNames, from.role);
  object["services"] = NamesToJson(from.services);
  return object;
}

}  // namespace

auto ReadDocument(const json::value& value) -> leaf::result<document> {
  BOOST_LEAF_AUTO(reader, object_reader::Open(value, ""));
  BOOST_LEAF_CHECK(reader.AllowOnly({"failure_domains", "organisations",
                                     "models", "adapters", "services",
                                     "endpoints", "need", "migration"}));
  auto to = document{};
  BOOST_LEAF_ASSIGN(to.failure_domains,
                    (reader.Entries<failure_domain_id, failure_domain>(
                        "failure_domains", ReadFailureDomain)));
  BOOST_LEAF_ASSIGN(to.organisations,
                    (reader.Entries<organisation_id, organisation>(
                        "organisations", ReadOrganisation)));
  BOOST_LEAF_ASSIGN(to.models,
                    (reader.Entries<model_id, model>("models", ReadModel)));
  BOOST_LEAF_ASSIGN(to.adapters, (reader.Entries<adapter_id, adapter>(
                                     "adapters", ReadAdapter)));
  BOOST_LEAF_ASSIGN(to.services, (reader.Entries<service_id, service>(
                                     "services", ReadService)));
  BOOST_LEAF_ASSIGN(to.endpoints, (reader.Entries<endpoint_id, endpoint>(
                                      "endpoints", ReadEndpoint)));
  BOOST_LEAF_ASSIGN(
      to.need, (reader.Entries<std::string, std::int64_t>("need", ReadNeed)));
  BOOST_LEAF_AUTO(migration, reader.Optional<migration_settings>(
                                 "migration", ReadMigration));
  to.migration = migration.value_or(migration_settings{});
  return to;
}

auto ParseDocument(std::string_view text) -> leaf::result<document> {
  BOOST_LEAF_AUTO(value, ParseJson(text));
  return ReadDocument(value);
}

auto ChangedEntries(const document& from, const document& to)
    -> std::vector<entry_change> {
  auto changes = std::vector<entry_change>{};
  CollectChanges("adapters", from.adapters, to.adapters, changes);
  CollectChanges("endpoints", from.endpoints, to.endpoints, changes);
  CollectChanges("failure_domains", from.failure_domains, to.failure_domains,
                 changes);
  CollectChanges("models", from.models, to.models, changes);
  CollectChanges("need", from.need, to.need, changes);
  CollectChanges("services", from.services, to.services, changes);
  CollectChanges("organisations", from.organisations, to.organisations,
                 changes);
  const auto before = from.migration.deadline_seconds;
  const auto after = to.migration.deadline_seconds;
  if (before != after) {
    changes.push_back({"/migration/deadline_seconds", before, after});
  }
  return changes;
}

auto ToJson(const document& value) -> json::value {
  auto object = json::object{};
  object["adapters"] = EntriesToJson(value.adapters);
  object["endpoints"] = EntriesToJson(value.endpoints);
  object["failure_domains"] = EntriesToJson(value.failure_domains);
  object["migration"] = {
      {"deadline_seconds", value.migration.deadline_seconds}};
  object["models"] = EntriesToJson(value.models);
  object["need"] = EntriesToJson(value.need);
  object["services"] = EntriesToJson(value.services);
  object["organisations"] = EntriesToJson(value.organisations);
  return object;
}

auto Serialize(const document& value) -> std::string {
  return json::serialize(ToJson(value));
}

auto AppendPointer(std::string_view path, std::string_view token)
    -> std::string {
  auto pointer = std::string(path) + "/";
  for (const auto letter : token) {
    if (letter == '~') {
      pointer += "~0";
    } else if (letter == '/') {
      pointer += "~1";
    } else {
      pointer += letter;
    }
  }
  return pointer;
}

}  // namespace daisywind::configuration
