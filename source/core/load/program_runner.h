// Runs one program against the gateways and verifies the responses.
#ifndef DAISYWIND_LOAD_PROGRAM_RUNNER_H_
#define DAISYWIND_LOAD_PROGRAM_RUNNER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/json.h"
#include "load/call_client.h"
#include "load/program_plan.h"

namespace daisywind::load {

// How a program ended, in order of increasing severity.
enum class program_status : std::uint8_t {
  kFinished,
  // A call was refused for good, or until its timeout expired.
  kRefused,
  // A call may have been executed, but was not answered.
  kInDoubt,
  // A response differed from the one expected for its request.
  kWrong,
};

// The name of a status in the report.
auto NameOf(program_status status) -> std::string_view;

// Prompt tokens of a program's chat calls.
struct token_counts {
  std::int64_t prompt = 0;
  // Tokens of complete cache blocks that the previous turn of the branch
  // already contained.
  std::int64_t reusable = 0;
  // Cached tokens as reported in the usage; absent when no usage reported them.
  std::optional<std::int64_t> cached;

  auto operator<=>(const token_counts&) const = default;
};

// The idempotency key of a service call and how the call ended.
struct service_call_record {
  std::string key;
  call_status status = call_status::kDone;
};

// The call with the longest duration in a program, retries included.
struct slow_call {
  // Method and target of the request.
  std::string call_name;
  duration time{};
  std::int64_t attempts = 0;
  // The reason of its last refusal; empty when the first attempt was answered.
  std::string reason;
  // The program's handle after the call.
  std::string handle;
};

// The result of a program that ended.
struct program_result {
  program_status status = program_status::kFinished;
  // The call that failed in a program that did not finish, and the reason.
  std::string failed_call;
  std::string reason;
  std::int64_t calls = 0;
  token_counts tokens;
  std::vector<service_call_record> service_calls;
  slow_call slowest;
};

class program_runner {
 public:
  // The key prefix separates the idempotency keys of this run from those of
  // other runs.
  program_runner(boost::asio::io_context& context,
                 call_client& client,
                 const program_plan& plan,
                 std::string key_prefix);

  // Opens the program and runs all its branches. The program stays open until
  // End().
  auto Run() -> boost::asio::awaitable<void>;

  // Ends the program at the gateway, so that it holds no more resources there.
  auto End() -> boost::asio::awaitable<void>;

  [[nodiscard]] auto result() const -> const program_result& { return result_; }

 private:
  // The state of a running branch.
  struct branch_state {
    std::string name;
    json::array messages;
    std::uint64_t turn = 0;
    // Bytes of the prompt and the response of the last turn.
    std::size_t context_bytes = 0;
  };

  // Sends a call and records it when it is the slowest so far.
  auto Send(call item, chat_receiver* receiver)
      -> boost::asio::awaitable<call_result>;
  auto Open() -> boost::asio::awaitable<bool>;
  auto RunBranch(std::size_t index) -> boost::asio::awaitable<void>;
  auto RunStep(branch_state& branch, const plan_step& step)
      -> boost::asio::awaitable<void>;
  auto Chat(branch_state& branch, const plan_step& step)
      -> boost::asio::awaitable<void>;
  auto CheckAnswer(branch_state& branch,
                   const plan_step& step,
                   const chat_receiver& receiver) -> void;
  auto CountTokens(branch_state& branch, const chat_receiver& receiver) -> void;
  auto Service(branch_state& branch, const plan_step& step)
      -> boost::asio::awaitable<void>;
  auto Pause(duration time) -> boost::asio::awaitable<void>;
  auto Fork(const plan_step& step) -> boost::asio::awaitable<void>;
  auto SendControlCall(std::string target,
                       std::string name,
                       std::string_view already_done_reason)
      -> boost::asio::awaitable<bool>;
  auto MakeCall(const branch_state& branch) const -> call;
  auto Fail(program_status status, std::string call_name, std::string reason)
      -> void;
  auto FailCall(const call_result& outcome, std::string call_name) -> void;

  [[nodiscard]] auto IsFailed() const -> bool {
    return result_.status != program_status::kFinished;
  }

  boost::asio::io_context& context_;
  call_client& client_;
  const program_plan& plan_;
  std::string key_prefix_;
  program_session session_;
  program_result result_;
};

}  // namespace daisywind::load

#endif  // DAISYWIND_LOAD_PROGRAM_RUNNER_H_
