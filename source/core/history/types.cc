#include "history/types.h"

#include <algorithm>
#include <utility>

namespace daisywind::history {

auto Merge(turn_fact known, const turn_fact& other) -> turn_fact {
  known.reserved_tokens =
      std::max(known.reserved_tokens, other.reserved_tokens);
  known.settled_tokens = std::max(known.settled_tokens, other.settled_tokens);
  known.retention_ms = std::max(known.retention_ms, other.retention_ms);
  if (!known.content) {
    known.content = other.content;
  }
  return known;
}

}  // namespace daisywind::history
