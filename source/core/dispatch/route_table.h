// Looks up routes and services in the active configuration.
#ifndef DAISYWIND_DISPATCH_ROUTE_TABLE_H_
#define DAISYWIND_DISPATCH_ROUTE_TABLE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dispatch/organisation_table.h"
#include "dispatch/types.h"

namespace daisywind::dispatch {

// Routes by host, those with longer prefixes first. A route stays valid while
// its pointer is held, even after a newer configuration is installed.
class route_table {
 public:
  // Activates a configuration. Returns false when the active one is as new or
  // newer.
  auto Install(const configuration& newest) -> bool;

  [[nodiscard]] auto version() const -> version_number { return version_; }
  [[nodiscard]] auto limits() const -> const request_limits& { return limits_; }

  // Returns the host's route with the longest prefix that matches the path, or
  // null.
  [[nodiscard]] auto Find(std::string_view host, std::string_view path) const
      -> std::shared_ptr<const route>;

  [[nodiscard]] auto FindService(const service_id& id) const -> const service*;

  [[nodiscard]] auto organisations() const -> const organisation_table& {
    return organisations_;
  }

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
  organisation_table organisations_;
};

// Picks one of a route's services by weight. The same key always gets the same
// service, so that a session stays with its service.
auto PickService(const route& from, std::string_view key) -> service_id;

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_ROUTE_TABLE_H_
