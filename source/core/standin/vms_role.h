// A stand-in for the platform's list of VMs, which shows changes after a delay.
#ifndef DAISYWIND_STANDIN_VMS_ROLE_H_
#define DAISYWIND_STANDIN_VMS_ROLE_H_

#include <deque>
#include <string>

#include "standin/role.h"

namespace daisywind::standin {

class vms_role : public role {
 public:
  vms_role(boost::asio::io_context& context, const stand_in_options& options);

  auto Handle(net::http_exchange& exchange)
      -> boost::asio::awaitable<void> override;

 private:
  struct list_change {
    instant visible_at;
    std::string body;
  };

  [[nodiscard]] auto VisibleList(instant now) -> std::string;

  duration lag_;
  std::string visible_ = R"({"vms":[]})";
  // Lists that are not visible yet, oldest first.
  std::deque<list_change> changes_;
};

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_VMS_ROLE_H_
