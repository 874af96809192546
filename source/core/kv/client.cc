#include "kv/client.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace daisywind::kv {
namespace {

namespace asio = boost::asio;

constexpr auto kOk = 200U;
constexpr auto kFirstClientError = 400U;
constexpr auto kFirstServerError = 500U;
// A large response may take longer if so many bytes of it arrive within each
// time-out of a call.
constexpr auto kProgressBytes = std::size_t{32} * 1024;
constexpr auto kMaxTransferTimeouts = 10;

// Outcome of a call, from the HTTP result. After a server error it is unknown
// whether the call was executed.
auto OutcomeOf(const net::http_result& result) -> outcome {
  if (result.outcome == net::http_outcome::kNotSent) {
    return outcome::kNotSent;
  }
  const auto status = result.response.status;
  if (result.outcome == net::http_outcome::kNoAnswer ||
      status >= kFirstServerError) {
    return outcome::kUnknown;
  }
  if (status >= kFirstClientError) {
    return outcome::kRefused;
  }
  return status == kOk ? outcome::kAnswered : outcome::kUnknown;
}

auto IsWrite(const std::vector<operation>& list) -> bool {
  return std::any_of(list.begin(), list.end(), [](const operation& item) {
    return !std::holds_alternative<range_request>(item);
  });
}

}  // namespace

client::client(asio::io_context& context,
               std::vector<net::socket_address> addresses,
               client_options options)
    : http_(context), addresses_(std::move(addresses)), options_(options) {}

auto client::Range(range_request request)
    -> asio::awaitable<call_result<range_response>> {
  counts_.ranges += 1;
  co_return co_await Call("/v3/kv/range", EncodeRange(request),
                          /*needs_fresh_connection=*/false, &DecodeRange);
}

auto client::Put(put_request request)
    -> asio::awaitable<call_result<revision>> {
  counts_.puts += 1;
  co_return co_await Call("/v3/kv/put", EncodePut(request),
                          /*needs_fresh_connection=*/true, &DecodeRevision);
}

auto client::Txn(txn_request request)
    -> asio::awaitable<call_result<txn_response>> {
  counts_.txns += 1;
  const auto is_write = IsWrite(request.success) || IsWrite(request.failure);
  co_return co_await Call("/v3/kv/txn", EncodeTxn(request), is_write,
                          &DecodeTxn);
}

auto client::Grant(std::int64_t ttl_seconds)
    -> asio::awaitable<call_result<lease_state>> {
  counts_.grants += 1;
  co_return co_await Call("/v3/lease/grant", EncodeGrant(ttl_seconds),
                          /*needs_fresh_connection=*/true, &DecodeGrant);
}

auto client::KeepAlive(lease_id id)
    -> asio::awaitable<call_result<lease_state>> {
  counts_.keep_alives += 1;
  co_return co_await Call("/v3/lease/keepalive", EncodeLease(id),
                          /*needs_fresh_connection=*/false, &DecodeKeepAlive);
}

auto client::Revoke(lease_id id) -> asio::awaitable<call_result<revision>> {
  counts_.revokes += 1;
  co_return co_await Call("/v3/lease/revoke", EncodeLease(id),
                          /*needs_fresh_connection=*/false, &DecodeRevision);
}

auto client::Watch(std::string key, revision start_revision)
    -> asio::awaitable<watch_result> {
  counts_.watches += 1;
  if (addresses_.empty()) {
    co_return watch_result{};
  }
  auto address = addresses_[current_];
  auto request = MakeRequest("/v3/watch", EncodeWatch(key, start_revision));
  auto options = net::http_options{};
  options.connect_timeout = options_.connect_timeout;
  options.head_timeout = options_.call_timeout;
  options.idle_timeout = options_.watch_idle_timeout;
  options.connection = net::connection_use::kNew;
  auto opened =
      co_await http_.Open(std::move(address), std::move(request), options);
  auto head = net::http_result{opened.outcome, std::move(opened.head),
                               std::move(opened.error)};
  auto result = watch_result{OutcomeOf(head), nullptr};
  if (result.outcome != outcome::kAnswered) {
    UseNextAddress();
    co_return result;
  }
  result.stream = std::make_unique<watch_stream>(std::move(opened.body));
  co_return result;
}

template <class Response>
auto client::Call(std::string target,
                  std::string body,
                  bool needs_fresh_connection,
                  decoder<Response> decode)
    -> asio::awaitable<call_result<Response>> {
  auto result = call_result<Response>{};
  if (addresses_.empty()) {
    co_return result;
  }
  auto address = addresses_[current_];
  auto request = MakeRequest(std::move(target), std::move(body));
  auto options = net::http_options{};
  options.connect_timeout = options_.connect_timeout;
  options.head_timeout = options_.call_timeout;
  options.idle_timeout = options_.call_timeout;
  options.total_timeout = options_.call_timeout;
  options.extension = net::timeout_extension{
      kProgressBytes, (1 + kMaxTransferTimeouts) * options_.call_timeout};
  options.connection = needs_fresh_connection ? net::connection_use::kNew
                                              : net::connection_use::kAny;
  auto sent =
      co_await http_.Send(std::move(address), std::move(request), options);
  result.outcome = OutcomeOf(sent);
  result.error = std::move(sent.error);
  if (result.outcome == outcome::kNotSent ||
      result.outcome == outcome::kUnknown) {
    UseNextAddress();
    co_return result;
  }
  if (result.outcome == outcome::kRefused) {
    result.error = std::move(sent.response.body);
    co_return result;
  }
  auto response = decode(sent.response.body);
  if (!response) {
    result.outcome = outcome::kUnknown;
    result.error =
        "invalid response: expected a JSON body of etcd's v3 gateway";
    co_return result;
  }
  result.response = std::move(*response);
  co_return result;
}

auto client::MakeRequest(std::string target, std::string body) const
    -> net::http_request {
  auto request = net::http_request{};
  request.method = "POST";
  request.target = std::move(target);
  request.headers = {{"Content-Type", "application/json"}};
  request.body = std::move(body);
  return request;
}

auto client::UseNextAddress() -> void {
  if (!addresses_.empty()) {
    current_ = (current_ + 1) % addresses_.size();
  }
}

}  // namespace daisywind::kv
