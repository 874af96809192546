// Selects routes and services of the configuration in force.
#ifndef DAISYWIND_DISPATCH_ROUTE_TABLE_H_
#define DAISYWIND_DISPATCH_ROUTE_TABLE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dispatch/types.h"

namespace daisywind::dispatch {

// Routes by host, those with longer prefixes first. A route stays valid while
// its pointer is held, also after a newer configuration.
class route_table {
 public:
  // Takes a configuration into force. Returns false when one at least as new is
  // in force already.
  auto Install(const configuration& newest) -> bool;

  [[nodiscard]] auto version() const -> version_number { return version_; }
  [[nodiscard]] auto limits() const -> const request_limits& { return limits_; }

  // The route with the longest prefix that begins the path, or null.
  [[nodiscard]] auto Find(std::string_view host, std::string_view path) const
      -> std::shared_ptr<const route>;

  [[nodiscard]] auto FindService(const service_id& id) const -> const service*;

  [[nodiscard]] auto services() const
      -> const std::unordered_map<service_id, service>& {
    return services_;
  }

 private:
  using route_list = std::vector<std::shared_ptr<const route>>;

  version_number version_ = 0;
  request_limits limits_;
  std::unordered_map<std::string, route_list> by_host_;
  std::unordered_map<service_id, service> services_;
};

// Picks one of a route's services by weight. The same key always gets the same
// service, so that a session stays with it.
auto PickService(const route& from, std::string_view key) -> service_id;

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_ROUTE_TABLE_H_
