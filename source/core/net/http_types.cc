#include "net/http_types.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <utility>

namespace daisywind::net {
namespace {

constexpr auto kHexBase = 16;

auto PercentDecode(std::string_view text) -> std::string {
  auto out = std::string{};
  for (auto i = std::size_t{0}; i < text.size(); ++i) {
    auto byte = 0U;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, byte,
                        kHexBase)
                .ptr == text.data() + i + 3) {
      out.push_back(static_cast<char>(byte));
      i += 2;
    } else {
      out.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return out;
}

auto EqualsIgnoringCase(std::string_view a, std::string_view b) -> bool {
  const auto lower = [](char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                          : letter;
  };
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [&](char x, char y) { return lower(x) == lower(y); });
}

}  // namespace

auto IsSameHeader(std::string_view a, std::string_view b) -> bool {
  return EqualsIgnoringCase(a, b);
}

auto FindHeader(const http_headers& headers, std::string_view name)
    -> std::string_view {
  const auto found = std::find_if(
      headers.begin(), headers.end(),
      [&](const auto& header) { return IsSameHeader(header.name, name); });
  return found == headers.end() ? std::string_view{} : found->value;
}

auto http_request::Path() const -> std::string_view {
  return std::string_view(target).substr(0, target.find('?'));
}

auto http_request::Query(std::string_view name) const
    -> std::optional<std::string> {
  const auto start = target.find('?');
  if (start == std::string::npos) {
    return std::nullopt;
  }
  auto rest = std::string_view(target).substr(start + 1);
  while (!rest.empty()) {
    const auto pair = rest.substr(0, rest.find('&'));
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos
                 ? std::string{}
                 : PercentDecode(pair.substr(equals + 1));
    }
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
  }
  return std::nullopt;
}

auto FramingName(body_framing framing) -> std::string_view {
  switch (framing) {
    case body_framing::kLength:
      return "length";
    case body_framing::kChunks:
      return "chunks";
    case body_framing::kConnection:
      return "connection";
  }
  return "unknown";
}

auto IsValidStatus(unsigned status) -> bool {
  constexpr auto kMin = 100U;
  constexpr auto kMax = 599U;
  return status >= kMin && status <= kMax;
}

auto IsSuccess(unsigned status) -> bool {
  constexpr auto kFirstSuccess = 200U;
  constexpr auto kPastSuccess = 300U;
  return status >= kFirstSuccess && status < kPastSuccess;
}

auto IsEventStream(const http_response& head) -> bool {
  const auto value = head.Header("Content-Type");
  auto type = value.substr(0, value.find(';'));
  while (type.ends_with(' ')) {
    type.remove_suffix(1);
  }
  return EqualsIgnoringCase(type, "text/event-stream");
}

auto TextResponse(std::string body, std::string media_type) -> http_response {
  return {200, {{"Content-Type", std::move(media_type)}}, std::move(body)};
}

auto JsonResponse(unsigned status, std::string body) -> http_response {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

auto ParseSocketAddress(std::string_view text)
    -> std::optional<socket_address> {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  auto host = text.substr(0, colon);
  if (host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const auto digits = text.substr(colon + 1);
  auto port = std::uint16_t{0};
  const auto* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, port);
  if (digits.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return socket_address{std::string(host), port};
}

auto IsConnectable(const socket_address& address) -> bool {
  auto error = boost::system::error_code{};
  const auto ip = boost::asio::ip::make_address(address.host, error);
  return !error && !ip.is_unspecified() && !ip.is_multicast() &&
         address.port != 0;
}

auto ToString(const socket_address& address) -> std::string {
  const auto is_v6 = address.host.find(':') != std::string::npos;
  const auto host = is_v6 ? "[" + address.host + "]" : address.host;
  return host + ":" + std::to_string(address.port);
}

}  // namespace daisywind::net
