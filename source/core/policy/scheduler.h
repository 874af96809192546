// The scheduler of one gateway: queueing, routing, limits and retries. It has
// no I/O, thread or clock: events come in with their time, decisions go out.
#ifndef DAISYWIND_POLICY_SCHEDULER_H_
#define DAISYWIND_POLICY_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "common/time.h"
#include "policy/options.h"
#include "policy/types.h"

namespace daisywind::policy {

class scheduler {
 public:
  // The seed decides all random choices.
  scheduler(const scheduler_options& options, std::uint64_t seed);
  ~scheduler();
  scheduler(const scheduler&) = delete;
  auto operator=(const scheduler&) -> scheduler& = delete;
  scheduler(scheduler&&) noexcept;
  auto operator=(scheduler&&) noexcept -> scheduler&;

  // Replaces the endpoints. Those that stay keep what has been learnt of them;
  // running calls of those that go are still to be reported finished.
  auto SetEndpoints(const std::vector<endpoint_info>& endpoints, instant now)
      -> void;

  // Replaces the organisations and the need per model or service.
  auto SetOrganisations(const std::vector<organisation_policy>& organisations,
                        const std::vector<target_need>& needs) -> void;

  // Sets the number of live gateways, this one included, among which
  // organisations' rates and links are divided.
  auto SetGateways(std::uint32_t gateways) -> void;

  // Takes a load report. An older one than the last is ignored.
  auto OnLoadReport(const load_report& report, instant now) -> void;

  // Takes cache events of an engine in the order of their arrival.
  auto OnCacheEvents(const endpoint_id& endpoint,
                     std::span<const cache_event> events,
                     instant now) -> void;

  // Stops new work to an endpoint until SetEndpoints states it as serving
  // again after having left it out or stated another role.
  auto OnLeaving(const endpoint_id& endpoint) -> void;

  // Takes a call, to be dispatched or refused by this or a later Tick. A
  // refusal returned here is final for this call.
  auto Enqueue(const call_request& request, instant now)
      -> std::optional<refusal>;

  // Forgets a waiting call. A sent one is to be reported with OnFinished.
  // Returns whether the call was waiting.
  auto Cancel(call_ref call) -> bool;

  // Reports that a dispatched call has been sent.
  auto OnSent(call_ref call, instant now) -> void;

  // Reports the first token, or the first byte of a service's answer.
  auto OnFirstToken(call_ref call, instant now) -> void;

  // Reports later progress, which defers the hang bound.
  auto OnProgress(call_ref call, instant now) -> void;

  // Reports the end of a dispatched call, sent or not. Unknown calls are
  // ignored.
  auto OnFinished(call_ref call,
                  finish_kind how,
                  const token_usage& usage,
                  instant now) -> void;

  // Tells after OnFinished whether the request may be tried again and after
  // how long. Spends from the retry budgets when it may; the new attempt is
  // enqueued with attempt + 1 and the endpoint added to `excluded`.
  auto PlanRetry(const call_request& request, finish_kind how, instant now)
      -> std::optional<duration>;

  // Decides on waiting calls. Cheap when nothing waits; call it after each
  // event that may free an endpoint and at least every 10 ms.
  auto Tick(instant now) -> decisions;

  // Reports that an endpoint crashed, and the bodies that ran there from here.
  auto OnEndpointCrash(const endpoint_id& endpoint,
                       std::span<const digest> running_bodies,
                       instant now) -> void;

  // Crash evidence of this gateway since the last call, for all others.
  auto TakeQuarantineMessage() -> quarantine_message;

  // Takes another gateway's evidence.
  auto OnQuarantineMessage(const quarantine_message& message, instant now)
      -> void;

  // The endpoints whose load reports and cache events this gateway needs. The
  // list is bounded however many endpoints there are.
  [[nodiscard]] auto WatchedEndpoints() const -> std::vector<endpoint_id>;

  // Whether a body is refused for having crashed endpoints.
  [[nodiscard]] auto IsQuarantined(const digest& body) const -> bool;

  // Figures for metrics.
  [[nodiscard]] auto Summary() const -> scheduler_summary;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_SCHEDULER_H_
