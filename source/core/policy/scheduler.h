// The scheduler of one gateway: queueing, routing, limits and retries. It does
// no I/O and has no threads or clock: its inputs are events with their time,
// its outputs are decisions.
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
  // The seed determines all random choices.
  scheduler(const scheduler_options& options, std::uint64_t seed);
  ~scheduler();
  scheduler(const scheduler&) = delete;
  auto operator=(const scheduler&) -> scheduler& = delete;
  scheduler(scheduler&&) noexcept;
  auto operator=(scheduler&&) noexcept -> scheduler&;

  // Replaces the set of endpoints. Load and health of those that remain are
  // kept. Calls running at removed endpoints must still be reported with
  // OnFinished.
  auto SetEndpoints(const std::vector<endpoint_info>& endpoints, instant now)
      -> void;

  // Replaces the organisations and the minimum number of endpoints per model or
  // service.
  auto SetOrganisations(const std::vector<organisation_policy>& organisations,
                        const std::vector<target_need>& needs) -> void;

  // Sets the number of live gateways, including this one. The rate limits of
  // organisations and the bandwidth of links are divided by it.
  auto SetGateways(std::uint32_t gateways) -> void;

  // Applies a load report. Ignored if older than the last one.
  auto OnLoadReport(const load_report& report, instant now) -> void;

  // Applies cache events of an engine, in the order of their arrival.
  auto OnCacheEvents(const endpoint_id& endpoint,
                     std::span<const cache_event> events,
                     instant now) -> void;

  // Stops new calls to an endpoint that is shutting down. This lasts until
  // SetEndpoints lists it as serving, after a call of SetEndpoints that left it
  // out or listed it with another role.
  auto OnLeaving(const endpoint_id& endpoint) -> void;

  // Enqueues a call, which this or a later Tick dispatches or refuses. A
  // returned refusal is final: the call is not enqueued.
  auto Enqueue(const call_request& request, instant now)
      -> std::optional<refusal>;

  // Removes a waiting call. A call already dispatched must be reported with
  // OnFinished instead. Returns whether the call was waiting.
  auto Cancel(call_ref call) -> bool;

  // Reports that a dispatched call was sent.
  auto OnSent(call_ref call, instant now) -> void;

  // Reports the first token, or the first byte of a service's response.
  auto OnFirstToken(call_ref call, instant now) -> void;

  // Reports further progress, which restarts the hang time-out.
  auto OnProgress(call_ref call, instant now) -> void;

  // Reports the end of a dispatched call, whether it was sent or not. Unknown
  // calls are ignored.
  auto OnFinished(call_ref call,
                  finish_kind result,
                  const token_usage& usage,
                  instant now) -> void;

  // Returns the delay after which a failed request can be retried, or nothing
  // if it must not be. To be called after OnFinished. Charges the retry
  // budgets; the caller enqueues the retry with attempt + 1 and with the failed
  // endpoint added to `excluded`.
  auto PlanRetry(const call_request& request, finish_kind result, instant now)
      -> std::optional<duration>;

  // Dispatches or refuses waiting calls. Cheap when no call waits. To be called
  // after each event that may free an endpoint, and at least every 10 ms.
  auto Tick(instant now) -> decisions;

  // Reports that an endpoint crashed, with the bodies of the calls of this
  // gateway that were running there.
  auto OnEndpointCrash(const endpoint_id& endpoint,
                       std::span<const digest> running_bodies,
                       instant now) -> void;

  // Returns the crash evidence of this gateway since the last call, to be sent
  // to all other gateways.
  auto TakeQuarantineMessage() -> quarantine_message;

  // Merges the crash evidence of another gateway.
  auto OnQuarantineMessage(const quarantine_message& message, instant now)
      -> void;

  // The endpoints whose load reports and cache events this gateway needs. Their
  // number is bounded, regardless of the size of the fleet.
  [[nodiscard]] auto WatchedEndpoints() const -> std::vector<endpoint_id>;

  // Whether calls with this body are refused because it crashed endpoints.
  [[nodiscard]] auto IsQuarantined(const digest& body) const -> bool;

  // Figures for metrics and the admin API.
  [[nodiscard]] auto Summary() const -> scheduler_summary;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_SCHEDULER_H_
