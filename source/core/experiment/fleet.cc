#include "experiment/fleet.h"

#include <utility>

namespace daisywind::experiment {

fleet::fleet(event_queue& events, const deployment_config& deployment)
    : events_(events), deployment_(deployment) {
  for (const auto& domain : deployment.domains) {
    links_.emplace(
        region_id{domain.region},
        link_fake{deployment.link_bits_per_s, deployment.link_delay});
    for (auto i = 0U; i < domain.engines; ++i) {
      Add(domain, policy::endpoint_kind::kEngine, i);
    }
    for (auto i = 0U; i < domain.services; ++i) {
      Add(domain, policy::endpoint_kind::kService, i);
    }
  }
}

auto fleet::Add(const domain_config& domain,
                policy::endpoint_kind kind,
                std::uint32_t number) -> void {
  const auto is_engine = kind == policy::endpoint_kind::kEngine;
  auto config = deployment_.engine;
  auto item = fleet_endpoint{};
  item.info.id = endpoint_id{domain.name + (is_engine ? "-engine-" : "-app-") +
                             std::to_string(number)};
  item.info.failure_domain = failure_domain_id{domain.name};
  item.info.region = region_id{domain.region};
  item.info.kind = kind;
  if (is_engine) {
    item.info.models = {model_id{std::string{kModelName}}};
  } else {
    item.info.services = {std::string{kServiceName}};
    config.capacity = deployment_.service_capacity;
  }
  item.info.capacity = config.capacity;
  item.backend = std::make_unique<endpoint_fake>(events_, config, ever_cached_);
  index_by_id_[item.info.id] = endpoints_.size();
  endpoints_.push_back(std::move(item));
}

auto fleet::EndpointInfos() const -> std::vector<policy::endpoint_info> {
  auto out = std::vector<policy::endpoint_info>{};
  for (const auto& item : endpoints_) {
    out.push_back(item.info);
  }
  return out;
}

auto fleet::Find(const endpoint_id& id) -> fleet_endpoint& {
  return endpoints_[index_by_id_.at(id)];
}

auto fleet::ArrivalTime(const region_id& from,
                        const region_id& to,
                        double bytes) -> instant {
  if (from == to) {
    return events_.now() + deployment_.near_delay;
  }
  return links_.at(from).Send(bytes, events_.now());
}

auto fleet::RecordStart(std::uint64_t key) -> void {
  if (!started_.insert(key).second) {
    ++double_runs_;
  }
}

auto fleet::HasStarted(std::uint64_t key) const -> bool {
  return started_.contains(key);
}

auto fleet::LinkBytes() const -> double {
  auto sum = 0.0;
  for (const auto& [region, link] : links_) {
    sum += link.bytes();
  }
  return sum;
}

auto fleet::EngineLoad() const -> std::uint32_t {
  auto sum = std::uint32_t{0};
  for (const auto& item : endpoints_) {
    if (item.info.kind == policy::endpoint_kind::kEngine) {
      sum += item.backend->Running() + item.backend->Queued();
    }
  }
  return sum;
}

}  // namespace daisywind::experiment
