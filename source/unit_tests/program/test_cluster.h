// Three program systems on perfect links, for tests of single decisions.
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

  // Hands an event to one system and carries out what follows on the links.
  auto Feed(std::size_t system, const event& input) -> void;

  // Marks a system as leaving in the member list of all.
  auto MarkLeaving(std::size_t system) -> void;

  // Lets time pass in steps of 100 ms.
  auto Pass(duration time) -> void;

  // Opens a program at system 0.
  auto Open(const budget& limits) -> program_handle;

  // Grants the next waiting call an endpoint and returns the started attempt.
  auto Grant() -> start_attempt;

  // Ends an attempt with an answer.
  auto Answer(const start_attempt& attempt, const std::string& text) -> void;

  // All outputs besides messages, oldest first, with their system.
  std::vector<std::pair<std::size_t, command>> outputs;

  // Endpoints granted so far.
  std::size_t grants = 0;

  // The last output of a kind, or nothing.
  template <class T>
  auto Last() const -> std::optional<T> {
    for (auto it = outputs.rbegin(); it != outputs.rend(); ++it) {
      if (const auto* item = std::get_if<T>(&it->second)) {
        return *item;
      }
    }
    return std::nullopt;
  }

  // How many outputs of a kind there are.
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
  auto Take(std::size_t system, std::vector<command> commands) -> void;

  std::vector<std::unique_ptr<program_system>> systems_;
  std::vector<member> members_;
  instant now_{duration{1s}};
};

// A chat call whose history is the given chain and one more message.
auto ChatCall(request_id request,
              const program_handle& handle,
              turn_number turn,
              const digest& before,
              std::size_t count) -> call_arrived;

// A service call that must not be repeated.
auto ServiceCall(request_id request,
                 const program_handle& handle,
                 turn_number turn,
                 const std::string& key) -> call_arrived;

}  // namespace daisywind::program

#endif  // DAISYWIND_UNIT_TESTS_PROGRAM_TEST_CLUSTER_H_
