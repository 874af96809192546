// 64-bit hash of an endpoint's id. It replaces the id in messages that refer to
// many endpoints, to keep them short.
#ifndef DAISYWIND_COMMON_ENDPOINT_KEY_H_
#define DAISYWIND_COMMON_ENDPOINT_KEY_H_

#include <cstdint>

#include "common/digest.h"
#include "common/ids.h"

namespace daisywind {

// All VMs compute the same key for an endpoint.
using endpoint_key = std::uint64_t;

inline auto KeyOf(const endpoint_id& id) -> endpoint_key {
  return PlacementHash(id.value);
}

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_ENDPOINT_KEY_H_
