// A short stand-in for an endpoint's id in messages that name many endpoints.
#ifndef DAISYWIND_COMMON_ENDPOINT_KEY_H_
#define DAISYWIND_COMMON_ENDPOINT_KEY_H_

#include <cstdint>

#include "common/digest.h"
#include "common/ids.h"

namespace daisywind {

// The same on every VM.
using endpoint_key = std::uint64_t;

inline auto KeyOf(const endpoint_id& id) -> endpoint_key {
  return PlacementHash(id.value);
}

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_ENDPOINT_KEY_H_
