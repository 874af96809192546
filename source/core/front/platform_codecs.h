// What the front needs to know of the protocols around it. The adapter of each
// platform implements these, so that no name of a platform stands elsewhere.
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

// What the front adds to a request for an endpoint.
struct attempt_head {
  endpoint_id endpoint;
  // The time that is left.
  duration time_left{};
  // 0 is served first.
  std::uint32_t urgency = 0;

  auto operator<=>(const attempt_head&) const = default;
};

// What an endpoint's answer says beside its content.
struct answer_head {
  unsigned status = 0;
  // The request that it answers; empty when the answer does not say.
  std::string request_id;
  // The endpoint states that it has not run the request.
  bool is_not_run = false;
  // Another endpoint has the address.
  bool is_other_endpoint = false;
  std::optional<dispatch::load_report> load;

  auto operator<=>(const answer_head&) const = default;
};

// Why a request gets no answer of an endpoint.
enum class refusal_reason : std::uint8_t {
  kNotReady,
  kNoRoute,
  kBadRequest,
  kNoEndpoint,
  kOverloaded,
  kBudgetSpent,
  kUnknownTurn,
  kHistoryUnavailable,
  // It may have run.
  kNoAnswer,
  kTimeout,
};

// The name of a reason in logs and metrics.
auto ReasonName(refusal_reason reason) -> std::string_view;

// An answer of the front's own.
struct refusal {
  refusal_reason reason = refusal_reason::kNotReady;
  // When the caller had best come back; nothing where it should not.
  std::optional<duration> retry_after;

  auto operator<=>(const refusal&) const = default;
};

// Translates requests and answers.
class request_codec {
 public:
  request_codec() = default;
  request_codec(const request_codec&) = delete;
  auto operator=(const request_codec&) -> request_codec& = delete;
  virtual ~request_codec() = default;

  // Reads a caller's request. Returns nothing when it is malformed.
  [[nodiscard]] virtual auto ReadCall(const net::http_request& from) const
      -> std::optional<dispatch::call> = 0;

  // The request as an endpoint gets it, without its body.
  [[nodiscard]] virtual auto MakeAttempt(const net::http_request& from,
                                         const attempt_head& head) const
      -> net::http_request = 0;

  [[nodiscard]] virtual auto ReadAnswer(const net::http_response& from) const
      -> answer_head = 0;

  // The answer as its caller gets it, without its body.
  [[nodiscard]] virtual auto MakeAnswer(const net::http_response& from) const
      -> net::http_response = 0;

  [[nodiscard]] virtual auto MakeRefusal(const refusal& from) const
      -> net::http_response = 0;

  // Whether a request asks if this VM takes requests.
  [[nodiscard]] virtual auto IsReadinessProbe(
      const net::http_request& from) const -> bool = 0;
};

// Translates what operators and endpoints write into the platform's store.
class directory_codec {
 public:
  directory_codec() = default;
  directory_codec(const directory_codec&) = delete;
  auto operator=(const directory_codec&) -> directory_codec& = delete;
  virtual ~directory_codec() = default;

  [[nodiscard]] virtual auto configuration_key() const -> std::string_view = 0;
  [[nodiscard]] virtual auto endpoint_prefix() const -> std::string_view = 0;

  // Each returns nothing when the value is not one that can be used.
  [[nodiscard]] virtual auto ReadConfiguration(std::string_view value) const
      -> std::optional<dispatch::configuration> = 0;
  [[nodiscard]] virtual auto ReadEndpoint(const endpoint_id& id,
                                          std::string_view value) const
      -> std::optional<dispatch::endpoint> = 0;
};

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_PLATFORM_CODECS_H_
