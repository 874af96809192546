// A stand-in for the weight store: pulls take a fixed time, and their
// concurrency is limited.
#ifndef DAISYWIND_STANDIN_WEIGHTS_ROLE_H_
#define DAISYWIND_STANDIN_WEIGHTS_ROLE_H_

#include <cstddef>

#include "standin/role.h"

namespace daisywind::standin {

class weights_role : public role {
 public:
  weights_role(boost::asio::io_context& context,
               const stand_in_options& options);

  auto Handle(net::http_exchange& exchange)
      -> boost::asio::awaitable<void> override;

 private:
  boost::asio::io_context& context_;
  stand_in_options options_;
  // Number of pulls in progress.
  std::size_t pulls_ = 0;
};

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_WEIGHTS_ROLE_H_
