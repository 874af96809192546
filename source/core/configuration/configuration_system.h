// The configuration system of one VM: accepts patches through the key-value
// service, learns versions from it and from peers, and puts them in force.
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

// What the system has asked of others since it started.
struct configuration_counters {
  std::uint64_t kv_reads = 0;
  std::uint64_t kv_writes = 0;
  std::uint64_t kv_watches = 0;
  std::uint64_t messages = 0;
  std::uint64_t installs = 0;

  auto operator<=>(const configuration_counters&) const = default;
};

// Bounds of the system.
struct configuration_options {
  // Versions whose documents and history lines are kept in the service.
  std::size_t history_kept = 5000;

  auto operator<=>(const configuration_options&) const = default;
};

// Takes events and returns commands. All random choices follow from the seed.
class configuration_system {
 public:
  explicit configuration_system(std::uint64_t seed,
                                configuration_options options = {});
  configuration_system(const configuration_system&) = delete;
  auto operator=(const configuration_system&) -> configuration_system& = delete;
  ~configuration_system();

  // Takes one event.
  auto Handle(const event& happened, instant now) -> std::vector<command>;

  // Does what is due. Call it every kTickInterval or so.
  auto Tick(instant now) -> std::vector<command>;

  // The number of the version in force; zero when there is none.
  [[nodiscard]] auto Number() const -> version_number;

  // The version in force; null when there is none.
  [[nodiscard]] auto Document() const -> std::shared_ptr<const document>;

  // True once this run has installed the newest version that the service, or
  // while it is away the peers, could name. It stays true.
  [[nodiscard]] auto IsReady() const -> bool;

  // Age of the newest proof, from the service or through peers, that no newer
  // version has been accepted. Nothing when there has been none.
  [[nodiscard]] auto Staleness(instant now) const -> std::optional<duration>;

  // True when the proof is older than kStaleAfter, or there is none.
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
