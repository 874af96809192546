// Removes the programs that are over from this VM's replica.
#ifndef DAISYWIND_JOURNAL_PROGRAM_EXPIRY_H_
#define DAISYWIND_JOURNAL_PROGRAM_EXPIRY_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <vector>

#include "common/time.h"
#include "history/quorum.h"
#include "history_client/member_client.h"

namespace daisywind::journal {

class journal_node;

struct program_expiry_options {
  // Time between two sweeps.
  duration interval = 5s;
  // A request to a member fails when there is no reply within this time.
  duration request_timeout = 1s;
};

// This VM's facts of a program may all be outlived while other members hold
// newer turns, whose chains need the old ones. A program is therefore removed
// only once a read quorum has confirmed that no turn of it is kept any longer.
// Without a quorum nothing is removed.
class program_expiry {
 public:
  program_expiry(boost::asio::io_context& context,
                 journal_node& node,
                 std::size_t tolerated_losses,
                 program_expiry_options options);

  // Removes the outlived programs, as far as a quorum confirms that.
  auto Sweep() -> boost::asio::awaitable<void>;

  [[nodiscard]] auto options() const -> const program_expiry_options& {
    return options_;
  }

 private:
  // Asks the members about some programs. Returns without a quorum when too few
  // reply or when the view changes meanwhile.
  auto Decide(std::vector<history::program_name> programs)
      -> boost::asio::awaitable<history::removal_decision>;

  journal_node& node_;
  std::size_t tolerated_losses_;
  program_expiry_options options_;
  history::member_clients clients_;
};

}  // namespace daisywind::journal

#endif  // DAISYWIND_JOURNAL_PROGRAM_EXPIRY_H_
