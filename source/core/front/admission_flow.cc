// Steps of a request that decide whether it is let in: admission of programs,
// request limits of organisations, and the wait for engine memory.
#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <utility>

#include "common/log_values.h"
#include "common/logging.h"
#include "common/process_clock.h"
#include "front/request_flow.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;

// Engines free memory with each request that ends, which several do each
// second.
constexpr auto kMinEnginesFullRetry = duration(200ms);
constexpr auto kMaxEnginesFullRetry = duration(600ms);
// Bounds how often the callers of an organisation that has used up its limit
// ask again.
constexpr auto kMinQuotaRetry = duration(50ms);
// A journal that failed is asked again after a second, others at once.
constexpr auto kQuotaUnknownRetry = duration(300ms);

auto CountAdmissionRefusal(metrics& registry,
                           std::string_view reason,
                           const dispatch::route_id& route) -> void {
  registry.Count("daisywind_front_admission_refusals_total",
                 {{"reason", std::string(reason)}, {"route", route.value}});
}

auto CountQuotaRefusal(metrics& registry,
                       const organisation_id& organisation,
                       bool is_exceeded) -> void {
  registry.Count("daisywind_front_quota_refusals_total",
                 {{"organisation", organisation.value},
                  {"state", is_exceeded ? "exceeded" : "unknown"}});
}

}  // namespace

auto request_flow::AdmitProgram() -> asio::awaitable<bool> {
  // A caller that continues a stream has a program under way.
  if (!engine_ || !is_program_start_ || !call_.last_event_id.empty()) {
    co_return true;
  }
  const auto now = Now();
  const auto load = dispatch::ServiceLoad(node_.service_directory().endpoints(),
                                          service_, now);
  auto program = dispatch::program_request{};
  program.service = service_;
  program.organisation = Owner();
  program.priority = Urgency();
  program.program_time_left = call_.program_deadline;
  program.requests_per_program = node_.programs().RequestsPerProgram();
  const auto result =
      node_.admission().AdmitProgram(program, load, now, node_.random());
  if (result.outcome == dispatch::admission_outcome::kAdmitted) {
    co_return true;
  }
  co_await RefuseAdmission(result);
  co_return false;
}

auto request_flow::AdmitAttempt(const dispatch::placement_choice& choice)
    -> asio::awaitable<bool> {
  // A request that may have run, or whose response has begun, is not refused.
  const auto& endpoints = node_.service_directory().endpoints();
  const auto* state = endpoints.Find(choice.endpoint);
  if (!engine_ || attempts_.runs > 0 || attempts_.is_answered ||
      state == nullptr || choice.load + 1.0 <= double(state->entry.slots)) {
    co_return true;
  }
  const auto now = Now();
  const auto result = node_.admission().AdmitAttempt(
      service_, choice.load, dispatch::MeanLoad(endpoints, service_, now),
      state->entry.slots, TimeLeft(), now);
  if (result.outcome == dispatch::admission_outcome::kAdmitted) {
    co_return true;
  }
  co_await RefuseAdmission(result);
  co_return false;
}

auto request_flow::RefuseAdmission(const dispatch::admission_result& result)
    -> asio::awaitable<void> {
  ForgetStart();
  const auto is_full = result.outcome == dispatch::admission_outcome::kFull;
  const auto reason = std::string_view(is_full ? "full" : "too_late");
  const auto& options = node_.admission().options();
  const auto retry_after =
      SpreadRetry(options.min_retry_after, options.max_retry_after);
  const auto organisation = Owner();
  Log(log_events::kAdmissionRefused,
      {{"request", std::string_view(call_.request_id)},
       {"program", std::string_view(call_.program)},
       {"organisation", std::string_view(organisation.value)},
       {"priority", std::int64_t{Urgency()}},
       {"reason", reason},
       {"start", is_program_start_},
       {"load", result.load},
       {"refused_share", result.refused_share},
       {"expected_ms", Milliseconds(result.expected)},
       {"left_ms", Milliseconds(TimeLeft())},
       {"program_left_ms", Milliseconds(call_.program_deadline)},
       {"retry_after_ms", Milliseconds(retry_after)}});
  CountAdmissionRefusal(node_.metrics_registry(), reason, route_->id);
  co_await Refuse(
      is_full ? refusal_reason::kNotAdmitted : refusal_reason::kTooLate,
      retry_after);
}

auto request_flow::ForgetStart() -> void {
  if (is_program_start_) {
    node_.programs().OnStartRefused(ProgramName().value);
  }
}

auto request_flow::RecordDuration() -> void {
  const auto has_run = attempts_.attempts > 0 &&
                       (summary_.outcome == "answered" || attempts_.runs > 0);
  if (has_run && !call_.program.empty() && !is_caller_disconnected_) {
    const auto now = Now();
    node_.admission().OnRequestEnded(service_, now - started_at_, now);
  }
}

auto request_flow::SpreadRetry(duration earliest, duration latest) const
    -> std::optional<duration> {
  // A program that is late already may still be worth something.
  const auto program_left = call_.program_deadline.value_or(duration(0));
  const auto left = program_left > duration(0)
                        ? std::min(TimeLeft(), program_left)
                        : TimeLeft();
  return dispatch::SpreadRetryAfter(
      earliest, latest, left, node_.admission().options(), node_.random());
}

auto request_flow::AcquireQuota() -> asio::awaitable<bool> {
  if (organisation_ == nullptr || organisation_->requests_per_second <= 0) {
    co_return true;
  }
  const auto version = node_.service_directory().routes().version();
  const auto& id = organisation_->id;
  if (is_program_start_) {
    // Turns and calls that exceed the limit would fail programs that have run
    // for long, so as many programs are let in as the limit lets finish.
    const auto programs = dispatch::ProgramLimit(
        *organisation_, node_.programs().RequestsPerProgram());
    // No organisation's name contains a space.
    const auto account = organisation_id(id.value + " programs");
    const auto limit =
        history::request_limit{version, programs.per_second, programs.burst};
    const auto is_granted = co_await AcquireCredit(account, limit);
    if (!is_granted) {
      co_return false;
    }
  }
  const auto limit = history::request_limit{
      version, organisation_->requests_per_second, organisation_->burst};
  co_return co_await AcquireCredit(id, limit);
}

auto request_flow::AcquireCredit(organisation_id account,
                                 history::request_limit limit)
    -> asio::awaitable<bool> {
  const auto result = co_await node_.quotas().Acquire(account, limit);
  if (result.credit) {
    credits_.emplace_back(account, *result.credit);
    co_return true;
  }
  if (IsOver()) {
    co_await GiveUp();
    co_return false;
  }
  const auto is_exceeded = result.state == history::quota_state::kExceeded;
  Log(log_events::kQuotaRefused,
      {{"request", std::string_view(call_.request_id)},
       {"account", std::string_view(account.value)},
       {"exceeded", is_exceeded},
       {"per_second", limit.per_second},
       {"burst", limit.burst},
       {"version", static_cast<std::int64_t>(limit.version)},
       {"retry_after_ms", Milliseconds(result.retry_after)},
       {"waited_ms", Milliseconds(Now() - started_at_)}});
  CountQuotaRefusal(node_.metrics_registry(), organisation_->id, is_exceeded);
  co_await Refuse(
      is_exceeded ? refusal_reason::kQuotaExceeded
                  : refusal_reason::kQuotaUnknown,
      is_exceeded ? node_.Spread(std::max(result.retry_after, kMinQuotaRetry))
                  : kQuotaUnknownRetry);
  co_return false;
}

auto request_flow::ReturnCredits() -> void {
  for (const auto& [account, credit] : credits_) {
    node_.quotas().Return(account, credit);
  }
  credits_.clear();
}

auto request_flow::IsNextForMemory() const -> bool {
  if (attempts_.runs > 0 || attempts_.is_answered) {
    return true;
  }
  return node_.waiting().IsNext(
      service_, waiting_position_.value_or(
                    dispatch::waiting_order{Urgency(), deadline_, 0}));
}

auto request_flow::WaitForMemory() -> asio::awaitable<bool> {
  // Programs under way go before new ones, which are refused at once.
  if (is_program_start_ || attempts_.is_answered) {
    co_return false;
  }
  if (!waiting_position_) {
    waiting_position_ =
        node_.waiting().Join(service_, {Urgency(), deadline_, 0});
    waits_until_ =
        Now() + dispatch::LongestWait(route_->latency_objective, TimeLeft());
  }
  if (!waiting_position_ || Now() >= waits_until_) {
    co_return false;
  }
  co_await node_.waiting().Sleep(service_, *waiting_position_, waits_until_);
  co_return !IsOver();
}

auto request_flow::StopWaiting() -> void {
  if (waiting_position_) {
    node_.waiting().Leave(service_, *waiting_position_);
    waiting_position_.reset();
  }
}

auto request_flow::RefuseForMemory(
    std::optional<dispatch::memory_shortage> shortage)
    -> asio::awaitable<void> {
  ForgetStart();
  const auto mean =
      node_.service_directory().endpoints().MeanRequestTokens(service_);
  Log(log_events::kEngineMemoryRefused,
      {{"request", std::string_view(call_.request_id)},
       {"program", std::string_view(call_.program)},
       {"tokens", static_cast<std::int64_t>(tokens_)},
       {"memory", static_cast<std::int64_t>(engine_->memory_tokens)},
       {"engines", static_cast<std::int64_t>(shortage ? shortage->engines : 0)},
       {"least_tokens", shortage ? shortage->least_tokens : 0.0},
       {"mean_tokens", mean.value_or(0.0)},
       {"too_large", !shortage},
       {"waited_ms", Milliseconds(Now() - started_at_)}});
  co_await Refuse(shortage ? refusal_reason::kEnginesFull
                           : refusal_reason::kRequestTooLarge,
                  shortage
                      ? SpreadRetry(kMinEnginesFullRetry, kMaxEnginesFullRetry)
                      : std::nullopt);
}

}  // namespace daisywind::front
