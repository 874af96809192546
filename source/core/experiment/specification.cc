#include "experiment/specification.h"

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace daisywind::experiment {
namespace {

auto ReadDocument(const std::string& path) -> leaf::result<json::value> {
  auto file = std::ifstream{path};
  if (!file) {
    return leaf::new_error(
        document_error{path, "cannot be opened for reading"});
  }
  auto text = std::ostringstream{};
  text << file.rdbuf();
  return ParseJson(text.str());
}

auto NumberOr(const json::object& object, std::string_view key, double fallback)
    -> double {
  const auto* item = object.if_contains(key);
  if (item == nullptr || !item->is_number()) {
    return fallback;
  }
  return item->to_number<double>();
}

auto CountOr(const json::object& object,
             std::string_view key,
             std::uint32_t fallback) -> std::uint32_t {
  return static_cast<std::uint32_t>(IntegerOr(object, key, fallback));
}

auto MillisecondsOr(const json::object& object,
                    std::string_view key,
                    duration fallback) -> duration {
  using milliseconds = std::chrono::duration<double, std::milli>;
  const auto value = NumberOr(object, key, milliseconds{fallback}.count());
  return std::chrono::duration_cast<duration>(milliseconds{value});
}

auto SecondsOr(const json::object& object,
               std::string_view key,
               duration fallback) -> duration {
  using seconds = std::chrono::duration<double>;
  const auto value = NumberOr(object, key, seconds{fallback}.count());
  return std::chrono::duration_cast<duration>(seconds{value});
}

auto RangeOf(const json::object& object, std::string_view key) -> range {
  const auto* item = ArrayOrNull(object, key);
  if (item == nullptr || item->size() != 2 || !item->at(0).is_number() ||
      !item->at(1).is_number()) {
    return {};
  }
  return {item->at(0).to_number<double>(), item->at(1).to_number<double>()};
}

// Returns the objects of an array member and skips elements of other types.
auto ObjectsOf(const json::object& object, std::string_view key)
    -> std::vector<const json::object*> {
  auto out = std::vector<const json::object*>{};
  const auto* items = ArrayOrNull(object, key);
  if (items == nullptr) {
    return out;
  }
  for (const auto& item : *items) {
    if (item.is_object()) {
      out.push_back(&item.get_object());
    }
  }
  return out;
}

auto ReadClass(const json::object& object) -> class_config {
  auto out = class_config{};
  out.name = StringOr(object, "name", "");
  out.rank = static_cast<std::int32_t>(IntegerOr(object, "rank", 0));
  out.weight = NumberOr(object, "weight", 1.0);
  out.shared_prompt_tokens = CountOr(object, "shared_prompt_tokens", 0);
  out.shared_prompts = CountOr(object, "shared_prompts", 1);
  out.mean_turns = NumberOr(object, "mean_turns", 1.0);
  out.max_turns = CountOr(object, "max_turns", 1);
  out.new_tokens = RangeOf(object, "new_tokens");
  out.output_tokens = RangeOf(object, "output_tokens");
  out.tool_part = NumberOr(object, "tool_part", 0.0);
  out.tool_ms = RangeOf(object, "tool_ms");
  out.non_idempotent_part = NumberOr(object, "non_idempotent_part", 0.0);
  out.think_part = NumberOr(object, "think_part", 0.0);
  out.mean_think_ms = NumberOr(object, "mean_think_ms", 0.0);
  out.sub_agent_part = NumberOr(object, "sub_agent_part", 0.0);
  out.sub_agents = CountOr(object, "sub_agents", 0);
  out.sub_agent_prompt_tokens = CountOr(object, "sub_agent_prompt_tokens", 0);
  out.deadline_s = NumberOr(object, "deadline_s", out.deadline_s);
  return out;
}

auto ReadDomain(const json::object& object) -> domain_config {
  return {StringOr(object, "name", ""), StringOr(object, "region", ""),
          CountOr(object, "gateways", 0), CountOr(object, "engines", 0),
          CountOr(object, "services", 0)};
}

auto ReadEngine(const json::object& object) -> engine_config {
  auto out = engine_config{};
  out.capacity = CountOr(object, "capacity", out.capacity);
  out.prefill_tokens_per_s =
      NumberOr(object, "prefill_tokens_per_s", out.prefill_tokens_per_s);
  out.decode_ms_per_token =
      NumberOr(object, "decode_ms_per_token", out.decode_ms_per_token);
  out.cache_tokens = CountOr(object, "cache_tokens", out.cache_tokens);
  return out;
}

auto ReadDeployment(const json::object& object) -> deployment_config {
  auto out = deployment_config{};
  out.organisation = StringOr(object, "organisation", "organisation");
  for (const auto* item : ObjectsOf(object, "domains")) {
    out.domains.push_back(ReadDomain(*item));
  }
  for (const auto* item : ObjectsOf(object, "classes")) {
    out.classes.push_back(ReadClass(*item));
  }
  if (const auto* engine = ObjectOrNull(object, "engine")) {
    out.engine = ReadEngine(*engine);
  }
  out.service_capacity =
      CountOr(object, "service_capacity", out.service_capacity);
  out.link_bits_per_s = NumberOr(object, "link_bits_per_s", 30e6);
  out.link_delay = MillisecondsOr(object, "link_delay_ms", out.link_delay);
  out.near_delay = MillisecondsOr(object, "near_delay_ms", out.near_delay);
  out.client_delay =
      MillisecondsOr(object, "client_delay_ms", out.client_delay);
  out.report_interval =
      MillisecondsOr(object, "report_interval_ms", out.report_interval);
  out.report_lag = MillisecondsOr(object, "report_lag_ms", out.report_lag);
  out.cache_event_interval = MillisecondsOr(object, "cache_event_interval_ms",
                                            out.cache_event_interval);
  out.cache_event_lag =
      MillisecondsOr(object, "cache_event_lag_ms", out.cache_event_lag);
  out.cache_event_loss =
      NumberOr(object, "cache_event_loss", out.cache_event_loss);
  return out;
}

auto ReadFault(const json::object& object) -> leaf::result<fault> {
  static const auto kinds = std::map<std::string, fault_kind>{
      {"domain_lost", fault_kind::kDomainLost},
      {"endpoint_crash", fault_kind::kEndpointCrash},
      {"slow_endpoint", fault_kind::kSlowEndpoint},
      {"retry_storm", fault_kind::kRetryStorm}};
  const auto kind = kinds.find(StringOr(object, "kind", ""));
  if (kind == kinds.end()) {
    return leaf::new_error(
        document_error{"/faults",
                       "unknown kind, expected domain_lost, endpoint_crash, "
                       "slow_endpoint or retry_storm"});
  }
  return fault{kind->second,
               SecondsOr(object, "at_s", 0s),
               SecondsOr(object, "for_s", 0s),
               StringOr(object, "domain", ""),
               CountOr(object, "engine", 0),
               NumberOr(object, "factor", 1.0)};
}

auto ReadLists(const json::object& object, specification& out) -> void {
  const auto empty = json::array{};
  const auto* loads = ArrayOrNull(object, "loads");
  for (const auto& item : loads != nullptr ? *loads : empty) {
    out.loads.push_back(item.to_number<double>());
  }
  const auto* policies = ArrayOrNull(object, "policies");
  for (const auto& item : policies != nullptr ? *policies : empty) {
    out.policies.emplace_back(item.as_string());
  }
  const auto* seeds = ArrayOrNull(object, "seeds");
  for (const auto& item : seeds != nullptr ? *seeds : empty) {
    out.seeds.push_back(item.to_number<std::uint64_t>());
  }
}

}  // namespace

auto ReadSpecification(const std::string& path) -> leaf::result<specification> {
  BOOST_LEAF_AUTO(document, ReadDocument(path));
  if (!document.is_object()) {
    return leaf::new_error(
        document_error{path, "expected a JSON object at the top level"});
  }
  const auto& object = document.get_object();
  auto out = specification{};
  const auto specification_path = std::filesystem::path{path};
  out.name = specification_path.stem().string();
  const auto deployment_path =
      specification_path.parent_path() / StringOr(object, "deployment", "");
  BOOST_LEAF_AUTO(deployment, ReadDocument(deployment_path.string()));
  if (!deployment.is_object()) {
    return leaf::new_error(document_error{
        deployment_path.string(), "expected a JSON object at the top level"});
  }
  out.deployment = ReadDeployment(deployment.get_object());
  ReadLists(object, out);
  out.warm_up = SecondsOr(object, "warm_up_s", out.warm_up);
  out.measured = SecondsOr(object, "measured_s", out.measured);
  out.drain = SecondsOr(object, "drain_s", out.drain);
  for (const auto* item : ObjectsOf(object, "faults")) {
    BOOST_LEAF_AUTO(read, ReadFault(*item));
    out.faults.push_back(read);
  }
  return out;
}

}  // namespace daisywind::experiment
