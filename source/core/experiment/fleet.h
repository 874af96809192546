// The endpoints of a trial and the network to them.
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

// The model and the service that the workload calls.
inline constexpr auto kModelName = std::string_view{"agent"};
inline constexpr auto kServiceName = std::string_view{"tools"};

struct fleet_endpoint {
  policy::endpoint_info info;
  std::unique_ptr<endpoint_backend> backend;
};

class fleet {
 public:
  fleet(event_queue& events, const deployment_shape& deployment);

  [[nodiscard]] auto Infos() const -> std::vector<policy::endpoint_info>;
  auto Find(const endpoint_id& id) -> fleet_endpoint&;
  auto endpoints() -> std::vector<fleet_endpoint>& { return endpoints_; }

  // The time at which bytes sent now have arrived in another region or nearby.
  auto Arrival(const region_id& from, const region_id& to, double bytes)
      -> instant;

  // Records the start of a non-idempotent request.
  auto OnStart(std::uint64_t key) -> void;

  // Whether a non-idempotent request has started anywhere.
  [[nodiscard]] auto HasStarted(std::uint64_t key) const -> bool;

  [[nodiscard]] auto double_runs() const -> std::uint64_t {
    return double_runs_;
  }
  [[nodiscard]] auto LinkBytes() const -> double;

  // Calls at all engines, running and queued.
  [[nodiscard]] auto EngineLoad() const -> std::uint32_t;

 private:
  auto Add(const domain_shape& domain,
           policy::endpoint_kind kind,
           std::uint32_t number) -> void;

  event_queue& events_;
  deployment_shape deployment_;
  block_set ever_held_;
  std::vector<fleet_endpoint> endpoints_;
  std::map<endpoint_id, std::size_t> rows_;
  // One link for each direction, by the sending region.
  std::map<region_id, link_fake> links_;
  std::unordered_set<std::uint64_t> started_;
  std::uint64_t double_runs_ = 0;
};

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_FLEET_H_
