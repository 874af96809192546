// A fleet of fronts in simulated time, all of which would send a limited
// endpoint far more than it takes.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/random.h"
#include "dispatch/endpoint_table.h"
#include "dispatch/limit_share.h"
#include "history/limit_registry.h"
#include "history_client/limit_exchange.h"

namespace daisywind::front {
namespace {

constexpr auto kStart = instant(100s);
constexpr auto kStep = 10ms;
constexpr auto kExchangeInterval = 250ms;
constexpr auto kResponseTime = 50ms;
// The users' bound: from four seconds after the limit was first named, no four
// seconds bring more than one and a half times what it allows, and five.
constexpr auto kSettlingTime = 4s;
constexpr auto kWindow = 4s;

// The endpoint that names a limit.
auto Limited() -> endpoint_id {
  return endpoint_id("e");
}

class fleet {
 public:
  // Requests that each front would send without a limit.
  static constexpr auto kAttemptsPerSecond = 5U;

  fleet(int fronts, double limit, std::uint64_t seed)
      : limit_(limit), random_(seed) {
    for (auto i = 0; i < kMembers; ++i) {
      members_.push_back(std::make_unique<history::limit_registry>(
          random_.UniformBelow(1'000'000)));
    }
    for (auto i = 0; i < fronts; ++i) {
      AddFront("front" + std::to_string(i), kDomains.at(i % kDomains.size()));
    }
  }

  auto AddFront(const std::string& vm, const char* domain) -> void {
    auto location =
        vm_location{vm_id(vm), failure_domain_id(domain), region_id("r")};
    auto item = std::make_unique<sender>(
        sender{location,
               history::limit_exchange(location),
               dispatch::endpoint_table(dispatch::endpoint_options{}),
               {},
               {},
               false});
    auto entry = dispatch::endpoint{};
    entry.id = Limited();
    entry.service = dispatch::service_id("s");
    entry.failure_domain = failure_domain_id(kDomains.front());
    item->endpoints.Put(entry, now_);
    item->next_exchange =
        now_ + duration(random_.UniformBelow(kExchangeInterval.count()));
    fronts_.push_back(std::move(item));
  }

  // Replaces a front by one that knows nothing.
  auto Restart(std::size_t index) -> void {
    const auto location = fronts_.at(index)->location;
    fronts_.erase(fronts_.begin() + static_cast<std::ptrdiff_t>(index));
    AddFront(location.vm.value, location.failure_domain.value.c_str());
  }

  // A front that is cut off from the members still reaches the endpoint.
  auto SetCutOff(std::size_t index, bool is_cut_off) -> void {
    fronts_.at(index)->is_cut_off = is_cut_off;
  }

  auto RestartMember(std::size_t index) -> void {
    members_.at(index) = std::make_unique<history::limit_registry>(
        random_.UniformBelow(1'000'000));
  }

  auto RunUntil(duration time) -> void {
    while (now_ < kStart + time) {
      for (auto& front : fronts_) {
        Advance(*front);
      }
      now_ += kStep;
    }
  }

  // The largest number of requests in a window that counts.
  [[nodiscard]] auto MostInWindow() const -> std::size_t {
    auto most = std::size_t{0};
    for (auto first = sent_.begin(); first != sent_.end(); ++first) {
      if (*first >= kStart + kSettlingTime) {
        const auto last =
            std::upper_bound(first, sent_.end(), *first + kWindow);
        most = std::max(most, static_cast<std::size_t>(last - first));
      }
    }
    return most;
  }

  [[nodiscard]] auto Allowed() const -> std::size_t {
    constexpr auto kSeconds = 4.0;
    return static_cast<std::size_t>(1.5 * limit_ * kSeconds + 5.0);
  }

  [[nodiscard]] auto sent() const -> std::size_t { return sent_.size(); }

 private:
  static constexpr auto kMembers = 3;
  static constexpr auto kDomains =
      std::to_array<const char*>({"d0", "d1", "d2"});

  struct sender {
    vm_location location;
    history::limit_exchange exchange;
    dispatch::endpoint_table endpoints;
    instant next_exchange;
    std::deque<instant> responses;
    bool is_cut_off = false;
  };

  auto Advance(sender& front) -> void {
    while (!front.responses.empty() && front.responses.front() <= now_) {
      front.responses.pop_front();
      if (front.exchange.Observe(KeyOf(Limited()), limit_, now_)) {
        Apply(front);
      }
    }
    if (now_ >= front.next_exchange) {
      front.next_exchange += kExchangeInterval;
      Exchange(front);
    }
    constexpr auto kStepsPerSecond = 100U;
    const auto& state = *front.endpoints.Find(Limited());
    if (random_.UniformBelow(kStepsPerSecond) < kAttemptsPerSecond &&
        front.endpoints.HasQuota(state, now_)) {
      front.endpoints.OnRequestSent(Limited(), now_);
      front.responses.push_back(now_ + kResponseTime);
      sent_.push_back(now_);
    }
  }

  auto Exchange(sender& front) -> void {
    for (auto i = std::size_t{0}; i < members_.size(); ++i) {
      const auto address = std::to_string(i);
      if (!front.is_cut_off) {
        front.exchange.ProcessReply(
            address,
            members_[i]->Handle(front.exchange.MakeRequest(address, now_),
                                now_),
            now_, now_);
      }
    }
    Apply(front);
  }

  auto Apply(sender& front) -> void {
    const auto& entry = front.endpoints.Find(Limited())->entry;
    const auto share = dispatch::LimitShare(
        {KeyOf(Limited()), entry.failure_domain, region_id("r")},
        front.exchange.Senders(now_), front.location.vm);
    front.endpoints.SetRateLimit(
        Limited(), front.exchange.LimitOf(KeyOf(Limited())), share, now_);
  }

  double limit_;
  random_source random_;
  instant now_ = kStart;
  std::vector<std::unique_ptr<history::limit_registry>> members_;
  std::vector<std::unique_ptr<sender>> fronts_;
  std::vector<instant> sent_;
};

TEST_CASE("all fronts together keep to the rate limit of an endpoint") {
  for (const auto fronts : {1, 7, 50}) {
    for (const auto limit : {0.5, 1.0, 3.5, 12.0}) {
      for (auto seed = std::uint64_t{1}; seed <= 5; ++seed) {
        auto all = fleet(fronts, limit, seed);
        all.RunUntil(40s);
        CHECK(all.MostInWindow() <= all.Allowed());
        // The limit is used, not only kept.
        const auto possible =
            std::min(limit, double(fronts) * fleet::kAttemptsPerSecond);
        CHECK(double(all.sent()) >= 0.5 * possible * 40.0);
      }
    }
  }
}

TEST_CASE("the rate limit holds while fronts and journals come and go") {
  for (const auto fronts : {7, 50}) {
    for (const auto limit : {1.0, 3.5}) {
      for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
        auto all = fleet(fronts, limit, seed);
        all.RunUntil(8s);
        all.Restart(0);
        all.RunUntil(12s);
        all.AddFront("late", "d0");
        all.RunUntil(16s);
        all.SetCutOff(1, true);
        all.SetCutOff(2, true);
        all.RunUntil(24s);
        all.SetCutOff(1, false);
        all.RestartMember(0);
        all.RunUntil(28s);
        all.RestartMember(1);
        all.RestartMember(2);
        all.RunUntil(36s);
        CHECK(all.MostInWindow() <= all.Allowed());
      }
    }
  }
}

}  // namespace
}  // namespace daisywind::front
