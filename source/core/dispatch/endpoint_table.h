// Registered endpoints with the load and health that VMs have observed on them.
#ifndef DAISYWIND_DISPATCH_ENDPOINT_TABLE_H_
#define DAISYWIND_DISPATCH_ENDPOINT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/endpoint_key.h"
#include "common/ids.h"
#include "common/time.h"
#include "dispatch/prompt_part_cache.h"
#include "dispatch/types.h"

namespace daisywind::dispatch {

// The result of one attempt of a request, as a sign of the endpoint's health.
// No probes are sent.
enum class health_signal : std::uint8_t {
  // It answered the request completely.
  kAnswered,
  // It stated that it did not run the request, as it does when it is full.
  kFull,
  // A different endpoint answered at its address.
  kWrongEndpoint,
  // The connection failed or broke off before the end of the answer.
  kFailed,
  // It sent no response before the attempt timed out.
  kNoResponse,
};

// Time and size limits of the endpoint table.
struct endpoint_options {
  // How long an endpoint stays in the table after its entry vanished while the
  // content of the store could not be trusted. Entries of live endpoints are
  // back within two seconds of the store's return.
  duration removal_grace = 2s;
  // How long a failed endpoint is not chosen while others are available,
  // doubled with each consecutive failure up to the maximum.
  duration initial_pause = 250ms;
  duration max_pause = 4s;
  // The same pause after an endpoint stated that it is full.
  duration full_pause = 60ms;
  // Half-life of the weight of earlier reports in the mean pace, and of the
  // difference of that mean from the usual. Paces change many times a second.
  duration pace_half_life = 500ms;
  // Maximum half-life of the weight that a load report has in the estimate of
  // the requests that other VMs have in flight at an endpoint. The rest of the
  // weight goes to the mean over the service's endpoints.
  duration report_half_life = 500ms;
  // The half-life as a multiple of the service's mean response time, divided by
  // the number of fronts, and the lowest such multiple. Fronts that know the
  // same reports move the load all together, the faster the more they are; an
  // older report makes them all choose an endpoint that has filled up since.
  double report_half_life_responses = 4.0;
  double min_report_half_life_responses = 0.15;
  // Weight of a response in the mean response time.
  double response_time_weight = 0.02;
  // Time in which the weight of a failure in the failure score halves.
  // Endpoints that fail part of their requests do so for seconds.
  duration failure_half_life = 3s;
  // Reports of failures that are at most this far apart count as one failure.
  duration duplicate_failure_window = 10ms;
  // Maximum age of a report that is included in the mean over the service's
  // endpoints.
  duration report_lifetime = 4s;
  // Maximum number of prompt parts that are tracked as cached per endpoint.
  std::size_t max_cached_parts_per_endpoint = 1024;
  // How long a run that has said it leaves is remembered without an entry. A
  // leaving endpoint may serve for many seconds, and its entry may come back.
  duration leaving_retention = 600s;

  auto operator<=>(const endpoint_options&) const = default;
};

// How many requests this VM may send to an endpoint that limits their rate: one
// at a time, and `per_second` in the long run.
struct request_quota {
  double per_second = 0;
  // Requests that may be sent now, at most one, as of updated_at.
  double available = 0;
  instant updated_at{};

  auto operator<=>(const request_quota&) const = default;
};

// One run of an endpoint, between its start and its end.
struct endpoint_run {
  service_id service;
  std::string address;
  std::int64_t started_ms = 0;

  auto operator<=>(const endpoint_run&) const = default;
};

// The run that an entry describes.
auto RunOf(const endpoint& entry) -> endpoint_run;

// How evenly the load of a service is spread, by the last recent report of each
// endpoint.
struct load_spread {
  std::size_t reporting = 0;
  // Endpoints without and with a free slot.
  std::size_t full = 0;
  std::size_t with_free_slots = 0;
  // Mean number of requests that run or wait at an endpoint, and its
  // coefficient of variation.
  double mean = 0;
  double variation = 0;

  auto operator<=>(const load_spread&) const = default;
};

// An endpoint with its observed load and health.
struct endpoint_state {
  endpoint entry;
  endpoint_key key = 0;
  // Its responses to this VM say that it leaves, whatever its entry says.
  bool has_said_it_leaves = false;
  // Requests in flight from this VM.
  std::uint32_t in_flight = 0;
  // Tokens of these requests.
  std::uint64_t tokens_in_flight = 0;
  std::optional<load_report> report;
  instant reported_at{};
  // Requests in flight from other VMs at the time of the report.
  double others_in_flight = 0;
  // Mean pace over the last reports that had one, as of paced_at.
  std::optional<double> pace;
  instant paced_at{};
  // Failures of this VM's requests since the last complete answer, without the
  // requests that got no response.
  std::uint32_t consecutive_failures = 0;
  instant paused_until{};
  // Number of failures seen by any VM, each weighted down exponentially with
  // its age, as of failed_at.
  double failure_score = 0;
  instant failed_at{};
  // Requests per second that it takes from all VMs together, if it limits them.
  std::optional<double> rate_limit;
  // This VM's part of the rate limit; set together with it.
  std::optional<request_quota> quota;
  // When the endpoint is dropped unless its entry comes back; set only while
  // the entry is missing.
  std::optional<instant> expires_at;
  instant registered_at{};

  // Whether it finishes its current requests and gets no new ones.
  [[nodiscard]] auto IsLeaving() const -> bool {
    return entry.is_draining || has_said_it_leaves;
  }
};

// Endpoints by id and by service. Reads no clock: callers pass the time.
class endpoint_table {
 public:
  explicit endpoint_table(endpoint_options options) : options_(options) {}

  // Adds or updates a registered endpoint. A later start time under the same id
  // means a restart: the state of the previous run is dropped.
  auto Put(const endpoint& entry, instant now) -> void;

  // Removes an entry. If the removal is in doubt, as when the store's content
  // cannot be trusted, the endpoint stays in the table for a grace period.
  auto Remove(const endpoint_id& id, bool is_in_doubt, instant now) -> void;

  // Drops endpoints whose grace period has passed. Returns their ids.
  auto Tick(instant now) -> std::vector<endpoint_id>;

  [[nodiscard]] auto Find(const endpoint_id& id) const -> const endpoint_state*;
  [[nodiscard]] auto OfService(const service_id& id) const
      -> const std::vector<const endpoint_state*>&;
  [[nodiscard]] auto Ids() const -> std::vector<endpoint_id>;
  [[nodiscard]] auto size() const -> std::size_t { return states_.size(); }

  // Records that an endpoint has said it leaves, in a response to a request
  // that was sent while its entry was the given one. Lasts until another run is
  // registered under its id, also while it has no entry. Returns whether that
  // is news.
  auto SetLeaving(const endpoint& entry, instant now) -> bool;

  // Takes the request from the endpoint's quota. `tokens` are those that it
  // takes in an engine's memory; zero at other endpoints.
  auto OnRequestSent(const endpoint_id& id,
                     instant now,
                     std::uint64_t tokens = 0) -> void;
  // The time from sending the request to the end of its response is given only
  // for a complete response.
  auto OnRequestEnded(const endpoint_id& id,
                      std::uint64_t tokens = 0,
                      std::optional<duration> response_time = std::nullopt)
      -> void;
  auto OnReport(const endpoint_id& id, const load_report& report, instant now)
      -> void;
  // Applies a load report that the endpoint gave to another VM.
  auto OnSharedReport(endpoint_key key,
                      const load_report& report,
                      instant taken_at) -> void;
  // Applies a failed request of another VM at the endpoint.
  auto OnSharedFailure(endpoint_key key, instant failed_at) -> void;
  auto OnHealthSignal(const endpoint_id& id, health_signal signal, instant now)
      -> void;
  // Sets the rate that an endpoint takes from all VMs together and the part of
  // it that this VM may use, 0 to 1, or removes both. A new quota starts with
  // nothing available. Returns whether that is a change.
  auto SetRateLimit(const endpoint_id& id,
                    std::optional<double> per_second,
                    double share,
                    instant now) -> bool;

  // Whether the quota, if there is one, allows a request to be sent now.
  [[nodiscard]] auto HasQuota(const endpoint_state& state, instant now) const
      -> bool;

  // Time until the next request may be sent to any endpoint of a service whose
  // quota does not allow one now; empty if there is no such endpoint.
  [[nodiscard]] auto NextQuota(const service_id& service, instant now) const
      -> std::optional<duration>;

  // Records that an endpoint has processed a prompt, whose parts are then taken
  // to be in its prefix cache.
  auto OnPromptProcessed(const endpoint_id& id,
                         const std::vector<prompt_part>& parts) -> void;

  // Tokens of a prompt that an endpoint has to prefill, as far as is known. A
  // part counts as cached only if all parts before it are cached in full.
  [[nodiscard]] auto MissingTokens(const endpoint_id& id,
                                   const std::vector<prompt_part>& parts) const
      -> std::uint64_t;

  // Mean number of requests in flight from other VMs per endpoint of a service,
  // over the endpoints with a recent report; zero when there is none.
  [[nodiscard]] auto MeanOthersInFlight(const service_id& service,
                                        instant now) const -> double;

  // The load of the service's endpoints with a recent report that are not
  // leaving.
  [[nodiscard]] auto SpreadOf(const service_id& service, instant now) const
      -> load_spread;
  [[nodiscard]] auto Services() const -> std::vector<service_id>;

  // Sets the number of fronts that choose among the endpoints, with this one.
  auto SetFrontCount(std::size_t count) -> void { front_count_ = count; }

  // Half-life of a load report's weight. It is the maximum until the number of
  // fronts and a response time are known.
  [[nodiscard]] auto ReportHalfLife(const service_id& service) const
      -> duration;

  // Number of failures of an endpoint, each weighted by its age at `now`.
  [[nodiscard]] auto FailureScore(const endpoint_state& state,
                                  instant now) const -> double;

  // Estimated number of requests that an endpoint runs or queues. With the age
  // of its report, the estimate of other VMs' requests approaches the mean of
  // the service; without a report it is that mean.
  [[nodiscard]] auto ExpectedLoad(const endpoint_state& state,
                                  double mean_others_in_flight,
                                  instant now) const -> double;

  // Mean tokens of this VM's requests to a service, with more weight on later
  // ones; empty before the first request with tokens.
  [[nodiscard]] auto MeanRequestTokens(const service_id& service) const
      -> std::optional<double>;

  // Expected time of work at an endpoint, as a multiple of the usual.
  [[nodiscard]] auto ExpectedPace(const endpoint_state& state,
                                  instant now) const -> double;

 private:
  struct table_entry {
    endpoint_state state;
    prompt_part_cache parts;
  };

  auto Erase(const endpoint_id& id) -> void;
  auto CountFailure(endpoint_state& state, instant failed_at) const -> void;
  auto ApplyReport(endpoint_state& state,
                   const load_report& report,
                   instant taken_at) const -> void;

  endpoint_options options_;
  // Elements of an unordered_map keep their addresses, so the other tables hold
  // pointers to them.
  std::unordered_map<endpoint_id, table_entry> states_;
  std::unordered_map<service_id, std::vector<const endpoint_state*>>
      by_service_;
  std::unordered_map<service_id, double> mean_request_tokens_;
  // Mean time of the complete responses to this VM.
  std::unordered_map<service_id, duration> response_times_;
  // Zero while it is not known.
  std::size_t front_count_ = 0;
  // Keyed by the hash that identifies endpoints in the load samples between
  // VMs.
  std::unordered_map<endpoint_key, endpoint_id> by_key_;
  // Runs that have said they leave, and when each was last seen here.
  struct leaving_run {
    endpoint_run run;
    instant seen_at{};
  };
  std::unordered_map<endpoint_id, leaving_run> leaving_;
  std::vector<const endpoint_state*> no_endpoints_;
};

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_ENDPOINT_TABLE_H_
