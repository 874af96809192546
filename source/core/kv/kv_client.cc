#include "kv/kv_client.h"

#include <chrono>
#include <utility>

#include "kv/kv_json.h"

namespace daisywind::kv {
namespace {

namespace asio = boost::asio;

constexpr auto kOk = 200U;
constexpr auto kFirstServerError = 500U;
constexpr auto kMaxAnswerBytes = std::size_t{64} * 1024 * 1024;
// A watch is silent while nothing is written; renewing it now and then finds
// out when the service has gone without a word.
constexpr duration kWatchIdle = 60s;

auto OptionsFor(duration bound) -> net::http_options {
  auto options = net::http_options{};
  options.connect_timeout = bound;
  options.head_timeout = bound;
  options.idle_timeout = bound;
  options.max_body_bytes = kMaxAnswerBytes;
  // A request that is sent again by the client would blur which of the two
  // took effect.
  options.use_fresh_connection = true;
  return options;
}

auto LeaseBody(lease_id lease) -> std::string {
  auto body = json::object{};
  body["ID"] = std::to_string(lease);
  return json::serialize(body);
}

// Reads lines of a chunked body.
class line_splitter {
 public:
  auto Feed(std::string_view bytes) -> std::vector<std::string> {
    pending_ += bytes;
    auto lines = std::vector<std::string>{};
    auto start = std::size_t{0};
    for (auto end = pending_.find('\n'); end != std::string::npos;
         end = pending_.find('\n', start)) {
      lines.push_back(pending_.substr(start, end - start));
      start = end + 1;
    }
    pending_.erase(0, start);
    return lines;
  }

 private:
  std::string pending_;
};

// Returns false when the watch is over.
auto HandOn(const std::string& line, const watch_handler& on_item) -> bool {
  const auto items = ReadWatchLine(line);
  if (!items) {
    return false;
  }
  for (const auto& item : *items) {
    if (!on_item(item)) {
      return false;
    }
  }
  return true;
}

}  // namespace

kv_client::kv_client(net::http_client& client,
                     std::vector<net::socket_address> addresses,
                     duration bound)
    : client_(client), addresses_(std::move(addresses)), bound_(bound) {}

auto kv_client::Txn(txn_request request) -> asio::awaitable<txn_result> {
  ++counts_.txns;
  auto body = TxnBody(request);
  const auto answer = co_await Post("/v3/kv/txn", std::move(body));
  auto result = txn_result{answer.how, {}};
  if (answer.how != outcome::kAnswered) {
    co_return result;
  }
  auto response = ReadTxnResponse(answer.body);
  if (!response) {
    result.how = outcome::kUnknown;
    co_return result;
  }
  result.response = std::move(*response);
  co_return result;
}

auto kv_client::GrantLease(duration time_to_live)
    -> asio::awaitable<lease_result> {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(time_to_live);
  auto body = json::object{};
  body["TTL"] = std::to_string(seconds.count());
  body["ID"] = "0";
  auto text = json::serialize(body);
  co_return co_await LeaseCall("/v3/lease/grant", std::move(text));
}

auto kv_client::KeepAlive(lease_id lease) -> asio::awaitable<lease_result> {
  auto body = LeaseBody(lease);
  ++counts_.leases;
  const auto answer = co_await Post("/v3/lease/keepalive", std::move(body));
  auto result = lease_result{answer.how, 0};
  if (answer.how != outcome::kAnswered) {
    co_return result;
  }
  auto error = json::error_code{};
  const auto value = json::parse(answer.body, error);
  const auto* inner = !error && value.is_object()
                          ? ObjectOrNull(value.get_object(), "result")
                          : nullptr;
  // A lease that has ended is answered with a time to live of zero.
  if (inner != nullptr && ReadInteger(*inner, "TTL") > 0) {
    result.lease = lease;
  }
  co_return result;
}

auto kv_client::RevokeLease(lease_id lease) -> asio::awaitable<lease_result> {
  auto body = LeaseBody(lease);
  co_return co_await LeaseCall("/v3/lease/revoke", std::move(body));
}

auto kv_client::Watch(std::string key, revision start, watch_handler on_item)
    -> asio::awaitable<void> {
  ++counts_.watches;
  auto request = net::http_request{"POST",
                                   "/v3/watch",
                                   {{"Content-Type", "application/json"}},
                                   WatchBody(key, start)};
  auto options = OptionsFor(bound_);
  options.idle_timeout = kWatchIdle;
  const auto address = addresses_.at(current_);
  const auto opened =
      co_await client_.Open(address, std::move(request), options);
  if (opened.outcome != net::http_outcome::kAnswered ||
      opened.head.status != kOk) {
    NextAddress();
    co_return;
  }
  auto lines = line_splitter{};
  while (const auto part = co_await opened.body->Next()) {
    for (const auto& line : lines.Feed(*part)) {
      if (!HandOn(line, on_item)) {
        co_return;
      }
    }
  }
}

auto kv_client::Post(std::string path, std::string body)
    -> asio::awaitable<reply> {
  auto request = net::http_request{"POST",
                                   std::move(path),
                                   {{"Content-Type", "application/json"}},
                                   std::move(body)};
  const auto options = OptionsFor(bound_);
  const auto address = addresses_.at(current_);
  auto answer = co_await client_.Send(address, std::move(request), options);
  if (answer.outcome != net::http_outcome::kAnswered) {
    NextAddress();
    const auto how = answer.outcome == net::http_outcome::kNotSent
                         ? outcome::kNotSent
                         : outcome::kUnknown;
    co_return reply{how, ""};
  }
  if (answer.response.status >= kFirstServerError) {
    NextAddress();
    co_return reply{outcome::kUnknown, ""};
  }
  const auto how =
      answer.response.status == kOk ? outcome::kAnswered : outcome::kRefused;
  co_return reply{how, std::move(answer.response.body)};
}

auto kv_client::LeaseCall(std::string path, std::string body)
    -> asio::awaitable<lease_result> {
  ++counts_.leases;
  const auto answer = co_await Post(std::move(path), std::move(body));
  auto result = lease_result{answer.how, 0};
  if (answer.how != outcome::kAnswered) {
    co_return result;
  }
  auto error = json::error_code{};
  const auto value = json::parse(answer.body, error);
  if (!error && value.is_object()) {
    result.lease = ReadInteger(value.get_object(), "ID");
  }
  co_return result;
}

auto kv_client::NextAddress() -> void {
  current_ = (current_ + 1) % addresses_.size();
}

}  // namespace daisywind::kv
