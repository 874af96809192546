#include "admission_replay.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

#include "common/endpoint_key.h"
#include "dispatch/admission.h"
#include "dispatch/placement.h"

namespace daisywind::dispatch {
namespace {

constexpr auto kStart = instant(1000s);
constexpr auto kFronts = std::size_t{8};
constexpr auto kEngines = std::size_t{12};
constexpr auto kSlots = 24U;
constexpr auto kTurns = 5;
constexpr auto kPrefill = duration(36ms);
constexpr auto kDecode = duration(150ms);
constexpr auto kToolCall = duration(60ms);
constexpr auto kSlowFactor = 3;
constexpr auto kRestart = duration(1s);
// Load samples reach the other VMs with this delay.
constexpr auto kSampleDelay = duration(200ms);
// The objective of a program, and the time after which a turn is given up.
constexpr auto kObjective = duration(4s);
constexpr auto kTurnTimeout = duration(8s);
constexpr auto kLateValue = 0.3;
constexpr auto kDefaultRetry = duration(200ms);
constexpr auto kPromptTokens = std::uint64_t{1200};

auto Service() -> service_id {
  return service_id("engines");
}

struct program {
  std::size_t klass = 0;
  instant started_at;
  int turn = 0;
  int refusals = 0;
  bool is_admitted = false;
};

struct job {
  std::size_t front = 0;
  instant sent_at;
  instant deadline;
  std::shared_ptr<program> owner;
};

struct engine {
  endpoint entry;
  std::deque<job> queue;
  bool is_busy = false;
  std::uint32_t decoding = 0;
  // Counts restarts. Work of an earlier run is lost.
  int run = 0;

  [[nodiscard]] auto Load() const -> std::uint32_t {
    return static_cast<std::uint32_t>(queue.size()) + decoding;
  }
};

struct front {
  explicit front(const admission_options& options) : control(options) {}

  endpoint_table endpoints{endpoint_options{}};
  admission control;
};

class replay {
 public:
  explicit replay(const program_replay_options& options)
      : options_(options),
        fronts_(kFronts, front(options.admission)),
        engines_(kEngines) {
    result_.classes.resize(options.classes.size());
    for (auto i = std::size_t{0}; i < options.classes.size(); ++i) {
      arrivals_.emplace_back(100 + i);
    }
    here_.failure_domain = failure_domain_id("d");
    here_.region = region_id("r");
    here_.regions = {{here_.failure_domain, here_.region}};
    for (auto i = std::size_t{0}; i < kEngines; ++i) {
      auto& entry = engines_[i].entry;
      entry.id = endpoint_id("e" + std::to_string(i));
      entry.service = Service();
      entry.address = "10.0.0." + std::to_string(i) + ":80";
      entry.failure_domain = here_.failure_domain;
      entry.slots = kSlots;
      entry.started_ms = 1;
      Register(i);
    }
  }

  auto Run() -> program_replay_result {
    for (auto i = std::size_t{0}; i < options_.classes.size(); ++i) {
      Arrive(i);
      At(kStart + options_.burst_begin, [this, i] {
        for (auto j = std::size_t{0}; j < options_.classes[i].programs_at_once;
             ++j) {
          Begin(i);
        }
      });
    }
    if (options_.has_release) {
      const auto step = (options_.burst_end - options_.burst_begin) /
                        static_cast<std::int64_t>(kEngines + 1);
      for (auto i = std::size_t{0}; i < kEngines; ++i) {
        At(kStart + options_.burst_begin + step * static_cast<std::int64_t>(i),
           [this, i] { Leave(i); });
      }
    }
    while (!events_.empty()) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    return std::move(result_);
  }

 private:
  auto At(instant when, std::function<void()> action) -> void {
    events_.emplace(std::max(when, now_), std::move(action));
  }
  [[nodiscard]] auto IsBurst() const -> bool {
    return now_ >= kStart + options_.burst_begin &&
           now_ < kStart + options_.burst_end;
  }
  auto Register(std::size_t index) -> void {
    for (auto& item : fronts_) {
      item.endpoints.Put(engines_[index].entry, now_);
    }
  }

  auto Arrive(std::size_t klass) -> void {
    if (now_ >= kStart + options_.length) {
      return;
    }
    const auto& item = options_.classes[klass];
    const auto rate =
        item.programs_per_second * (IsBurst() ? item.burst_factor : 1.0);
    const auto gap = arrivals_[klass].Exponential(1.0 / std::max(rate, 0.001));
    At(now_ + std::chrono::duration_cast<duration>(
                  std::chrono::duration<double>(gap)),
       [this, klass] {
         if (now_ < kStart + options_.length) {
           Begin(klass);
           Arrive(klass);
         }
       });
  }

  auto Begin(std::size_t klass) -> void {
    ++result_.classes[klass].programs;
    auto started = std::make_shared<program>();
    started->klass = klass;
    started->started_at = now_;
    Send(std::move(started));
  }

  auto Send(std::shared_ptr<program> owner) -> void {
    const auto index = random_.UniformBelow(kFronts);
    auto& via = fronts_[index];
    if (owner->turn == 0) {
      ++result_.starts[(now_ - kStart) / 100ms];
    }
    if (!Admit(via, *owner)) {
      OnRefused(via, std::move(owner));
      return;
    }
    auto request = placement_request{};
    request.service = Service();
    request.is_engine = true;
    request.prompt_tokens = kPromptTokens;
    const auto choice = Place(via.endpoints, request, here_, {}, now_, random_);
    if (!choice) {
      OnRefused(via, std::move(owner));
      return;
    }
    if (options_.has_admission) {
      const auto attempt = via.control.AdmitAttempt(
          Service(), choice->load, MeanLoad(via.endpoints, Service(), now_),
          kSlots, kTurnTimeout, now_);
      if (attempt.outcome != admission_outcome::kAdmitted) {
        OnRefused(via, std::move(owner));
        return;
      }
    }
    owner->is_admitted = true;
    via.endpoints.OnRequestSent(choice->endpoint, now_);
    const auto to =
        static_cast<std::size_t>(std::stoi(choice->endpoint.value.substr(1)));
    engines_[to].queue.push_back(
        {index, now_, now_ + kTurnTimeout, std::move(owner)});
    Work(to);
  }

  auto Admit(front& via, const program& owner) -> bool {
    if (!options_.has_admission || owner.turn > 0) {
      return true;
    }
    const auto& klass = options_.classes[owner.klass];
    auto request = program_request{};
    request.service = Service();
    request.organisation = organisation_id(klass.organisation);
    request.priority = klass.priority;
    request.program_time_left =
        std::max(kObjective - (now_ - owner.started_at), duration(0));
    request.requests_per_program = kTurns;
    const auto result = via.control.AdmitProgram(
        request, ServiceLoad(via.endpoints, Service(), now_), now_, random_);
    if (result.outcome != admission_outcome::kAdmitted) {
      ++result_.refusals;
      return false;
    }
    via.control.OnProgramAdmitted(request.organisation, now_);
    return true;
  }

  // Callers send a refused request once more.
  auto OnRefused(front& via, std::shared_ptr<program> owner) -> void {
    if (++owner->refusals > 1) {
      auto& klass = result_.classes[owner->klass];
      ++(owner->is_admitted ? klass.failed : klass.refused);
      return;
    }
    const auto& options = via.control.options();
    const auto left = kObjective - (now_ - owner->started_at);
    const auto wait =
        SpreadRetryAfter(options.min_retry_after, options.max_retry_after,
                         std::max(left, duration(0)), options, random_)
            .value_or(kDefaultRetry);
    At(now_ + wait, [this, owner = std::move(owner)] { Send(owner); });
  }

  auto Work(std::size_t index) -> void {
    auto& at = engines_[index];
    while (!at.is_busy && !at.queue.empty() &&
           at.queue.front().deadline <= now_) {
      Fail(index, at.queue.front());
      at.queue.pop_front();
    }
    if (at.is_busy || at.queue.empty()) {
      return;
    }
    at.is_busy = true;
    const auto is_slow = index < options_.slow_engines && IsBurst();
    At(now_ + (is_slow ? kSlowFactor * kPrefill : kPrefill),
       [this, index, run = at.run] {
         if (engines_[index].run == run) {
           OnPrefilled(index);
         }
       });
  }

  auto OnPrefilled(std::size_t index) -> void {
    auto& at = engines_[index];
    const auto done = at.queue.front();
    at.queue.pop_front();
    at.is_busy = false;
    ++at.decoding;
    Report(index, done.front);
    At(now_ + kDecode, [this, index, done, run = at.run] {
      if (engines_[index].run == run) {
        --engines_[index].decoding;
        OnEnded(index, done);
      }
    });
    Work(index);
  }

  auto Report(std::size_t index, std::size_t to) -> void {
    const auto load = engines_[index].Load();
    const auto running = std::min(load, kSlots);
    const auto report = load_report{running, load - running, kSlots};
    const auto id = engines_[index].entry.id;
    fronts_[to].endpoints.OnReport(id, report, now_);
    At(now_ + kSampleDelay, [this, id, to, report, taken_at = now_] {
      for (auto i = std::size_t{0}; i < kFronts; ++i) {
        if (i != to) {
          fronts_[i].endpoints.OnSharedReport(KeyOf(id), report, taken_at);
        }
      }
    });
  }

  auto OnEnded(std::size_t index, const job& done) -> void {
    auto& via = fronts_[done.front];
    via.endpoints.OnRequestEnded(engines_[index].entry.id);
    via.control.OnRequestEnded(Service(), now_ - done.sent_at, now_);
    auto& owner = *done.owner;
    if (++owner.turn < kTurns) {
      At(now_ + kToolCall, [this, next = done.owner] { Send(next); });
      return;
    }
    auto& klass = result_.classes[owner.klass];
    const auto took = now_ - owner.started_at;
    if (took <= kObjective) {
      ++klass.in_time;
    } else if (took <= 2 * kObjective) {
      ++klass.late;
    } else {
      ++klass.failed;
    }
  }

  // Ends a request that its engine has not run in time, or has lost.
  auto Fail(std::size_t index, const job& lost) -> void {
    auto& via = fronts_[lost.front];
    via.endpoints.OnRequestEnded(engines_[index].entry.id);
    via.control.OnRequestEnded(Service(), now_ - lost.sent_at, now_);
    ++result_.classes[lost.owner->klass].failed;
  }

  // The engine finishes what it has, is away for a time, and comes back empty.
  auto Leave(std::size_t index) -> void {
    engines_[index].entry.is_draining = true;
    Register(index);
    At(now_ + kRestart, [this, index] { Restart(index); });
  }
  auto Restart(std::size_t index) -> void {
    auto& at = engines_[index];
    if (at.Load() > 0) {
      At(now_ + 100ms, [this, index] { Restart(index); });
      return;
    }
    ++at.run;
    at.entry.is_draining = false;
    ++at.entry.started_ms;
    Register(index);
  }

  program_replay_options options_;
  instant now_ = kStart;
  random_source random_{11};
  // One for each class, so that decisions do not change what arrives.
  std::vector<random_source> arrivals_;
  std::multimap<instant, std::function<void()>> events_;
  std::vector<front> fronts_;
  std::vector<engine> engines_;
  location here_;
  program_replay_result result_;
};

}  // namespace

auto class_result::Value() const -> double {
  return programs == 0
             ? 0.0
             : (double(in_time) + kLateValue * double(late)) / double(programs);
}

auto program_replay_result::Total() const -> class_result {
  auto sum = class_result{};
  for (const auto& item : classes) {
    sum.programs += item.programs;
    sum.in_time += item.in_time;
    sum.late += item.late;
    sum.refused += item.refused;
    sum.failed += item.failed;
  }
  return sum;
}

auto ReplayPrograms(const program_replay_options& options)
    -> program_replay_result {
  return replay(options).Run();
}

}  // namespace daisywind::dispatch
