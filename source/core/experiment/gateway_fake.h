// A gateway of a trial: a scheduler, the calls it has been given and the
// messages between it and the endpoints.
#ifndef DAISYWIND_EXPERIMENT_GATEWAY_FAKE_H_
#define DAISYWIND_EXPERIMENT_GATEWAY_FAKE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "experiment/fleet.h"
#include "policy/scheduler.h"

namespace daisywind::experiment {

enum class call_outcome_kind : std::uint8_t { kDone, kRefused, kFailed };

// What the caller of a call is told.
struct call_outcome {
  call_outcome_kind kind = call_outcome_kind::kDone;
  duration retry_after{0};
  // Time at the endpoint.
  duration service{0};
};

// A call and how it looks to an endpoint.
struct gateway_call {
  policy::call_request request;
  endpoint_request work;
  // Names the request over all attempts.
  std::uint64_t key = 0;
  std::function<void(const call_outcome&)> done;
};

class gateway_fake {
 public:
  gateway_fake(event_queue& events,
               fleet& endpoints,
               const policy::scheduler_options& options,
               std::uint64_t seed,
               trial_measures& measures);

  // Takes a call. Its `done` is called once.
  auto Submit(gateway_call call) -> void;

  // Lets the scheduler decide and carries out what it decides.
  auto Pump() -> void;

  // Cancels every call that may be cancelled and submits it anew, as callers
  // do that all lose patience at once.
  auto ResendAll() -> void;

  // Reports a crash with the bodies that ran there from here.
  auto OnCrash(const endpoint_id& endpoint) -> void;

  auto core() -> policy::scheduler& { return scheduler_; }
  [[nodiscard]] auto region() const -> const region_id& { return region_; }

 private:
  struct live_call {
    gateway_call call;
    std::optional<endpoint_id> endpoint;
    instant sent_at;
  };

  auto Send(const policy::dispatch& order) -> void;
  auto Deliver(policy::call_ref ref, std::int32_t priority) -> void;
  auto OnEndpointFinished(policy::call_ref ref, const endpoint_result& result)
      -> void;
  auto Complete(policy::call_ref ref, const endpoint_result& result) -> void;
  auto Retry(live_call&& live, policy::finish_kind how) -> void;
  auto Refuse(policy::call_ref ref, const policy::refusal& refused) -> void;
  auto Hang(policy::call_ref ref) -> void;
  auto Resend(policy::call_ref ref) -> void;
  auto Take(policy::call_ref ref) -> std::optional<live_call>;

  event_queue& events_;
  fleet& fleet_;
  region_id region_;
  policy::scheduler scheduler_;
  trial_measures& measures_;
  // Call references are unique over all gateways.
  policy::call_ref next_ref_;
  std::map<policy::call_ref, live_call> live_;
  bool is_pumping_ = false;
};

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_GATEWAY_FAKE_H_
