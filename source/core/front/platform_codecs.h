// Codecs between the front and the protocols of a platform. Each platform's
// adapter implements them, which keeps the platform's names out of the front.
#ifndef DAISYWIND_FRONT_PLATFORM_CODECS_H_
#define DAISYWIND_FRONT_PLATFORM_CODECS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/time.h"
#include "dispatch/types.h"
#include "net/http_types.h"

namespace daisywind::front {

// What the front adds to a request that it forwards to an endpoint.
struct attempt_metadata {
  endpoint_id endpoint;
  // Time left until the request's deadline.
  duration time_left{};
  // Priority of the request; 0 is served first.
  std::uint32_t urgency = 0;
  // The event after which the endpoint is to continue a stream that another one
  // broke off; empty when the request is sent as the caller sent it.
  std::string resume_after;
  // Version of the model's weights that an endpoint must have to continue the
  // stream; empty for any.
  std::optional<std::uint64_t> weights_version;
  // The caller's organisation, empty for a caller without a key. Nothing when
  // the configuration has no organisations; API keys mean nothing then.
  std::optional<organisation_id> organisation;

  auto operator<=>(const attempt_metadata&) const = default;
};

// Status and headers of an endpoint's response, decoded.
struct response_metadata {
  unsigned status = 0;
  // Id of the request that it answers; empty when the response does not state
  // it.
  std::string request_id;
  // The endpoint guarantees that it has not run the request.
  bool is_not_run = false;
  // The address belongs to another endpoint than the one that was named.
  bool is_misdirected = false;
  // The endpoint that responds finishes its current requests and gets no new
  // ones.
  bool is_leaving = false;
  std::optional<dispatch::load_report> load;
  // Requests per second that the endpoint takes from all VMs together; empty
  // when it names no limit.
  std::optional<double> rate_limit;
  // Version of the model's weights; empty when the endpoint names none.
  std::optional<std::uint64_t> weights_version;

  auto operator<=>(const response_metadata&) const = default;
};

// Why the front responds to a request itself instead of forwarding an
// endpoint's response.
enum class refusal_reason : std::uint8_t {
  kNotReady,
  kNoRoute,
  kBadRequest,
  // The route needs an API key, and the caller has none that is known.
  kUnknownKey,
  // The front can't prove that it knows which API keys are withdrawn.
  kKeysOutdated,
  // The organisation has used up its request limit.
  kQuotaExceeded,
  // No journal says whether the organisation's request limit allows a request.
  kQuotaUnknown,
  kNoEndpoint,
  kOverloaded,
  // The engines are full, and the request would start a program.
  kNotAdmitted,
  // The request can't end in time.
  kTooLate,
  // No engine has memory for the request now.
  kEnginesFull,
  // The request takes more memory than an engine has.
  kRequestTooLarge,
  kBudgetSpent,
  kUnknownTurn,
  kHistoryUnavailable,
  // An endpoint gave no valid response. The request may have run.
  kNoAnswer,
  // The deadline passed. The request may have run.
  kTimeout,
};

// The name of a reason in logs and metrics.
auto ReasonName(refusal_reason reason) -> std::string_view;

// An error response of the front itself.
struct refusal {
  refusal_reason reason = refusal_reason::kNotReady;
  // Time after which the caller should retry; nothing when it should not.
  std::optional<duration> retry_after;

  auto operator<=>(const refusal&) const = default;
};

// Translates requests and responses between the platform's HTTP headers and the
// front's types.
class request_codec {
 public:
  request_codec() = default;
  request_codec(const request_codec&) = delete;
  auto operator=(const request_codec&) -> request_codec& = delete;
  virtual ~request_codec() = default;

  // Reads a caller's request. Returns nothing when it is malformed.
  [[nodiscard]] virtual auto ReadCall(const net::http_request& from) const
      -> std::optional<dispatch::call> = 0;

  // The request to send to an endpoint, without its body.
  [[nodiscard]] virtual auto MakeEndpointRequest(
      const net::http_request& from,
      const attempt_metadata& metadata) const -> net::http_request = 0;

  [[nodiscard]] virtual auto ReadResponse(const net::http_response& from) const
      -> response_metadata = 0;

  // The version of the model's weights from an event on, given the text of that
  // event; empty when the event does not change it.
  [[nodiscard]] virtual auto ReadWeightsChange(std::string_view event) const
      -> std::optional<std::uint64_t> = 0;

  // The response to send to the caller, without its body.
  [[nodiscard]] virtual auto MakeCallerResponse(
      const net::http_response& from) const -> net::http_response = 0;

  [[nodiscard]] virtual auto MakeRefusal(const refusal& from) const
      -> net::http_response = 0;

  // Whether a request is a readiness probe of this VM.
  [[nodiscard]] virtual auto IsReadinessProbe(
      const net::http_request& from) const -> bool = 0;
};

// Decodes what operators and endpoints write into the platform's store.
class directory_codec {
 public:
  directory_codec() = default;
  directory_codec(const directory_codec&) = delete;
  auto operator=(const directory_codec&) -> directory_codec& = delete;
  virtual ~directory_codec() = default;

  [[nodiscard]] virtual auto configuration_key() const -> std::string_view = 0;
  // Prefix of the keys of endpoint entries. The endpoint's id follows it.
  [[nodiscard]] virtual auto endpoint_prefix() const -> std::string_view = 0;

  // Decode one value. Each returns nothing when the value is not valid.
  [[nodiscard]] virtual auto ReadConfiguration(std::string_view value) const
      -> std::optional<dispatch::configuration> = 0;
  [[nodiscard]] virtual auto ReadEndpoint(const endpoint_id& id,
                                          std::string_view value) const
      -> std::optional<dispatch::endpoint> = 0;
};

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_PLATFORM_CODECS_H_
