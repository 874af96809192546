#include "load_replay.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "common/endpoint_key.h"

namespace daisywind::dispatch {
namespace {

constexpr auto kStart = instant(100s);
constexpr auto kWarmUp = duration(1s);
constexpr auto kSampleInterval = duration(5ms);
constexpr auto kDomains = std::size_t{6};

struct event {
  instant at;
  std::uint64_t order;
  std::function<void()> run;

  auto operator<(const event& other) const -> bool {
    return std::pair(at, order) > std::pair(other.at, other.order);
  }
};

struct front_state {
  location here;
  endpoint_table table;
};

struct waiting_request {
  std::size_t front;
  instant sent_at;
};

struct replayed_endpoint {
  endpoint entry;
  std::uint32_t running = 0;
  std::deque<waiting_request> queue;
  std::uint64_t requests = 0;
};

// Sums of the requests held by each endpoint in the current window.
class window_variation {
 public:
  window_variation(std::size_t endpoints, duration length)
      : sums_(endpoints), length_(length) {}

  auto Add(const std::vector<replayed_endpoint>& endpoints, instant now)
      -> void {
    for (auto i = std::size_t{0}; i < endpoints.size(); ++i) {
      sums_[i] += double(endpoints[i].running + endpoints[i].queue.size());
    }
    if (now < end_) {
      return;
    }
    auto sum = 0.0;
    auto squares = 0.0;
    for (auto& value : sums_) {
      sum += value;
      squares += value * value;
      value = 0;
    }
    const auto mean = sum / double(sums_.size());
    const auto variance = squares / double(sums_.size()) - mean * mean;
    total_ += mean == 0.0 ? 0.0 : std::sqrt(std::max(0.0, variance)) / mean;
    ++windows_;
    end_ = now + length_;
  }

  [[nodiscard]] auto Mean() const -> double { return total_ / windows_; }

 private:
  std::vector<double> sums_;
  duration length_;
  instant end_ = kStart + kWarmUp + length_;
  double total_ = 0;
  double windows_ = 0;
};

class replay {
 public:
  explicit replay(const replay_options& options)
      : options_(options),
        random_(options.seed),
        short_windows_(options.endpoints, 100ms),
        long_windows_(options.endpoints, 1s) {
    request_.service = service_id("s");
    request_.is_engine = options.is_engine;
    request_.prompt_tokens = options.is_engine ? 700 : 0;
    AddEndpoints();
    AddFronts();
  }

  auto Run() -> replay_result {
    At(kStart, [this] { Arrive(); });
    At(kStart + kWarmUp, [this] { Measure(); });
    for (auto i = std::size_t{0}; i < endpoints_.size(); ++i) {
      const auto phase = options_.is_in_step ? duration(0) : Below(Interval());
      At(kStart + phase, [this, i] { Share(i); });
    }
    while (!events_.empty() && events_.top().at < kStart + options_.length) {
      auto next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
    auto all = 0.0;
    for (const auto& item : endpoints_) {
      all += double(item.requests);
    }
    return {short_windows_.Mean(), long_windows_.Mean(),
            avoidable_ / std::max(1.0, sent_),
            duration(static_cast<duration::rep>(waited_us_ /
                                                std::max(1.0, started_))),
            double(endpoints_[0].requests) * double(endpoints_.size()) / all};
  }

 private:
  auto Interval() const -> duration { return options_.report_interval; }

  auto Below(duration bound) -> duration {
    return duration(static_cast<duration::rep>(
        random_.UniformBelow(std::max<duration::rep>(1, bound.count()))));
  }

  auto At(instant at, std::function<void()> run) -> void {
    events_.push({at, ++order_, std::move(run)});
  }

  auto DomainOf(std::size_t i) const -> failure_domain_id {
    return failure_domain_id("d" + std::to_string(i % kDomains));
  }

  auto AddEndpoints() -> void {
    endpoints_.resize(options_.endpoints);
    for (auto i = std::size_t{0}; i < endpoints_.size(); ++i) {
      auto& entry = endpoints_[i].entry;
      entry.id = endpoint_id("e" + std::to_string(i));
      entry.service = service_id("s");
      entry.failure_domain = DomainOf(i);
      entry.slots = options_.slots;
    }
  }

  auto AddFronts() -> void {
    for (auto i = std::size_t{0}; i < options_.fronts; ++i) {
      auto front = front_state{{}, endpoint_table(options_.table)};
      front.table.SetFrontCount(options_.fronts);
      front.here.failure_domain = DomainOf(i);
      for (auto domain = std::size_t{0}; domain < kDomains; ++domain) {
        front.here.regions[DomainOf(domain)] =
            region_id(domain < kDomains / 2 ? "r0" : "r1");
      }
      front.here.region = front.here.regions[DomainOf(i)];
      for (const auto& item : endpoints_) {
        front.table.Put(item.entry, kStart);
      }
      fronts_.push_back(std::move(front));
    }
  }

  auto Arrive() -> void {
    const auto per_second =
        options_.utilisation * double(options_.slots) *
        double(options_.endpoints) /
        std::chrono::duration<double>(options_.service_time).count();
    At(now_ + Duration(random_.Exponential(1.0 / per_second)),
       [this] { Arrive(); });
    const auto f = random_.UniformBelow(fronts_.size());
    auto& front = fronts_[f];
    const auto choice = Place(front.table, request_, front.here,
                              options_.placement, now_, random_);
    front.table.OnRequestSent(choice->endpoint, now_);
    const auto e = std::stoul(choice->endpoint.value.substr(1));
    auto& item = endpoints_[e];
    if (now_ >= kStart + kWarmUp) {
      ++item.requests;
      sent_ += 1;
      const auto has_slot = [&](const auto& other) {
        return other.running < options_.slots;
      };
      avoidable_ += !has_slot(item) &&
                    std::any_of(endpoints_.begin(), endpoints_.end(), has_slot);
    }
    item.queue.push_back({f, now_});
    StartNext(e);
  }

  auto Duration(double seconds) const -> duration {
    return duration(static_cast<duration::rep>(seconds * 1e6));
  }

  auto StartNext(std::size_t e) -> void {
    auto& item = endpoints_[e];
    if (item.queue.empty() || item.running == options_.slots) {
      return;
    }
    const auto request = item.queue.front();
    item.queue.pop_front();
    ++item.running;
    waited_us_ += double((now_ - request.sent_at).count());
    started_ += 1;
    // The head of a stream comes with its first event, that of another response
    // at the end.
    if (options_.is_engine) {
      Answer(e, request.front);
    }
    const auto is_slow =
        options_.slow_every > 0 && e % options_.slow_every == 0;
    const auto mean =
        std::chrono::duration<double>(options_.service_time).count() *
        (is_slow ? options_.slowness : 1.0);
    // Half is fixed: the times vary less than exponential ones.
    At(now_ + Duration(mean / 2 + random_.Exponential(mean / 2)),
       [this, e, request] { End(e, request); });
  }

  auto End(std::size_t e, const waiting_request& request) -> void {
    if (!options_.is_engine) {
      Answer(e, request.front);
    }
    fronts_[request.front].table.OnRequestEnded(endpoints_[e].entry.id, 0,
                                                now_ - request.sent_at);
    --endpoints_[e].running;
    StartNext(e);
  }

  auto IsSilent(std::size_t e) const -> bool {
    return e >= options_.false_zeros &&
           e < options_.false_zeros + options_.silent;
  }

  auto ReportOf(std::size_t e) const -> load_report {
    const auto& item = endpoints_[e];
    if (e < options_.false_zeros) {
      return {0, 0, options_.slots};
    }
    return {item.running, static_cast<std::uint32_t>(item.queue.size()),
            options_.slots};
  }

  auto Answer(std::size_t e, std::size_t front) -> void {
    if (!IsSilent(e)) {
      fronts_[front].table.OnReport(endpoints_[e].entry.id, ReportOf(e), now_);
    }
  }

  auto Share(std::size_t e) -> void {
    At(now_ + Interval(), [this, e] { Share(e); });
    if (IsSilent(e)) {
      return;
    }
    const auto report = ReportOf(e);
    const auto taken_at = now_;
    const auto key = KeyOf(endpoints_[e].entry.id);
    const auto max_delay = std::min(Interval() / 2, duration(100ms));
    for (auto& front : fronts_) {
      const auto delay = options_.is_in_step ? max_delay : Below(max_delay);
      At(now_ + delay, [&front, key, report, taken_at] {
        front.table.OnSharedReport(key, report, taken_at);
      });
    }
  }

  auto Measure() -> void {
    At(now_ + kSampleInterval, [this] { Measure(); });
    short_windows_.Add(endpoints_, now_);
    long_windows_.Add(endpoints_, now_);
  }

  replay_options options_;
  random_source random_;
  instant now_ = kStart;
  std::uint64_t order_ = 0;
  std::priority_queue<event> events_;
  std::vector<replayed_endpoint> endpoints_;
  std::vector<front_state> fronts_;
  placement_request request_;
  window_variation short_windows_;
  window_variation long_windows_;
  double sent_ = 0;
  double avoidable_ = 0;
  double waited_us_ = 0;
  double started_ = 0;
};

}  // namespace

auto Replay(const replay_options& options) -> replay_result {
  return replay(options).Run();
}

}  // namespace daisywind::dispatch
