// The endpoints of a trial and the network between regions.
#ifndef DAISYWIND_EXPERIMENT_FLEET_H_
#define DAISYWIND_EXPERIMENT_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "common/random.h"
#include "experiment/endpoint_fake.h"
#include "experiment/event_queue.h"
#include "experiment/link_fake.h"
#include "experiment/measures.h"
#include "experiment/specification.h"
#include "policy/types.h"

namespace daisywind::experiment {

// Names of the model and the service that all calls of the workload target.
inline constexpr auto kModelName = std::string_view{"agent"};
inline constexpr auto kServiceName = std::string_view{"tools"};

struct fleet_endpoint {
  policy::endpoint_info info;
  std::unique_ptr<endpoint_backend> backend;
};

class fleet {
 public:
  fleet(event_queue& events, const deployment_config& deployment);

  [[nodiscard]] auto EndpointInfos() const
      -> std::vector<policy::endpoint_info>;
  auto Find(const endpoint_id& id) -> fleet_endpoint&;
  auto endpoints() -> std::vector<fleet_endpoint>& { return endpoints_; }

  // Sends bytes from one region to another and returns the time at which all of
  // them have arrived. Within a region only a fixed delay applies.
  auto ArrivalTime(const region_id& from, const region_id& to, double bytes)
      -> instant;

  // Records that a non-idempotent request started to run. A second start of the
  // same key counts as a double run.
  auto RecordStart(std::uint64_t key) -> void;

  // Whether a non-idempotent request has started on any endpoint.
  [[nodiscard]] auto HasStarted(std::uint64_t key) const -> bool;

  [[nodiscard]] auto double_runs() const -> std::uint64_t {
    return double_runs_;
  }

  // Total bytes sent between regions.
  [[nodiscard]] auto LinkBytes() const -> double;

  // Number of running and queued calls on all engines.
  [[nodiscard]] auto EngineLoad() const -> std::uint32_t;

 private:
  auto Add(const domain_config& domain,
           policy::endpoint_kind kind,
           std::uint32_t number) -> void;

  event_queue& events_;
  deployment_config deployment_;
  block_set ever_cached_;
  std::vector<fleet_endpoint> endpoints_;
  std::map<endpoint_id, std::size_t> index_by_id_;
  // Outgoing link of each region.
  std::map<region_id, link_fake> links_;
  std::unordered_set<std::uint64_t> started_;
  std::uint64_t double_runs_ = 0;
};

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_FLEET_H_
