// Addresses of endpoints. Keeps endpoints that have been removed from the
// configuration, since they may still hold memory that has to be released.
#ifndef DAISYWIND_GATEWAY_ENDPOINT_DIRECTORY_H_
#define DAISYWIND_GATEWAY_ENDPOINT_DIRECTORY_H_

#include <map>
#include <optional>

#include "common/ids.h"
#include "configuration/document.h"
#include "net/http_types.h"

namespace daisywind::gateway {

// Address and kind of an endpoint.
struct endpoint_entry {
  net::socket_address address;
  configuration::endpoint_kind kind = configuration::endpoint_kind::kEngine;
  bool is_configured = true;

  auto operator<=>(const endpoint_entry&) const = default;
};

class endpoint_directory {
 public:
  // Adds and updates the endpoints of a configuration and marks all others as
  // no longer configured.
  auto Update(const configuration::document& document) -> void;

  // The entry of an endpoint that is or was configured.
  [[nodiscard]] auto Find(const endpoint_id& endpoint) const
      -> std::optional<endpoint_entry>;

 private:
  std::map<endpoint_id, endpoint_entry> entries_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_ENDPOINT_DIRECTORY_H_
