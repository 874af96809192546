// HTTP messages as plain values, so that few files need to include Boost.Beast.
#ifndef DAISYWIND_NET_HTTP_TYPES_H_
#define DAISYWIND_NET_HTTP_TYPES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisywind::net {

// One header field.
struct http_header {
  std::string name;
  std::string value;

  auto operator<=>(const http_header&) const = default;
};

using http_headers = std::vector<http_header>;

// Compares two header field names, ignoring ASCII case.
auto IsSameHeader(std::string_view a, std::string_view b) -> bool;

// Finds a header field by name, ignoring ASCII case. Returns the value of the
// first match, or an empty string when there is none.
auto FindHeader(const http_headers& headers, std::string_view name)
    -> std::string_view;

// A complete request.
struct http_request {
  std::string method = "GET";
  std::string target = "/";
  http_headers headers;
  std::string body;

  auto operator<=>(const http_request&) const = default;

  // The target without its query.
  [[nodiscard]] auto Path() const -> std::string_view;

  // The percent-decoded value of a query parameter, if there is one.
  [[nodiscard]] auto Query(std::string_view name) const
      -> std::optional<std::string>;

  [[nodiscard]] auto Header(std::string_view name) const -> std::string_view {
    return FindHeader(headers, name);
  }
};

// A complete response, or the head of a streamed one.
struct http_response {
  unsigned status = 200;
  http_headers headers;
  std::string body;

  auto operator<=>(const http_response&) const = default;

  [[nodiscard]] auto Header(std::string_view name) const -> std::string_view {
    return FindHeader(headers, name);
  }
};

// What marks the end of a response body.
enum class body_framing : std::uint8_t {
  kLength,
  kChunks,
  // The end of the connection.
  kConnection,
};

// The name of a framing in logs.
auto FramingName(body_framing framing) -> std::string_view;

// Whether a status is one of HTTP, 100 to 599. A message with another one is no
// response.
auto IsValidStatus(unsigned status) -> bool;

// Whether a status is one of success, 2xx.
auto IsSuccess(unsigned status) -> bool;

// Whether the body of a response is a stream of server-sent events.
auto IsEventStream(const http_response& head) -> bool;

// Returns a successful response with a plain text.
auto TextResponse(std::string body, std::string media_type = "text/plain")
    -> http_response;

// Returns a response with a JSON body.
auto JsonResponse(unsigned status, std::string body) -> http_response;

// An IP address and a port.
struct socket_address {
  std::string host;
  std::uint16_t port = 0;

  auto operator<=>(const socket_address&) const = default;
};

// Parses "host:port" or "[IPv6]:port". Returns nothing when the port is not a
// 16-bit number or nothing precedes it. Does not check that the host is an IP
// address.
auto ParseSocketAddress(std::string_view text) -> std::optional<socket_address>;

// Whether a TCP connection can be addressed to it: an IP address that names a
// host, and a port other than zero.
auto IsConnectable(const socket_address& address) -> bool;

// Formats an address for ParseSocketAddress.
auto ToString(const socket_address& address) -> std::string;

}  // namespace daisywind::net

#endif  // DAISYWIND_NET_HTTP_TYPES_H_
