// Faults that a test injects into a stand-in.
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

enum class fault_kind : std::uint8_t {
  // Responds 503 without running the request.
  kRefuse,
  // Runs the request and never answers; the connection stays open until the
  // client closes it.
  kStall,
  // Terminates the process when the answer would begin, after the request has
  // started to run.
  kCrash,
  // Runs the request, then closes the connection without an answer.
  kLoseAnswer,
  // Closes the connection in the middle of the answer.
  kCutStream,
  // Delays the start of the request.
  kSlow,
};

// A fault and the requests to which it applies.
struct fault {
  fault_kind kind = fault_kind::kRefuse;
  // Number of further requests to which the fault applies; negative for no
  // limit.
  std::int64_t count = 1;
  // kCutStream: bytes of the answer that are sent before the connection closes.
  // Without a value, half of a plain response or 400 bytes of a stream are
  // sent.
  std::optional<std::size_t> after_bytes;
  // kSlow: delay before the request starts.
  duration delay{};
  // Requests match by the prefix of their path and by a substring of their
  // body; empty strings match every request.
  std::string path_prefix;
  std::string body_contains;

  auto operator<=>(const fault&) const = default;
};

// Parses a fault from JSON. Returns nullopt when the kind is unknown.
auto ParseFault(const json::object& object) -> std::optional<fault>;

// The name of a fault kind in JSON.
auto FaultName(fault_kind kind) -> std::string_view;

// The active faults of one stand-in, oldest first.
class fault_table {
 public:
  auto Add(fault item) -> void;
  auto Clear() -> void;

  // Returns the first fault that applies to the request and decrements its
  // count; the fault is removed when the count reaches 0.
  auto Take(const net::http_request& request) -> std::optional<fault>;

 private:
  std::vector<fault> faults_;
};

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_FAULT_TABLE_H_
