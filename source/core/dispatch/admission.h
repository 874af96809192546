// Admission control: sheds load early that the engines can't serve in time.
#ifndef DAISYWIND_DISPATCH_ADMISSION_H_
#define DAISYWIND_DISPATCH_ADMISSION_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "common/ids.h"
#include "common/random.h"
#include "common/time.h"
#include "dispatch/endpoint_table.h"
#include "dispatch/types.h"

namespace daisywind::dispatch {

// A sum in which each addend loses half of its weight in every half-life.
class decaying_sum {
 public:
  auto Add(double value, instant now, duration half_life) -> void;
  [[nodiscard]] auto At(instant now, duration half_life) const -> double;

 private:
  double value_ = 0;
  instant updated_at_{};
};

// Limits of admission control. Loads are requests in the engine per slot.
struct admission_options {
  // Below this load no program is refused: the engines have room.
  double least_load = 0.5;
  // Programs are refused from this load on, plus a part of `priority_margin`:
  // all of it for priority 0, less for each later one. At 1 all slots are
  // taken, so that a request has to wait.
  double full_load = 1.0;
  double priority_margin = 0.25;
  // The refused share rises from zero to its maximum over this range of loads.
  double load_range = 0.75;
  // The same for the expected duration of the program as a multiple of the time
  // that it has. Engines that are short of prefill throughput make programs
  // late before their slots are taken.
  double full_time = 0.4;
  double time_range = 0.4;
  // Below 1, so that no class or organisation is refused for good.
  double max_refused_share = 0.9;
  // An organisation's refused share is multiplied by its part of the programs
  // admitted lately, relative to an equal part, within these limits.
  double min_share_factor = 0.25;
  double max_share_factor = 4.0;
  // Time in which the weight of an admitted program halves.
  duration share_half_life = 4s;
  // Number of organisations whose admitted programs are counted.
  std::size_t max_organisations = 1024;
  // Time in which the weight of a request's duration halves, and the number of
  // recent requests that a mean needs.
  duration duration_half_life = 1s;
  double min_samples = 4;
  // A request with less time than this part of the expected duration is
  // refused. Durations vary, and a refusal in error costs a program.
  double least_time_share = 0.5;
  // A program earns nothing after this multiple of its time.
  double last_value_at = 2.0;
  // Interval of Retry-After, and the largest part of the caller's remaining
  // time. Callers don't honour a later one.
  duration min_retry_after = 250ms;
  duration max_retry_after = 1s;
  std::int64_t retry_divisor = 3;

  auto operator<=>(const admission_options&) const = default;
};

enum class admission_outcome : std::uint8_t {
  kAdmitted,
  // The engines are full, and the request starts a program.
  kFull,
  // The request or its program can't end in time.
  kTooLate,
};

// A request that starts a program.
struct program_request {
  service_id service;
  organisation_id organisation;
  // 0 comes first.
  std::uint32_t priority = 0;
  // Time left until the program should be finished, if the caller says it.
  std::optional<duration> program_time_left;
  double requests_per_program = 1;

  auto operator<=>(const program_request&) const = default;
};

// A decision and the figures behind it.
struct admission_result {
  admission_outcome outcome = admission_outcome::kAdmitted;
  double load = 0;
  // Share of such requests that is refused for the load.
  double refused_share = 0;
  // Expected duration of the program or the request, if it is known.
  std::optional<duration> expected;

  auto operator<=>(const admission_result&) const = default;
};

// Load that a quarter of a service's endpoints have at most, so that most have
// more; zero without any. Endpoints that are leaving don't count. A few slow or
// newly started endpoints do not change it.
auto ServiceLoad(const endpoint_table& endpoints,
                 const service_id& service,
                 instant now) -> double;

// Mean number of requests that a service's endpoints run or queue, without
// those that are leaving; zero without any.
auto MeanLoad(const endpoint_table& endpoints,
              const service_id& service,
              instant now) -> double;

// Draws a time for Retry-After, evenly from an interval that ends at `latest`
// or at the given part of the caller's remaining time, whichever is less.
// Returns nothing if the remaining time is too short for a retry.
auto SpreadRetryAfter(duration earliest,
                      duration latest,
                      duration time_left,
                      const admission_options& options,
                      random_source& random) -> std::optional<duration>;

// Decides which requests one VM lets in. Requests of programs under way are
// refused only when they can't end in time.
class admission {
 public:
  explicit admission(admission_options options) : options_(options) {}

  // Decides on a request that starts a program. `load` is the service's.
  [[nodiscard]] auto AdmitProgram(const program_request& request,
                                  double load,
                                  instant now,
                                  random_source& random) const
      -> admission_result;

  // Decides on sending a request to a chosen endpoint. `load` is the endpoint's
  // and `mean_load` that of the service, as numbers of requests.
  [[nodiscard]] auto AdmitAttempt(const service_id& service,
                                  double load,
                                  double mean_load,
                                  std::uint32_t slots,
                                  duration time_left,
                                  instant now) const -> admission_result;

  // Records that a program of an organisation was let in.
  auto OnProgramAdmitted(const organisation_id& organisation, instant now)
      -> void;

  // Records a request of a program that has run until its end or its deadline.
  auto OnRequestEnded(const service_id& service, duration took, instant now)
      -> void;

  // Mean duration of the requests to a service, and of all requests of
  // programs; empty without enough recent ones.
  [[nodiscard]] auto MeanDuration(const service_id& service, instant now) const
      -> std::optional<duration>;
  [[nodiscard]] auto MeanDuration(instant now) const -> std::optional<duration>;

  [[nodiscard]] auto options() const -> const admission_options& {
    return options_;
  }

 private:
  struct duration_mean {
    decaying_sum seconds;
    decaying_sum count;
  };

  [[nodiscard]] auto RefusedShare(const program_request& request,
                                  const admission_result& figures,
                                  instant now) const -> double;
  [[nodiscard]] auto ShareFactor(const organisation_id& organisation,
                                 instant now) const -> double;
  [[nodiscard]] auto Mean(const duration_mean& of, instant now) const
      -> std::optional<duration>;
  auto Record(duration_mean& to, duration took, instant now) const -> void;

  admission_options options_;
  std::unordered_map<organisation_id, decaying_sum> admitted_;
  std::unordered_map<service_id, duration_mean> durations_;
  duration_mean all_durations_;
};

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_ADMISSION_H_
