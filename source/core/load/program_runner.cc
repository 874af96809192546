#include "load/program_runner.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <memory>
#include <utility>

#include "standin/answer.h"
#include "standin/clock.h"

namespace daisywind::load {
namespace {

namespace asio = boost::asio;

constexpr auto kBlockBytes = standin::kBlockTokens * standin::kTokenBytes;

auto Message(std::string_view role, std::string_view content) -> json::object {
  return {{"role", role}, {"content", content}};
}

// The text of a JSON object with one member.
auto Member(std::string_view name, std::string_view value) -> std::string {
  auto body = json::object{};
  body[name] = value;
  return json::serialize(body);
}

}  // namespace

auto NameOf(program_status status) -> std::string_view {
  static constexpr auto kNames = std::to_array<std::string_view>(
      {"finished", "refused", "in_doubt", "wrong"});
  return kNames.at(static_cast<std::size_t>(status));
}

program_runner::program_runner(asio::io_context& context,
                               call_client& client,
                               const program_plan& plan,
                               std::string key_prefix)
    : context_(context),
      client_(client),
      plan_(plan),
      key_prefix_(std::move(key_prefix)) {}

auto program_runner::Run() -> asio::awaitable<void> {
  const auto is_open = co_await Open();
  if (is_open) {
    co_await RunBranch(0);
  }
}

auto program_runner::Send(call item, chat_receiver* receiver)
    -> asio::awaitable<call_result> {
  const auto call_name = item.method + " " + item.target;
  const auto started_at = standin::Now();
  auto outcome =
      co_await client_.SendWithRetries(session_, std::move(item), receiver);
  const auto time = standin::Now() - started_at;
  if (time > result_.slowest.time) {
    result_.slowest = {call_name, time, outcome.attempts, outcome.reason,
                       session_.handle()};
  }
  co_return outcome;
}

auto program_runner::Open() -> asio::awaitable<bool> {
  auto item = call{};
  item.target = "/v1/programs";
  item.body = Member("class", plan_.class_name);
  const auto opened = co_await Send(std::move(item), nullptr);
  if (opened.status != call_status::kDone) {
    FailCall(opened, "open");
    co_return false;
  }
  const auto body = ParseObject(opened.body);
  session_.Update(StringOr(body.value_or(json::object{}), "program", ""));
  co_return true;
}

auto program_runner::End() -> asio::awaitable<void> {
  if (session_.handle().empty()) {
    co_return;
  }
  auto item = call{};
  item.method = "DELETE";
  item.target = "/v1/programs/self";
  co_await Send(std::move(item), nullptr);
}

auto program_runner::RunBranch(std::size_t index) -> asio::awaitable<void> {
  const auto& branch = plan_.branches[index];
  auto state = branch_state{branch.name, {}, 0, 0};
  for (const auto& step : branch.steps) {
    if (IsFailed()) {
      co_return;
    }
    co_await RunStep(state, step);
  }
}

auto program_runner::RunStep(branch_state& branch, const plan_step& step)
    -> asio::awaitable<void> {
  switch (step.kind) {
    case step_kind::kChat:
      co_await Chat(branch, step);
      break;
    case step_kind::kService:
      co_await Service(branch, step);
      break;
    case step_kind::kPause:
      co_await Pause(step.pause);
      break;
    case step_kind::kFork:
      co_await Fork(step);
      break;
  }
}

auto program_runner::MakeCall(const branch_state& branch) const -> call {
  auto item = call{};
  item.branch = branch.name;
  item.turn = branch.turn;
  return item;
}

auto program_runner::Chat(branch_state& branch, const plan_step& step)
    -> asio::awaitable<void> {
  ++branch.turn;
  branch.messages.emplace_back(Message("user", step.text));
  auto item = MakeCall(branch);
  item.target = "/v1/chat/completions";
  item.is_stream = step.is_stream;
  auto body = json::object{};
  body["model"] = plan_.model;
  body["messages"] = branch.messages;
  body["max_tokens"] = step.max_tokens;
  body["stream"] = step.is_stream;
  item.body = json::serialize(body);
  auto receiver = chat_receiver{};
  const auto outcome = co_await Send(std::move(item), &receiver);
  ++result_.calls;
  if (outcome.status != call_status::kDone) {
    FailCall(outcome, "chat");
    co_return;
  }
  if (!step.is_stream && !receiver.ParseResponse(outcome.body)) {
    Fail(program_status::kWrong, "chat", "the body is no chat answer");
    co_return;
  }
  CheckAnswer(branch, step, receiver);
}

auto program_runner::CheckAnswer(branch_state& branch,
                                 const plan_step& step,
                                 const chat_receiver& receiver) -> void {
  const auto expected =
      standin::ExpectedAnswer(plan_.model, branch.messages, step.max_tokens);
  if (receiver.IsInconsistent() || receiver.text() != expected) {
    Fail(program_status::kWrong, "chat",
         "expected \"" + expected + "\", got \"" + receiver.text() + "\"");
    return;
  }
  CountTokens(branch, receiver);
  branch.messages.emplace_back(Message("assistant", receiver.text()));
}

auto program_runner::CountTokens(branch_state& branch,
                                 const chat_receiver& receiver) -> void {
  auto& tokens = result_.tokens;
  const auto context_blocks = branch.context_bytes / kBlockBytes;
  tokens.reusable +=
      static_cast<std::int64_t>(context_blocks * standin::kBlockTokens);
  branch.context_bytes =
      standin::PromptText(branch.messages).size() + receiver.text().size();
  if (!receiver.usage()) {
    return;
  }
  tokens.prompt += receiver.usage()->prompt_tokens;
  if (receiver.usage()->cached_tokens) {
    tokens.cached =
        tokens.cached.value_or(0) + *receiver.usage()->cached_tokens;
  }
}

auto program_runner::Service(branch_state& branch, const plan_step& step)
    -> asio::awaitable<void> {
  ++branch.turn;
  auto item = MakeCall(branch);
  item.target = "/v1/services/" + step.service + step.path;
  item.body = step.text;
  item.key = key_prefix_ + "-" + std::to_string(plan_.index) + "-" +
             branch.name + "-" + std::to_string(branch.turn);
  const auto key = item.key;
  const auto outcome = co_await Send(std::move(item), nullptr);
  ++result_.calls;
  result_.service_calls.push_back({key, outcome.status});
  if (outcome.status != call_status::kDone) {
    FailCall(outcome, "service");
    co_return;
  }
  const auto expected = standin::ExpectedServiceAnswer(step.path, step.text);
  if (outcome.body != expected) {
    Fail(program_status::kWrong, "service",
         "expected " + expected + ", got " + outcome.body);
  }
}

auto program_runner::Pause(duration time) -> asio::awaitable<void> {
  auto timer = asio::steady_timer(context_, time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto program_runner::Fork(const plan_step& step) -> asio::awaitable<void> {
  auto all_ended =
      asio::steady_timer(context_, asio::steady_timer::time_point::max());
  auto running = step.branch_count;
  const auto end = step.first_branch + step.branch_count;
  for (auto index = step.first_branch; index < end; ++index) {
    const auto is_started =
        co_await SendControlCall("/v1/programs/self/branches",
                                 plan_.branches[index].name, "branch_exists");
    if (!is_started) {
      --running;
      continue;
    }
    asio::co_spawn(context_, RunBranch(index),
                   [&](const std::exception_ptr& error) {
                     if (error) {
                       std::rethrow_exception(error);
                     }
                     --running;
                     all_ended.cancel();
                   });
  }
  while (running > 0) {
    co_await all_ended.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  for (auto index = step.first_branch; index < end && !IsFailed(); ++index) {
    co_await SendControlCall("/v1/programs/self/joins",
                             plan_.branches[index].name, "branch_ended");
  }
}

auto program_runner::SendControlCall(std::string target,
                                     std::string name,
                                     std::string_view already_done_reason)
    -> asio::awaitable<bool> {
  auto item = call{};
  item.target = std::move(target);
  item.body = Member("name", name);
  const auto call_name = item.target;
  const auto outcome = co_await Send(std::move(item), nullptr);
  // A retry gets this refusal when an earlier attempt was executed.
  const auto is_done = outcome.status == call_status::kDone ||
                       outcome.reason == already_done_reason;
  if (!is_done) {
    FailCall(outcome, call_name);
  }
  co_return is_done;
}

auto program_runner::Fail(program_status status,
                          std::string call_name,
                          std::string reason) -> void {
  if (status <= result_.status) {
    return;
  }
  result_.status = status;
  result_.failed_call = std::move(call_name);
  result_.reason = std::move(reason);
}

auto program_runner::FailCall(const call_result& outcome, std::string call_name)
    -> void {
  const auto status = outcome.status == call_status::kInDoubt
                          ? program_status::kInDoubt
                          : program_status::kRefused;
  Fail(status, std::move(call_name), outcome.reason);
}

}  // namespace daisywind::load
