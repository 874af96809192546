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
constexpr auto kGossipInterval = duration{1s};
constexpr auto kSampleInterval = duration{100ms};
constexpr auto kPeakWindow = duration{30s};
constexpr auto kCrashDetection = duration{2ms};
constexpr auto kDomainLossDetection = duration{1s};
constexpr auto kDriverSalt = std::uint64_t{0x5EED};
constexpr auto kGatewaySalt = std::uint64_t{101};

class trial {
 public:
  trial(const specification& experiment,
        const trial_choice& choice,
        double capacity)
      : experiment_(experiment),
        choice_(choice),
        rate_(capacity * choice.load),
        arrivals_(choice.seed),
        fleet_(events_, experiment.deployment),
        driver_(events_, experiment.deployment, choice.seed ^ kDriverSalt) {
    end_ = instant{experiment.warm_up + experiment.measured + experiment.drain};
    last_arrival_ = instant{experiment.warm_up + experiment.measured};
    AddGateways();
  }

  auto Run() -> trial_measures {
    Every(kTickInterval, [this] { PumpAll(); });
    Every(kGossipInterval, [this] { Gossip(); });
    Every(experiment_.deployment.report_interval, [this] { ReportLoads(); });
    Every(experiment_.deployment.cache_event_interval,
          [this] { ReportCaches(); });
    for (const auto& item : experiment_.faults) {
      events_.At(instant{item.at}, [this, &item] { Inject(item); });
    }
    if (!experiment_.faults.empty()) {
      Every(kSampleInterval, [this] { SampleLoad(); });
    }
    Arrive();
    events_.RunUntil(end_);
    measures_.programs = driver_.TakeRecords();
    measures_.link_bytes = fleet_.LinkBytes();
    measures_.double_runs = fleet_.double_runs();
    return measures_;
  }

 private:
  auto AddGateways() -> void {
    auto count = std::uint32_t{0};
    for (const auto& domain : experiment_.deployment.domains) {
      count += domain.gateways;
    }
    for (const auto& domain : experiment_.deployment.domains) {
      for (auto i = 0U; i < domain.gateways; ++i) {
        AddGateway(domain, count);
      }
    }
  }

  auto AddGateway(const domain_shape& domain, std::uint32_t count) -> void {
    const auto& deployment = experiment_.deployment;
    const auto named = FindPolicy(choice_.policy);
    DAISYWIND_ASSERT(named.has_value());
    auto options = *named;
    options.region = region_id{domain.region};
    options.failure_domain = failure_domain_id{domain.name};
    options.gateways = count;
    options.link_bits_per_second = deployment.link_bits_per_s;
    options.link_delay = deployment.link_delay;
    const auto seed = choice_.seed * kGatewaySalt + gateways_.size() + 1;
    auto& gateway = *gateways_.emplace_back(std::make_unique<gateway_fake>(
        events_, fleet_, options, seed, measures_));
    gateway.core().SetEndpoints(fleet_.Infos(), events_.now());
    auto organisation = policy::organisation_policy{};
    organisation.id = organisation_id{deployment.organisation};
    for (const auto& shape : deployment.classes) {
      organisation.class_ranks[class_id{shape.name}] = shape.rank;
    }
    gateway.core().SetOrganisations({organisation}, {});
  }

  auto Every(duration interval, const event_queue::action& what) -> void {
    events_.After(interval, [this, interval, what] {
      what();
      if (events_.now() < end_) {
        Every(interval, what);
      }
    });
  }

  // Open loop: arrivals follow their own clock, however late answers are.
  auto Arrive() -> void {
    const auto gap =
        std::chrono::duration<double>{arrivals_.Exponential(1.0 / rate_)};
    const auto at = events_.now() + std::chrono::duration_cast<duration>(gap);
    const auto plan = DrawProgram(experiment_.deployment, arrivals_);
    const auto place = arrivals_.UniformDouble();
    if (at >= last_arrival_) {
      return;
    }
    events_.At(at, [this, plan, place] {
      const auto is_measured = events_.now() >= instant{experiment_.warm_up};
      driver_.Start(plan, GatewayAt(place), is_measured);
      Arrive();
    });
  }

  // Callers stand where the gateways do.
  auto GatewayAt(double place) -> gateway_fake& {
    const auto count = static_cast<double>(gateways_.size());
    return *gateways_[static_cast<std::size_t>(place * count)];
  }

  auto PumpAll() -> void {
    for (auto& gateway : gateways_) {
      gateway->Pump();
    }
  }

  auto Gossip() -> void {
    for (auto& from : gateways_) {
      const auto message = from->core().TakeQuarantineMessage();
      if (message == policy::quarantine_message{}) {
        continue;
      }
      for (auto& to : gateways_) {
        if (to != from) {
          to->core().OnQuarantineMessage(message, events_.now());
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
          gateway->core().OnLoadReport(report, events_.now());
        }
      });
    }
  }

  auto ReportCaches() -> void {
    for (auto& endpoint : fleet_.endpoints()) {
      const auto changes = endpoint.backend->TakeCacheEvents();
      const auto is_lost =
          network_.UniformDouble() < experiment_.deployment.cache_event_loss;
      if (changes.empty() || is_lost) {
        continue;
      }
      events_.After(experiment_.deployment.cache_event_lag,
                    [this, id = endpoint.info.id, changes] {
                      for (auto& gateway : gateways_) {
                        gateway->core().OnCacheEvents(id, changes,
                                                      events_.now());
                      }
                    });
    }
  }

  auto SampleLoad() -> void {
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

  auto Inject(const fault& item) -> void {
    switch (item.kind) {
      case fault_kind::kRetryStorm:
        for (auto& gateway : gateways_) {
          gateway->ResendAll();
        }
        return;
      case fault_kind::kDomainLost:
        for (auto& endpoint : fleet_.endpoints()) {
          if (endpoint.info.failure_domain.value == item.domain) {
            Stop(endpoint, kDomainLossDetection, item.length);
          }
        }
        return;
      case fault_kind::kEndpointCrash:
        Stop(Engine(item), kCrashDetection, item.length);
        return;
      case fault_kind::kSlowEndpoint:
        Engine(item).backend->SetSlowness(item.factor);
        events_.After(item.length, [this, &item] {
          Engine(item).backend->SetSlowness(1.0);
        });
        return;
    }
  }

  auto Engine(const fault& item) -> fleet_endpoint& {
    const auto name = item.domain + "-engine-" + std::to_string(item.engine);
    return fleet_.Find(endpoint_id{name});
  }

  auto Stop(fleet_endpoint& endpoint, duration detection, duration length)
      -> void {
    const auto id = endpoint.info.id;
    events_.After(detection, [this, id] {
      for (auto& gateway : gateways_) {
        gateway->OnCrash(id);
      }
    });
    endpoint.backend->Crash(detection);
    if (length > duration{0}) {
      events_.After(length, [this, id] { fleet_.Find(id).backend->Restore(); });
    }
  }

  const specification& experiment_;
  trial_choice choice_;
  double rate_;
  random_source arrivals_;
  random_source network_{1};
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
