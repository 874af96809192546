// Where endpoints are. Endpoints that have left the configuration are kept,
// since memory may still have to be released there.
#ifndef DAISYWIND_GATEWAY_ENDPOINT_DIRECTORY_H_
#define DAISYWIND_GATEWAY_ENDPOINT_DIRECTORY_H_

#include <map>
#include <optional>

#include "common/ids.h"
#include "configuration/document.h"
#include "net/http_types.h"

namespace daisywind::gateway {

// What the adapters need to reach an endpoint.
struct endpoint_entry {
  net::socket_address address;
  configuration::endpoint_kind kind = configuration::endpoint_kind::kEngine;
  bool is_configured = true;

  auto operator<=>(const endpoint_entry&) const = default;
};

// Endpoints by their names.
class endpoint_directory {
 public:
  // Takes the endpoints of a configuration.
  auto Update(const configuration::document& document) -> void;

  // The entry of an endpoint that is or was configured.
  [[nodiscard]] auto Find(const endpoint_id& endpoint) const
      -> std::optional<endpoint_entry>;

 private:
  std::map<endpoint_id, endpoint_entry> entries_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_ENDPOINT_DIRECTORY_H_
