// A stand-in for an external service. It counts its runs by idempotency key and
// does not deduplicate them, so that tests detect duplicate runs.
#ifndef DAISYWIND_STANDIN_SERVICE_ROLE_H_
#define DAISYWIND_STANDIN_SERVICE_ROLE_H_

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "standin/json_body.h"
#include "standin/role.h"

namespace daisywind::standin {

class service_role : public role {
 public:
  service_role(boost::asio::io_context& context,
               const stand_in_options& options);

  auto Handle(net::http_exchange& exchange)
      -> boost::asio::awaitable<void> override;

 private:
  struct key_state {
    std::int64_t count = 0;
    // The body of the last answer; empty until a run has finished.
    std::string answer;
  };

  auto Run(net::http_exchange& exchange) -> boost::asio::awaitable<void>;
  auto RecordStart(const std::string& key) -> void;
  auto WaitForSlot() -> boost::asio::awaitable<void>;
  [[nodiscard]] auto Runs() const -> net::http_response;
  [[nodiscard]] auto Load() const -> net::http_response;
  [[nodiscard]] auto LookUp(const std::string& key) const -> net::http_response;

  boost::asio::io_context& context_;
  stand_in_options options_;
  std::map<std::string, key_state> runs_;
  std::size_t running_ = 0;
  std::size_t queued_ = 0;
  // Never expires; cancelled when a run finishes, to wake the queued requests.
  boost::asio::steady_timer slot_free_;
};

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_SERVICE_ROLE_H_
