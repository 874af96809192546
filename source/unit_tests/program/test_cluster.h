// Three program systems connected by a network without loss, delay or
// reordering, for unit tests.
#ifndef DAISYWIND_UNIT_TESTS_PROGRAM_TEST_CLUSTER_H_
#define DAISYWIND_UNIT_TESTS_PROGRAM_TEST_CLUSTER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "program/program_system.h"

namespace daisywind::program {

class test_cluster {
 public:
  explicit test_cluster(const program_options& options = {});

  // Delivers an event to one system, and then all messages that follow from it.
  auto Deliver(std::size_t system, const event& input) -> void;

  // Marks a system as leaving in the member lists of all systems.
  auto MarkLeaving(std::size_t system) -> void;

  // Advances the time in steps of 100 ms and runs a tick of each system.
  auto AdvanceTime(duration time) -> void;

  // Opens a program at system 0.
  auto Open(const budget& limits) -> program_handle;

  // Grants an endpoint to the call that asked last and returns its attempt.
  auto Grant() -> start_attempt;

  // Ends an attempt at system 0 with an answer.
  auto Answer(const start_attempt& attempt, const std::string& text) -> void;

  // All commands but messages, oldest first, each with the system's index.
  std::vector<std::pair<std::size_t, command>> outputs;

  // Number of endpoints granted so far.
  std::size_t grants = 0;

  // The last command of a type, or nothing.
  template <class T>
  auto Last() const -> std::optional<T> {
    for (auto it = outputs.rbegin(); it != outputs.rend(); ++it) {
      if (const auto* item = std::get_if<T>(&it->second)) {
        return *item;
      }
    }
    return std::nullopt;
  }

  // Number of commands of a type.
  template <class T>
  auto Count() const -> std::size_t {
    auto count = std::size_t{0};
    for (const auto& entry : outputs) {
      count += std::holds_alternative<T>(entry.second) ? 1 : 0;
    }
    return count;
  }

  auto system(std::size_t index) -> program_system& { return *systems_[index]; }

 private:
  auto Execute(std::size_t system, std::vector<command> commands) -> void;

  std::vector<std::unique_ptr<program_system>> systems_;
  std::vector<member> members_;
  instant now_{duration{1s}};
};

// A chat call. Its history holds `count` copies of the digest `before`, then
// the digest of one new message.
auto ChatCall(request_id request,
              const program_handle& handle,
              turn_number turn,
              const digest& before,
              std::size_t count) -> call_arrived;

// A service call that is not idempotent.
auto ServiceCall(request_id request,
                 const program_handle& handle,
                 turn_number turn,
                 const std::string& key) -> call_arrived;

}  // namespace daisywind::program

#endif  // DAISYWIND_UNIT_TESTS_PROGRAM_TEST_CLUSTER_H_
