// The endpoints that may be used, and what this VM's own requests showed of
// them.
#ifndef DAISYWIND_DISPATCH_ENDPOINT_TABLE_H_
#define DAISYWIND_DISPATCH_ENDPOINT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/endpoint_key.h"
#include "common/ids.h"
#include "common/time.h"
#include "dispatch/types.h"

namespace daisywind::dispatch {

// How an attempt at an endpoint went, as far as it tells of the endpoint.
enum class health_signal : std::uint8_t {
  // It answered the request.
  kAnswered,
  // It was full.
  kFull,
  // Another endpoint has its address.
  kWrongEndpoint,
  // It could not be reached or broke off.
  kFailed,
  // It had not begun to answer when the request was over.
  kNoResponse,
};

// Bounds of what is remembered of endpoints.
struct endpoint_options {
  // An entry that vanished while the store could not be trusted is used this
  // long on. Entries of live endpoints are back within two seconds of the
  // store's return.
  duration removal_grace = 2s;
  // Pause after failures, doubled with each one up to the longest.
  duration first_pause = 250ms;
  duration longest_pause = 4s;
  // Pause after an endpoint said that it is full.
  duration full_pause = 60ms;
  // Age at which what other VMs had under way at an endpoint counts half; the
  // other half is what they have under way at the service's endpoints on the
  // average.
  duration report_half_life = 500ms;
  // Age at which a failure counts half. Endpoints that fail part of their
  // requests do so for seconds.
  duration failure_half_life = 3s;
  // Reports of failures that are no further apart are taken for one.
  duration same_failure = 10ms;
  // Age up to which a report counts for that average.
  duration report_lifetime = 4s;
  // Prompt parts remembered for each endpoint.
  std::size_t parts_per_endpoint = 1024;

  auto operator<=>(const endpoint_options&) const = default;
};

// One endpoint and its measured state.
struct endpoint_state {
  endpoint entry;
  // Requests of this VM under way.
  std::uint32_t in_flight = 0;
  std::optional<load_report> report;
  instant reported_at{};
  // Requests of other VMs at the time of the report.
  double others = 0;
  std::uint32_t failures = 0;
  instant paused_until{};
  // Failures that any VM has seen, where each counts less with time.
  double failure_score = 0;
  instant failed_at{};
  // Set while its entry is missing but may come back.
  std::optional<instant> gone_at;
  instant registered_at{};
};

// Remembers the parts that were last used, up to a bound, and how long they
// were: a session's part grows from turn to turn.
class part_memory {
 public:
  explicit part_memory(std::size_t capacity) : capacity_(capacity) {}

  auto Add(const prompt_part& part) -> void;
  // Zero for a part that is not remembered.
  [[nodiscard]] auto TokensOf(const prompt_part_id& part) const
      -> std::uint32_t;

 private:
  std::size_t capacity_;
  std::list<prompt_part> order_;
  std::unordered_map<prompt_part_id, std::list<prompt_part>::iterator> places_;
};

// Endpoints by id and by service. Times are injected.
class endpoint_table {
 public:
  explicit endpoint_table(endpoint_options options) : options_(options) {}

  // Takes in an entry. A later start under the same id forgets what was known.
  auto Put(const endpoint& entry, instant now) -> void;

  // Handles the removal of an entry. In doubt it stays in use for a while.
  auto Remove(const endpoint_id& id, bool is_in_doubt, instant now) -> void;

  // Forgets entries whose time of doubt has passed. Returns their ids.
  auto Tick(instant now) -> std::vector<endpoint_id>;

  [[nodiscard]] auto Find(const endpoint_id& id) const -> const endpoint_state*;
  [[nodiscard]] auto OfService(const service_id& id) const
      -> const std::vector<const endpoint_state*>&;
  [[nodiscard]] auto Ids() const -> std::vector<endpoint_id>;
  [[nodiscard]] auto size() const -> std::size_t { return states_.size(); }

  auto OnSent(const endpoint_id& id) -> void;
  auto OnEnded(const endpoint_id& id) -> void;
  auto OnReport(const endpoint_id& id, const load_report& report, instant now)
      -> void;
  // Takes in what an endpoint has said to another VM.
  auto OnSharedReport(endpoint_key key,
                      std::uint32_t running,
                      std::uint32_t waiting,
                      instant taken_at) -> void;
  // Takes in that an endpoint has failed a request of another VM.
  auto OnSharedFailure(endpoint_key key, instant failed_at) -> void;
  auto OnHealthSignal(const endpoint_id& id, health_signal sign, instant now)
      -> void;

  // Remembers that an endpoint has read a prompt.
  auto OnPromptRead(const endpoint_id& id,
                    const std::vector<prompt_part>& parts) -> void;

  // Tokens of a prompt that an endpoint has to read, as far as is known. A part
  // counts as cached only behind wholly cached parts.
  [[nodiscard]] auto MissingTokens(const endpoint_id& id,
                                   const std::vector<prompt_part>& parts) const
      -> std::uint64_t;

  // Requests of other VMs at an endpoint of a service, on the average of those
  // that have reported lately; zero when none has.
  [[nodiscard]] auto MeanOthers(const service_id& service, instant now) const
      -> double;

  // Failures of an endpoint that still count.
  [[nodiscard]] auto FailureScore(const endpoint_state& state,
                                  instant now) const -> double;

  // Requests that an endpoint runs or keeps waiting, as far as is known. An old
  // report, or none, leads to the average of its service.
  [[nodiscard]] auto ExpectedLoad(const endpoint_state& state,
                                  double mean_others,
                                  instant now) const -> double;

 private:
  struct slot {
    endpoint_state state;
    part_memory parts;
  };

  auto Erase(const endpoint_id& id) -> void;
  auto CountFailure(endpoint_state& state, instant failed_at) const -> void;

  endpoint_options options_;
  // Its elements stay where they are, so the other tables refer to them.
  std::unordered_map<endpoint_id, slot> states_;
  std::unordered_map<service_id, std::vector<const endpoint_state*>>
      by_service_;
  // By the hash under which VMs tell each other of endpoints.
  std::unordered_map<endpoint_key, endpoint_id> by_key_;
  std::vector<const endpoint_state*> none_;
};

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_ENDPOINT_TABLE_H_
