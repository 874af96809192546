#include "net/message_limits.h"

#include <atomic>

#include "common/logging.h"

namespace daisywind::net {
namespace {

// NOLINTNEXTLINE(cppcoreguidelines-avoid-non-const-global-variables)
std::atomic<std::uint64_t> oversized_messages{0};

}  // namespace

auto ReportOversized(std::string_view source, std::string_view reason) -> void {
  ++oversized_messages;
  Log(log_events::kMessageTooLarge, {{"source", source}, {"reason", reason}});
}

auto OversizedMessages() -> std::uint64_t {
  return oversized_messages;
}

}  // namespace daisywind::net
