// The configuration system of one VM: commits patches through the key-value
// service, receives new versions from the service and from peers, and installs
// them.
#ifndef DAISYWIND_CONFIGURATION_CONFIGURATION_SYSTEM_H_
#define DAISYWIND_CONFIGURATION_CONFIGURATION_SYSTEM_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "common/time.h"
#include "configuration/document.h"
#include "configuration/events.h"

namespace daisywind::configuration {

// Calls, messages and installations since the start of this process.
struct configuration_counters {
  std::uint64_t kv_reads = 0;
  std::uint64_t kv_writes = 0;
  std::uint64_t kv_watches = 0;
  std::uint64_t messages = 0;
  std::uint64_t installs = 0;

  auto operator<=>(const configuration_counters&) const = default;
};

// Limits that the operator can set.
struct configuration_options {
  // Number of versions whose documents and history entries are retained in the
  // service.
  std::size_t history_kept = 5000;

  auto operator<=>(const configuration_options&) const = default;
};

// State machine that consumes events and returns commands; it performs no I/O.
// All random choices derive from the seed.
class configuration_system {
 public:
  explicit configuration_system(std::uint64_t seed,
                                configuration_options options = {});
  configuration_system(const configuration_system&) = delete;
  auto operator=(const configuration_system&) -> configuration_system& = delete;
  ~configuration_system();

  // Processes one event.
  auto Handle(const event& input, instant now) -> std::vector<command>;

  // Performs timed work that is due. Call it about every kTickInterval.
  auto Tick(instant now) -> std::vector<command>;

  // Number of the installed version; zero when there is none.
  [[nodiscard]] auto Number() const -> version_number;

  // Document of the installed version; null when there is none.
  [[nodiscard]] auto Document() const -> std::shared_ptr<const document>;

  // True once this process has installed the newest version known to the
  // service or, while the service is unreachable, to the peers. Never becomes
  // false again.
  [[nodiscard]] auto IsReady() const -> bool;

  // Time since the installed version was last proved, by the service or through
  // peers, to be the newest accepted one. Empty when there has been no proof.
  [[nodiscard]] auto Staleness(instant now) const -> std::optional<duration>;

  // True when there is no proof or it is older than kStaleAfter.
  [[nodiscard]] auto IsStale(instant now) const -> bool;

  [[nodiscard]] auto counters() const -> configuration_counters;

 private:
  struct state;

  std::unique_ptr<state> state_;
};

inline constexpr duration kTickInterval = 100ms;
inline constexpr duration kStaleAfter = 30s;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_CONFIGURATION_SYSTEM_H_
