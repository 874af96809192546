// Runs one program against the gateways and checks its answers.
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

// How a program ended, the worst last.
enum class program_status : std::uint8_t {
  kFinished,
  // A call was refused for good or until its bound.
  kRefused,
  // A call may have run and its answer never came.
  kInDoubt,
  // An answer was not the one that the request has.
  kWrong,
};

// The name of a status, as in the report.
auto NameOf(program_status status) -> std::string_view;

// Prompt tokens of a program's chat calls.
struct token_counts {
  std::int64_t prompt = 0;
  // Tokens of whole blocks that an earlier turn of the branch has had.
  std::int64_t reusable = 0;
  // Cached tokens as told by the usage; absent when it does not tell them.
  std::optional<std::int64_t> cached;

  auto operator<=>(const token_counts&) const = default;
};

// A service call by its idempotency key and how it ended.
struct service_call_record {
  std::string key;
  call_status status = call_status::kDone;
};

// The call that a program has waited for the longest.
struct slow_call {
  std::string what;
  duration time{};
  std::int64_t tries = 0;
  // The reason of its last refusal; empty when every try was answered.
  std::string reason;
  // The program's handle after the call.
  std::string handle;
};

// The end of a program.
struct program_result {
  program_status status = program_status::kFinished;
  // The call that ended an unfinished program, and why.
  std::string failed_call;
  std::string reason;
  std::int64_t calls = 0;
  token_counts tokens;
  std::vector<service_call_record> service_calls;
  slow_call slowest;
};

class program_runner {
 public:
  // The key prefix sets the idempotency keys of this run apart.
  program_runner(boost::asio::io_context& context,
                 call_client& client,
                 const program_plan& plan,
                 std::string key_prefix);

  // Opens the program, runs all its branches and leaves it open.
  auto Run() -> boost::asio::awaitable<void>;

  // Ends the program, so that nothing stays held for it.
  auto End() -> boost::asio::awaitable<void>;

  [[nodiscard]] auto result() const -> const program_result& { return result_; }

 private:
  // A branch on its way.
  struct branch_state {
    std::string name;
    json::array messages;
    std::uint64_t turn = 0;
    // Bytes of prompt and answer of the last turn.
    std::size_t known_bytes = 0;
  };

  // Makes a call and keeps it when it is the slowest so far.
  auto Make(call item, chat_receiver* receiver)
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
  auto Control(std::string target, std::string name, std::string_view repeated)
      -> boost::asio::awaitable<bool>;
  auto MakeCall(const branch_state& branch) const -> call;
  auto Fail(program_status status, std::string what, std::string reason)
      -> void;
  auto FailOn(const call_result& ended, std::string what) -> void;

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
