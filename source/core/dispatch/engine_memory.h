// Keeps the requests at an inference engine within its memory. An engine
// crashes when the tokens of its running and waiting requests exceed it.
#ifndef DAISYWIND_DISPATCH_ENGINE_MEMORY_H_
#define DAISYWIND_DISPATCH_ENGINE_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "common/time.h"
#include "dispatch/endpoint_table.h"
#include "dispatch/placement.h"
#include "dispatch/types.h"

namespace daisywind::dispatch {

// What a request takes of an engine's memory: its prompt and the output that is
// expected, which is at most the maximum.
auto RequestTokens(const call& request) -> std::uint64_t;

// Estimated tokens of the requests at an engine: this VM's own are counted,
// those of other VMs are taken to be as large as its own are on average. Before
// its first one, `request_tokens` stands for that average.
auto ExpectedTokens(const endpoint_table& endpoints,
                    const endpoint_state& state,
                    std::uint64_t request_tokens,
                    double mean_others_in_flight,
                    instant now) -> double;

// Whether a request is larger than an engine's memory. A memory of zero is not
// known.
auto ExceedsMemory(std::uint64_t request_tokens, std::uint64_t memory_tokens)
    -> bool;

// Whether an engine has memory for the request by that estimate. True if the
// request sets no memory.
auto HasMemory(const endpoint_table& endpoints,
               const endpoint_state& state,
               const placement_request& request,
               double mean_others_in_flight,
               instant now) -> bool;

// The engines that only lack memory for a request.
struct memory_shortage {
  std::size_t engines = 0;
  // The lowest estimate among them.
  double least_tokens = 0;

  auto operator<=>(const memory_shortage&) const = default;
};

// Returns nothing if memory prevents no engine from getting the request.
auto FindMemoryShortage(const endpoint_table& endpoints,
                        const placement_request& request,
                        instant now) -> std::optional<memory_shortage>;

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_ENGINE_MEMORY_H_
