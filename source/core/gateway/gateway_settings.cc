#include "gateway/gateway_settings.h"

#include <algorithm>
#include <cctype>
#include <string>

#include "net/http_types.h"

namespace daisywind::gateway {
namespace {

constexpr std::string_view kSource = "settings";

auto Fail(std::string_view key, const std::string& found, std::string allowed)
    -> leaf::result<void> {
  return leaf::new_error(settings_error{std::string(kSource), std::string(key),
                                        found, std::move(allowed)});
}

auto CheckAddress(std::string_view key, const std::string& text)
    -> leaf::result<void> {
  if (!net::ParseSocketAddress(text)) {
    return Fail(key, "\"" + text + "\"", "an address as ip:port");
  }
  return {};
}

auto CheckDigest(std::string_view key, const std::string& text)
    -> leaf::result<void> {
  constexpr auto kHexDigits = std::size_t{64};
  const auto is_hex = std::all_of(text.begin(), text.end(), [](char c) {
    return std::isxdigit(static_cast<unsigned char>(c)) != 0;
  });
  if (text.size() != kHexDigits || !is_hex) {
    return Fail(key, "a value that is not a SHA-256 digest",
                "64 hexadecimal digits");
  }
  return {};
}

// Names are parts of program handles, where "." and "@" are separators.
auto CheckName(std::string_view key, const std::string& text)
    -> leaf::result<void> {
  const auto is_plain = std::all_of(text.begin(), text.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
           c == '_';
  });
  if (text.empty() || !is_plain) {
    return Fail(key, "\"" + text + "\"", "letters, digits, '-' and '_'");
  }
  return {};
}

auto CheckOneOf(std::string_view key,
                const std::string& text,
                const string_list& allowed) -> leaf::result<void> {
  if (std::find(allowed.begin(), allowed.end(), text) != allowed.end()) {
    return {};
  }
  auto list = std::string{};
  for (const auto& item : allowed) {
    list += (list.empty() ? "" : ", ") + item;
  }
  return Fail(key, "\"" + text + "\"", "one of " + list);
}

}  // namespace

auto GatewaySchema() -> settings_schema {
  return {
      Declare(kVm),
      Declare(kFailureDomain),
      Declare(kRegion),
      Declare(kCallerAddress),
      Declare(kAdminAddress),
      Declare(kPeerAddress),
      DeclareList(kPeerSeeds),
      DeclareList(kKeyValueAddresses),
      Declare(kVmListAddress),
      Declare(kOperatorKeyDigest),
      Declare(kMaxConnections),
      Declare(kMaxBodyBytes),
      Declare(kMemoryLimitMb),
      Declare(kReadTimeoutMs),
      Declare(kCallTimeoutMs),
      Declare(kTokenIdleTimeoutMs),
      Declare(kLoadPollMs),
      Declare(kVmListPollMs),
      Declare(kDrainTimeoutMs),
      Declare(kLogFormat),
      Declare(kLogLevel),
  };
}

auto CheckValues(const settings& values) -> leaf::result<void> {
  for (const auto& item : {kVm, kFailureDomain, kRegion}) {
    BOOST_LEAF_CHECK(CheckName(item.key, values.Get(item)));
  }
  for (const auto& item : {kCallerAddress, kAdminAddress, kPeerAddress}) {
    BOOST_LEAF_CHECK(CheckAddress(item.key, values.Get(item)));
  }
  for (const auto& item : {kPeerSeeds, kKeyValueAddresses}) {
    for (const auto& address : values.GetList(item)) {
      BOOST_LEAF_CHECK(CheckAddress(item.key, address));
    }
  }
  if (!values.Get(kVmListAddress).empty()) {
    BOOST_LEAF_CHECK(
        CheckAddress(kVmListAddress.key, values.Get(kVmListAddress)));
  }
  BOOST_LEAF_CHECK(
      CheckDigest(kOperatorKeyDigest.key, values.Get(kOperatorKeyDigest)));
  BOOST_LEAF_CHECK(
      CheckOneOf(kLogFormat.key, values.Get(kLogFormat), {"json", "text"}));
  return CheckOneOf(kLogLevel.key, values.Get(kLogLevel),
                    {"debug", "info", "warning", "error"});
}

}  // namespace daisywind::gateway
