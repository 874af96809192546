// Faults that a test sets on a stand-in.
#ifndef DAISYWIND_STANDIN_FAULT_TABLE_H_
#define DAISYWIND_STANDIN_FAULT_TABLE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/json.h"
#include "common/time.h"
#include "net/http_types.h"

namespace daisywind::standin {

// What goes wrong with a request.
enum class fault_kind : std::uint8_t {
  // 503 before the request runs.
  kRefuse,
  // The request runs and its answer never comes.
  kStall,
  // The process ends at once, after the request has started to run.
  kCrash,
  // The request runs, then the connection closes without an answer.
  kLoseAnswer,
  // The connection closes in the middle of the answer.
  kCutStream,
  // The request starts late.
  kSlow,
};

// One fault and the requests that it hits.
struct fault {
  fault_kind kind = fault_kind::kRefuse;
  // Number of requests that are still to be hit; negative without bound.
  std::int64_t count = 1;
  // Bytes of the answer that leave before a cut; none for half of the answer.
  std::optional<std::size_t> after_bytes;
  duration delay{};
  std::string path_prefix;
  std::string body_contains;

  auto operator<=>(const fault&) const = default;
};

// Reads a fault from its JSON form. Returns nothing when the kind is unknown.
auto ParseFault(const json::object& object) -> std::optional<fault>;

// The name of a kind, as in the JSON form.
auto FaultName(fault_kind kind) -> std::string_view;

// The faults in force on one stand-in, oldest first.
class fault_table {
 public:
  auto Add(fault item) -> void;
  auto Clear() -> void;

  // The first fault that hits the request. Its count goes down by one.
  auto Take(const net::http_request& request) -> std::optional<fault>;

 private:
  std::vector<fault> faults_;
};

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_FAULT_TABLE_H_
