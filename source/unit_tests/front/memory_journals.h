// Journal members on loopback that keep facts in memory.
#ifndef DAISYWIND_UNIT_TESTS_FRONT_MEMORY_JOURNALS_H_
#define DAISYWIND_UNIT_TESTS_FRONT_MEMORY_JOURNALS_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "front_harness.h"
#include "history/fact_replica.h"
#include "history/messages.h"
#include "net/frame_channel.h"

namespace daisywind::front {

class memory_journals {
 public:
  static constexpr auto kMembers = std::size_t{3};

  // Stores a view of the members and waits until the front has it.
  explicit memory_journals(front_harness& harness);

  // Members that are silent do not reply.
  auto SetSilent(bool is_silent) -> void { is_silent_ = is_silent; }

  // The fact about a turn at the first member.
  auto FindFact(const std::string& turn) -> std::optional<history::turn_fact>;

  auto WaitUntilSettled(const std::string& turn) -> void;

  // The members' view with another number.
  [[nodiscard]] auto View(history::view_number number) const -> history::view;

  // A member's reply to a request for parts of request limits that was sent in
  // a view; it doesn't reply if there is none.
  using quota_handler = std::function<std::optional<history::message_body>(
      std::size_t member,
      const history::quota_request& request,
      history::view_number view)>;
  quota_handler on_quota;
  // Called right after such a reply has been written to its connection.
  std::function<void()> after_quota;

 private:
  struct member {
    std::size_t number = 0;
    std::string address;
    history::fact_replica replica;
    std::unique_ptr<net::channel_server> server;
  };

  auto OnFrame(member& to,
               const std::shared_ptr<net::frame_channel>& channel,
               std::string_view frame) -> void;

  front_harness& harness_;
  bool is_silent_ = false;
  std::vector<std::unique_ptr<member>> members_;
};

}  // namespace daisywind::front

#endif  // DAISYWIND_UNIT_TESTS_FRONT_MEMORY_JOURNALS_H_
