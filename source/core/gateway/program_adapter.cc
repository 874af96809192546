#include "gateway/program_adapter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>
#include <variant>

#include "common/process_clock.h"
#include "gateway/endpoint_calls.h"
#include "program_wire/codec.h"

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;

constexpr auto kOk = 200U;
constexpr auto kNoContent = 204U;
constexpr auto kNotFound = 404U;

auto ToResult(const attempt_result& result, bool is_resume)
    -> program::attempt_result {
  switch (result.outcome) {
    case attempt_outcome::kAnswered:
      return program::attempt_result::kAnswered;
    case attempt_outcome::kUnknown:
      return program::attempt_result::kUnknown;
    case attempt_outcome::kNotRun:
      break;
  }
  if (is_resume) {
    // A resumption follows an attempt that this or another VM has already sent.
    // Its failure only proves that there is no stream to read, not that the
    // call did not run.
    return program::attempt_result::kNotFound;
  }
  return result.status == 0 ? program::attempt_result::kNotSent
                            : program::attempt_result::kRefusedNotRun;
}

}  // namespace

program_adapter::program_adapter(program_dependencies dependencies,
                                 attempt_timeouts timeouts)
    : dependencies_(std::move(dependencies)), timeouts_(timeouts) {}

program_adapter::~program_adapter() = default;

auto program_adapter::Submit(program::event event) -> void {
  queue_.push_back(std::move(event));
  ProcessQueue();
}

auto program_adapter::Tick() -> void {
  Execute(dependencies_.system.Tick(Now()));
  ProcessQueue();
}

auto program_adapter::AbortHungCall(const program::call_ref& call) -> void {
  for (const auto& [id, attempt] : running_) {
    if (attempt.attempt.call == call) {
      dependencies_.scheduler.OnHung(call);
      dependencies_.runner.Cancel(id);
      EndAttempt(program::attempt_ref(attempt.attempt),
                 program::attempt_result::kUnknown);
      return;
    }
  }
}

// Executing a command can submit further events. The queue preserves their
// order and avoids recursion.
auto program_adapter::ProcessQueue() -> void {
  if (is_processing_) {
    return;
  }
  is_processing_ = true;
  while (!queue_.empty()) {
    const auto event = std::move(queue_.front());
    queue_.pop_front();
    Execute(dependencies_.system.Handle(event, Now()));
  }
  is_processing_ = false;
}

auto program_adapter::Execute(const commands& list) -> void {
  for (const auto& item : list) {
    std::visit([this](const auto& command) { Execute(command); }, item);
  }
}

auto program_adapter::Execute(const program::send_message& command) -> void {
  const auto is_queued =
      dependencies_.peers.Send(command.to, wire::protocol::kProgram,
                               program::EncodeMessage(command.body));
  if (!is_queued) {
    queue_.emplace_back(program::peer_lost{command.to});
  }
}

auto program_adapter::Execute(const program::acquire_endpoint& command)
    -> void {
  dependencies_.scheduler.Acquire(command, Now());
}

auto program_adapter::Execute(const program::abandon_endpoint& command)
    -> void {
  dependencies_.scheduler.Abandon(command.call, Now());
}

auto program_adapter::Execute(const program::release_endpoint_slot& command)
    -> void {
  dependencies_.scheduler.Release(command, Now());
}

auto program_adapter::Execute(const program::start_attempt& command) -> void {
  const auto endpoint = dependencies_.endpoints.Find(command.endpoint);
  if (!endpoint) {
    EndAttempt(command.attempt, command.is_resume
                                    ? program::attempt_result::kNotFound
                                    : program::attempt_result::kNotSent);
    return;
  }
  const auto now = Now();
  auto request =
      MakeAttempt(command, endpoint->address,
                  dependencies_.scheduler.PriorityOf(command.attempt.call));
  request.timeout = timeouts_.call;
  request.idle_timeout = timeouts_.token_idle;
  const auto id = request.id;
  auto& attempt = running_[id];
  attempt = {};
  attempt.attempt = command.attempt;
  attempt.endpoint = command.endpoint;
  attempt.started = now;
  attempt.organisation = command.organisation;
  attempt.service_class = command.service_class;
  attempt.kind = command.call.kind;
  attempt.is_resume = command.is_resume;
  dependencies_.scheduler.OnSent(command.attempt.call, now);
  dependencies_.runner.Start(
      std::move(request),
      [this, id](const std::string& text) { OnOutput(id, text); },
      [this, id](const attempt_result& result) { OnResult(id, result); });
}

auto program_adapter::Execute(const program::cancel_attempt& command) -> void {
  const auto id = program::ToString(command.attempt);
  dependencies_.runner.Cancel(id);
  const auto endpoint = dependencies_.endpoints.Find(command.endpoint);
  if (endpoint && endpoint->kind == configuration::endpoint_kind::kEngine) {
    asio::co_spawn(dependencies_.context,
                   CancelStream(dependencies_.client, endpoint->address, id),
                   asio::detached);
  }
  EndAttempt(command.attempt, program::attempt_result::kUnknown);
}

auto program_adapter::Execute(const program::reply_head& command) -> void {
  dependencies_.replies.Push(command.request, command);
}

auto program_adapter::Execute(const program::reply_part& command) -> void {
  dependencies_.replies.Push(command.request, command);
}

auto program_adapter::Execute(const program::reply_end& command) -> void {
  dependencies_.replies.Push(command.request, command);
}

auto program_adapter::Execute(const program::reply_problem& command) -> void {
  dependencies_.replies.Push(command.request, command);
}

auto program_adapter::Execute(const program::reply_view& command) -> void {
  dependencies_.replies.Push(command.request, command);
}

auto program_adapter::Execute(const program::request_lookup& command) -> void {
  const auto endpoint = dependencies_.endpoints.Find(command.endpoint);
  if (!endpoint) {
    queue_.emplace_back(program::lookup_result{
        command.call, program::lookup_status::kNoAnswer, {}});
    return;
  }
  asio::co_spawn(
      dependencies_.context,
      LookUpRun(dependencies_.client, endpoint->address, command.key),
      [this, call = command.call](const std::exception_ptr&,
                                  program::lookup_result result) {
        result.call = call;
        Submit(std::move(result));
      });
}

auto program_adapter::Execute(const program::release_memory& command) -> void {
  const auto endpoint = dependencies_.endpoints.Find(command.endpoint);
  if (!endpoint) {
    queue_.emplace_back(program::endpoint_restarted{command.endpoint});
    return;
  }
  if (endpoint->kind == configuration::endpoint_kind::kService) {
    queue_.emplace_back(
        program::release_confirmed{command.endpoint, command.program});
    return;
  }
  asio::co_spawn(
      dependencies_.context,
      ReleaseSession(dependencies_.client, endpoint->address, command.program),
      [this, command](const std::exception_ptr&, unsigned status) {
        if (status == kOk || status == kNoContent || status == kNotFound) {
          Submit(program::release_confirmed{command.endpoint, command.program});
        }
      });
}

auto program_adapter::OnOutput(const std::string& id, const std::string& text)
    -> void {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  auto& attempt = found->second;
  const auto now = Now();
  if (!attempt.has_output) {
    attempt.has_output = true;
    dependencies_.metrics_registry.Observe(
        "daisywind_first_token_seconds", attempt.organisation,
        attempt.service_class, now - attempt.started);
  }
  dependencies_.scheduler.OnOutput(attempt.attempt.call, now);
  const auto offset = attempt.text.size();
  attempt.text += text;
  Submit(program::attempt_output{attempt.attempt, offset,
                                 program::MakePayload(text)});
}

auto program_adapter::OnResult(const std::string& id,
                               const attempt_result& result) -> void {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  const auto attempt = std::move(found->second);
  running_.erase(found);
  const auto is_chat = attempt.kind == program::call_kind::kChat;
  if (result.is_leaving) {
    dependencies_.on_leaving(attempt.endpoint);
  }
  if (result.outcome == attempt_outcome::kUnknown) {
    dependencies_.on_interrupted(attempt.endpoint);
  }
  dependencies_.scheduler.OnUsage(attempt.attempt.call, result.usage);
  dependencies_.metrics_registry.Observe(
      "daisywind_attempt_seconds", attempt.organisation, attempt.service_class,
      Now() - attempt.started);
  dependencies_.metrics_registry.Count(
      "daisywind_prompt_tokens_total",
      {{"organisation", attempt.organisation.value}}, result.usage.prompt);
  dependencies_.metrics_registry.Count(
      "daisywind_cached_tokens_total",
      {{"organisation", attempt.organisation.value}}, result.usage.cached);
  auto ended = program::attempt_ended{};
  ended.attempt = attempt.attempt;
  ended.result = ToResult(result, attempt.is_resume);
  ended.answer.status = static_cast<int>(result.status);
  ended.answer.content_type = result.content_type;
  ended.answer.body =
      program::MakePayload(is_chat ? attempt.text : result.body);
  ended.answer.prompt_tokens = static_cast<std::int64_t>(result.usage.prompt);
  ended.answer.answer_tokens =
      static_cast<std::int64_t>(result.usage.completion);
  ended.answer.cached_tokens = static_cast<std::int64_t>(result.usage.cached);
  if (is_chat) {
    ended.answer_message = program::MessageText("assistant", attempt.text);
  }
  Submit(std::move(ended));
}

auto program_adapter::EndAttempt(const program::attempt_ref& attempt,
                                 program::attempt_result result) -> void {
  running_.erase(program::ToString(attempt));
  auto ended = program::attempt_ended{};
  ended.attempt = attempt;
  ended.result = result;
  Submit(std::move(ended));
}

}  // namespace daisywind::gateway
