// Model of the prompt parts that an endpoint has cached.
#ifndef DAISYWIND_DISPATCH_PROMPT_PART_CACHE_H_
#define DAISYWIND_DISPATCH_PROMPT_PART_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "dispatch/types.h"

namespace daisywind::dispatch {

// The most recently used prompt parts, up to a maximum number, as a model of an
// endpoint's prefix cache. The lengths are stored because a session's part
// grows from turn to turn under one id.
class prompt_part_cache {
 public:
  explicit prompt_part_cache(std::size_t capacity) : capacity_(capacity) {}

  auto Add(const prompt_part& part) -> void;
  // Returns the length of a part, or zero if it is not in the cache.
  [[nodiscard]] auto TokensOf(const prompt_part_id& part) const
      -> std::uint32_t;

 private:
  std::size_t capacity_;
  std::list<prompt_part> by_recency_;
  std::unordered_map<prompt_part_id, std::list<prompt_part>::iterator> entries_;
};

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_PROMPT_PART_CACHE_H_
