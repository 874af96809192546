// The single calls that endpoints take from us.
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

// The request of an attempt: a chat call, the resume of one, or a service call.
auto MakeAttempt(const program::start_attempt& command,
                 const net::socket_address& address,
                 std::int32_t priority) -> attempt_request;

// Cancels a stream at an engine. Failures are ignored: the engine cancels it
// by itself once its reader stays away.
auto CancelStream(net::http_client& client,
                  net::socket_address address,
                  std::string id) -> boost::asio::awaitable<void>;

// Asks a service whether it has run a key. The result names no call.
auto AskRun(net::http_client& client,
            net::socket_address address,
            std::string key) -> boost::asio::awaitable<program::lookup_result>;

// Releases what an engine holds for a program. Returns the answer's status, or
// zero when there was none.
auto ReleaseSession(net::http_client& client,
                    net::socket_address address,
                    program_id program) -> boost::asio::awaitable<unsigned>;

// The programs for which an engine holds memory, or nothing when it does not
// answer.
auto ReadSessions(net::http_client& client, net::socket_address address)
    -> boost::asio::awaitable<std::optional<std::vector<program_id>>>;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_ENDPOINT_CALLS_H_
