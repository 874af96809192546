#include "experiment/trial.h"

#include <algorithm>
#include <memory>
#include <vector>

#include "common/logging.h"
#include "common/random.h"
#include "experiment/event_queue.h"
#include "experiment/fleet.h"
#include "experiment/gateway_fake.h"
#include "experiment/named_policy.h"
#include "experiment/program_driver.h"

namespace daisywind::experiment {
namespace {

constexpr auto kTickInterval = duration{20ms};
constexpr auto kQuarantineInterval = duration{1s};
constexpr auto kLoadSampleInterval = duration{100ms};
// Window before and after the first fault in which the engine load is compared.
constexpr auto kPeakWindow = duration{30s};
// Time until the callers of a stopped endpoint see their calls fail and the
// gateways report the crash: after the crash of one endpoint, and after the
// loss of a failure domain.
constexpr auto kCrashDetectionDelay = duration{2ms};
constexpr auto kDomainLossDetectionDelay = duration{1s};
// Derive independent seeds for the callers and the gateways from that of the
// trial.
constexpr auto kDriverSeedMask = std::uint64_t{0x5EED};
constexpr auto kGatewaySeedFactor = std::uint64_t{101};

class trial {
 public:
  trial(const specification& experiment,
        const trial_choice& choice,
        double capacity)
      : experiment_(experiment),
        choice_(choice),
        arrival_rate_(capacity * choice.load),
        arrival_random_(choice.seed),
        fleet_(events_, experiment.deployment),
        driver_(events_, experiment.deployment, choice.seed ^ kDriverSeedMask) {
    end_ = instant{experiment.warm_up + experiment.measured + experiment.drain};
    last_arrival_ = instant{experiment.warm_up + experiment.measured};
    AddGateways();
  }

  auto Run() -> trial_measures {
    RunEvery(kTickInterval, [this] { RunSchedulers(); });
    RunEvery(kQuarantineInterval, [this] { BroadcastQuarantines(); });
    RunEvery(experiment_.deployment.report_interval, [this] { ReportLoads(); });
    RunEvery(experiment_.deployment.cache_event_interval,
             [this] { ReportCaches(); });
    for (const auto& item : experiment_.faults) {
      events_.At(instant{item.at}, [this, &item] { InjectFault(item); });
    }
    if (!experiment_.faults.empty()) {
      RunEvery(kLoadSampleInterval, [this] { SampleEngineLoad(); });
    }
    ScheduleArrival();
    events_.RunUntil(end_);
    measures_.programs = driver_.TakeRecords();
    measures_.link_bytes = fleet_.LinkBytes();
    measures_.double_runs = fleet_.double_runs();
    return measures_;
  }

 private:
  auto AddGateways() -> void {
    auto gateway_count = std::uint32_t{0};
    for (const auto& domain : experiment_.deployment.domains) {
      gateway_count += domain.gateways;
    }
    for (const auto& domain : experiment_.deployment.domains) {
      for (auto i = 0U; i < domain.gateways; ++i) {
        AddGateway(domain, gateway_count);
      }
    }
  }

  auto AddGateway(const domain_config& domain, std::uint32_t gateway_count)
      -> void {
    const auto& deployment = experiment_.deployment;
    const auto named = FindPolicy(choice_.policy);
    DAISYWIND_ASSERT(named.has_value());
    auto options = *named;
    options.region = region_id{domain.region};
    options.failure_domain = failure_domain_id{domain.name};
    options.gateways = gateway_count;
    options.link_bits_per_second = deployment.link_bits_per_s;
    options.link_delay = deployment.link_delay;
    const auto seed = choice_.seed * kGatewaySeedFactor + gateways_.size() + 1;
    auto& gateway = *gateways_.emplace_back(std::make_unique<gateway_fake>(
        events_, fleet_, options, seed, measures_));
    gateway.request_scheduler().SetEndpoints(fleet_.EndpointInfos(),
                                             events_.now());
    auto organisation = policy::organisation_policy{};
    organisation.id = organisation_id{deployment.organisation};
    for (const auto& class_config : deployment.classes) {
      organisation.class_ranks[class_id{class_config.name}] = class_config.rank;
    }
    gateway.request_scheduler().SetOrganisations({organisation}, {});
  }

  auto RunEvery(duration interval, const event_queue::action& callback)
      -> void {
    events_.After(interval, [this, interval, callback] {
      callback();
      if (events_.now() < end_) {
        RunEvery(interval, callback);
      }
    });
  }

  // Open-loop load: the arrival times do not depend on the response times.
  auto ScheduleArrival() -> void {
    const auto gap = std::chrono::duration<double>{
        arrival_random_.Exponential(1.0 / arrival_rate_)};
    const auto at = events_.now() + std::chrono::duration_cast<duration>(gap);
    const auto plan = DrawProgram(experiment_.deployment, arrival_random_);
    const auto gateway_sample = arrival_random_.UniformDouble();
    if (at >= last_arrival_) {
      return;
    }
    events_.At(at, [this, plan, gateway_sample] {
      const auto is_measured = events_.now() >= instant{experiment_.warm_up};
      driver_.Start(plan, PickGateway(gateway_sample), is_measured);
      ScheduleArrival();
    });
  }

  // Maps a uniform sample from [0, 1) to a gateway.
  auto PickGateway(double gateway_sample) -> gateway_fake& {
    const auto gateway_count = static_cast<double>(gateways_.size());
    return *gateways_[static_cast<std::size_t>(gateway_sample * gateway_count)];
  }

  auto RunSchedulers() -> void {
    for (auto& gateway : gateways_) {
      gateway->RunScheduler();
    }
  }

  auto BroadcastQuarantines() -> void {
    for (auto& from : gateways_) {
      const auto message = from->request_scheduler().TakeQuarantineMessage();
      if (message == policy::quarantine_message{}) {
        continue;
      }
      for (auto& to : gateways_) {
        if (to != from) {
          to->request_scheduler().OnQuarantineMessage(message, events_.now());
        }
      }
    }
  }

  auto ReportLoads() -> void {
    for (auto& endpoint : fleet_.endpoints()) {
      if (!endpoint.backend->IsUp()) {
        continue;
      }
      const auto report = policy::load_report{endpoint.info.id, events_.now(),
                                              endpoint.backend->Running(),
                                              endpoint.backend->Queued()};
      events_.After(experiment_.deployment.report_lag, [this, report] {
        for (auto& gateway : gateways_) {
          gateway->request_scheduler().OnLoadReport(report, events_.now());
        }
      });
    }
  }

  auto ReportCaches() -> void {
    for (auto& endpoint : fleet_.endpoints()) {
      const auto changes = endpoint.backend->TakeCacheEvents();
      const auto is_lost = loss_random_.UniformDouble() <
                           experiment_.deployment.cache_event_loss;
      if (changes.empty() || is_lost) {
        continue;
      }
      events_.After(experiment_.deployment.cache_event_lag,
                    [this, id = endpoint.info.id, changes] {
                      for (auto& gateway : gateways_) {
                        gateway->request_scheduler().OnCacheEvents(
                            id, changes, events_.now());
                      }
                    });
    }
  }

  auto SampleEngineLoad() -> void {
    const auto fault_at = instant{experiment_.faults.front().at};
    const auto load = fleet_.EngineLoad();
    const auto now = events_.now();
    if (now <= fault_at && now > fault_at - kPeakWindow) {
      measures_.peak_before_fault = std::max(measures_.peak_before_fault, load);
    }
    if (now > fault_at && now <= fault_at + kPeakWindow) {
      measures_.peak_after_fault = std::max(measures_.peak_after_fault, load);
    }
  }

  auto InjectFault(const fault& item) -> void {
    switch (item.kind) {
      case fault_kind::kRetryStorm:
        for (auto& gateway : gateways_) {
          gateway->ResendAll();
        }
        return;
      case fault_kind::kDomainLost:
        for (auto& endpoint : fleet_.endpoints()) {
          if (endpoint.info.failure_domain.value == item.domain) {
            CrashEndpoint(endpoint, kDomainLossDetectionDelay, item.length);
          }
        }
        return;
      case fault_kind::kEndpointCrash:
        CrashEndpoint(FindEngine(item), kCrashDetectionDelay, item.length);
        return;
      case fault_kind::kSlowEndpoint:
        FindEngine(item).backend->SetSlowdown(item.factor);
        events_.After(item.length, [this, &item] {
          FindEngine(item).backend->SetSlowdown(1.0);
        });
        return;
    }
  }

  auto FindEngine(const fault& item) -> fleet_endpoint& {
    const auto name = item.domain + "-engine-" + std::to_string(item.engine);
    return fleet_.Find(endpoint_id{name});
  }

  auto CrashEndpoint(fleet_endpoint& endpoint,
                     duration detection_delay,
                     duration outage) -> void {
    const auto id = endpoint.info.id;
    events_.After(detection_delay, [this, id] {
      for (auto& gateway : gateways_) {
        gateway->OnCrash(id);
      }
    });
    endpoint.backend->Crash(detection_delay);
    if (outage > duration{0}) {
      events_.After(outage, [this, id] { fleet_.Find(id).backend->Restore(); });
    }
  }

  const specification& experiment_;
  trial_choice choice_;
  double arrival_rate_;
  random_source arrival_random_;
  random_source loss_random_{1};
  event_queue events_;
  fleet fleet_;
  program_driver driver_;
  trial_measures measures_;
  std::vector<std::unique_ptr<gateway_fake>> gateways_;
  instant end_;
  instant last_arrival_;
};

}  // namespace

auto RunTrial(const specification& experiment,
              const trial_choice& choice,
              double capacity) -> trial_measures {
  return trial{experiment, choice, capacity}.Run();
}

}  // namespace daisywind::experiment
