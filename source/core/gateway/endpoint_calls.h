// HTTP requests to endpoints: attempts, cancellations, lookups and releases.
#ifndef DAISYWIND_GATEWAY_ENDPOINT_CALLS_H_
#define DAISYWIND_GATEWAY_ENDPOINT_CALLS_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gateway/attempt_runner.h"
#include "net/http_client.h"
#include "program/commands.h"
#include "program/events.h"

namespace daisywind::gateway {

// Builds the request of an attempt, which is a chat call, the resumption of a
// chat stream, or a service call.
auto MakeAttempt(const program::start_attempt& command,
                 const net::socket_address& address,
                 std::int32_t priority) -> attempt_request;

// Cancels a stream at an engine. Failures are ignored, since the engine itself
// cancels a stream that is no longer read.
auto CancelStream(net::http_client& client,
                  net::socket_address address,
                  std::string id) -> boost::asio::awaitable<void>;

// Asks a service whether it has run the call with an idempotency key. The call
// field of the result is left empty.
auto LookUpRun(net::http_client& client,
               net::socket_address address,
               std::string key)
    -> boost::asio::awaitable<program::lookup_result>;

// Releases the memory that an engine holds for a program. Returns the status of
// the response, or zero when there was none.
auto ReleaseSession(net::http_client& client,
                    net::socket_address address,
                    program_id program) -> boost::asio::awaitable<unsigned>;

// Returns the programs for which an engine holds memory, or nothing when it
// does not respond.
auto ReadSessions(net::http_client& client, net::socket_address address)
    -> boost::asio::awaitable<std::optional<std::vector<program_id>>>;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_ENDPOINT_CALLS_H_
