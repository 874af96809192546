#include "standin/kv_role.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <span>
#include <utility>

#include "standin/clock.h"
#include "standin/kv_json.h"

namespace daisywind::standin {
namespace {

namespace asio = boost::asio;

// etcd's default limit on the size of a request, in bytes.
constexpr auto kMaxRequestBytes = std::size_t{3} * 512 * 1024;

constexpr auto kLeaseCheckInterval = std::chrono::milliseconds(50);

constexpr auto kNotFoundCode = 5;
constexpr auto kInvalidArgumentCode = 3;

auto EtcdError(unsigned status, int code, std::string_view text)
    -> net::http_response {
  const auto body = ObjectOf("error", text, "code", code, "message", text);
  return net::JsonResponse(status, json::serialize(body));
}

auto LeaseNotFound() -> net::http_response {
  return EtcdError(404, kNotFoundCode, "etcdserver: requested lease not found");
}

auto ResultLine(json::object result) -> std::string {
  const auto body = ObjectOf("result", std::move(result));
  return json::serialize(body) + "\n";
}

}  // namespace

kv_role::kv_role(asio::io_context& context, const stand_in_options& /*options*/)
    : change_(context, asio::steady_timer::time_point::max()) {
  asio::co_spawn(context, ExpireLeases(), asio::detached);
}

auto kv_role::Calls() -> std::span<const call_entry> {
  static constexpr auto kCalls = std::to_array<call_entry>({
      {"/v3/kv/range", "range", &kv_role::Range},
      {"/v3/kv/put", "put", &kv_role::Put},
      {"/v3/kv/txn", "txn", &kv_role::Txn},
      {"/v3/kv/deleterange", "deleterange", &kv_role::DeleteRange},
      {"/v3/lease/grant", "grant", &kv_role::Grant},
      {"/v3/lease/keepalive", "keepalive", &kv_role::KeepAlive},
      {"/v3/lease/revoke", "revoke", &kv_role::Revoke},
      {"/v3/kv/lease/revoke", "revoke", &kv_role::Revoke},
  });
  return kCalls;
}

auto kv_role::Handle(net::http_exchange& exchange) -> asio::awaitable<void> {
  if (exchange.request().Path() == "/v3/watch") {
    ++counts_["watch"];
    co_await Watch(exchange);
    co_return;
  }
  auto response = Answer(exchange.request());
  co_await exchange.Respond(std::move(response));
}

auto kv_role::Answer(const net::http_request& request) -> net::http_response {
  store_.ExpireLeases(Now());
  if (request.Path() == "/standin/counts") {
    return Counts();
  }
  const auto calls = Calls();
  const auto found = std::find_if(
      calls.begin(), calls.end(),
      [&](const call_entry& item) { return item.path == request.Path(); });
  if (found == calls.end()) {
    return EtcdError(404, kNotFoundCode, "Not Found");
  }
  const auto body = ParseObject(request.body);
  if (!body) {
    return EtcdError(400, kInvalidArgumentCode, "invalid body");
  }
  ++counts_[std::string(found->kind)];
  auto response = (this->*found->run)(*body);
  if (store_.revision() != announced_revision_) {
    announced_revision_ = store_.revision();
    change_.cancel();
  }
  return response;
}

auto kv_role::Range(const json::object& body) -> net::http_response {
  return RunSingle(ToRange(body));
}

auto kv_role::Put(const json::object& body) -> net::http_response {
  auto op = ToPut(body);
  if (op.value.size() > kMaxRequestBytes) {
    return EtcdError(400, kInvalidArgumentCode,
                     "etcdserver: request is too large");
  }
  return RunSingle(std::move(op));
}

auto kv_role::DeleteRange(const json::object& body) -> net::http_response {
  return RunSingle(delete_op{ToKeyRange(body)});
}

auto kv_role::RunSingle(const kv_op& op) -> net::http_response {
  const auto result = store_.Apply(op);
  if (!result) {
    return LeaseNotFound();
  }
  auto out = ToJson(*result);
  out["header"] = Header();
  return Ok(out);
}

auto kv_role::Txn(const json::object& body) -> net::http_response {
  const auto txn = ToTxn(body);
  if (!txn) {
    return EtcdError(400, kInvalidArgumentCode, "invalid transaction");
  }
  if (LargestValue(*txn) > kMaxRequestBytes) {
    return EtcdError(400, kInvalidArgumentCode,
                     "etcdserver: request is too large");
  }
  const auto result = store_.Apply(*txn);
  if (!result) {
    return LeaseNotFound();
  }
  auto out = ObjectOf("header", Header());
  if (result->has_succeeded) {
    out["succeeded"] = true;
  }
  auto responses = json::array{};
  for (const auto& item : result->results) {
    auto response = ToJson(item);
    response["header"] =
        ObjectOf("revision", std::to_string(store_.revision()));
    auto named = json::object{};
    named[ResponseName(item)] = std::move(response);
    responses.emplace_back(std::move(named));
  }
  out["responses"] = std::move(responses);
  return Ok(out);
}

auto kv_role::Grant(const json::object& body) -> net::http_response {
  const auto seconds = KvInteger(body, "TTL");
  const auto id =
      store_.Grant(KvInteger(body, "ID"), std::chrono::seconds(seconds), Now());
  if (id == 0) {
    return EtcdError(400, kInvalidArgumentCode,
                     "etcdserver: lease already exists");
  }
  return Ok({{"header", Header()},
             {"ID", std::to_string(id)},
             {"TTL", std::to_string(seconds)}});
}

auto kv_role::KeepAlive(const json::object& body) -> net::http_response {
  const auto id = KvInteger(body, "ID");
  const auto ttl = store_.KeepAlive(id, Now());
  auto result = ObjectOf("header", Header(), "ID", std::to_string(id));
  if (ttl) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(*ttl);
    result["TTL"] = std::to_string(seconds.count());
  }
  return net::JsonResponse(200, ResultLine(std::move(result)));
}

auto kv_role::Revoke(const json::object& body) -> net::http_response {
  if (!store_.Revoke(KvInteger(body, "ID"))) {
    return LeaseNotFound();
  }
  return Ok({{"header", Header()}});
}

auto kv_role::Counts() const -> net::http_response {
  auto counts = json::object{};
  for (const auto& [kind, count] : counts_) {
    counts[kind] = count;
  }
  return Ok({{"counts", std::move(counts)}});
}

auto kv_role::Header() const -> json::object {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(store_.revision())},
          {"raft_term", "1"}};
}

auto kv_role::Watch(net::http_exchange& exchange) -> asio::awaitable<void> {
  const auto body = ParseObject(exchange.request().body);
  const auto* create = body ? ObjectOrNull(*body, "create_request") : nullptr;
  if (create == nullptr) {
    auto refusal = EtcdError(400, kInvalidArgumentCode, "invalid watch");
    co_await exchange.Respond(std::move(refusal));
    co_return;
  }
  const auto range = ToKeyRange(*create);
  const auto start = KvInteger(*create, "start_revision");
  auto next = start > 0 ? start : store_.revision() + 1;
  auto head = net::JsonResponse(200, "");
  if (!co_await exchange.StartStream(std::move(head))) {
    co_return;
  }
  auto created = ObjectOf("header", Header(), "created", true);
  const auto is_compacted = next < store_.OldestRevision();
  if (is_compacted) {
    created["canceled"] = true;
    created["compact_revision"] = std::to_string(store_.OldestRevision());
  }
  const auto line = ResultLine(std::move(created));
  if (!co_await exchange.WriteChunk(line) || is_compacted) {
    co_return;
  }
  while (co_await SendEvents(exchange, range, next) &&
         co_await WaitForChange(exchange, next)) {
  }
}

auto kv_role::SendEvents(net::http_exchange& exchange,
                         const key_range& range,
                         kv_revision& next) -> asio::awaitable<bool> {
  while (next <= store_.revision()) {
    const auto events = store_.EventsFrom(range, next);
    next = store_.revision() + 1;
    if (events.empty()) {
      continue;
    }
    auto items = json::array{};
    for (const auto& event : events) {
      items.emplace_back(ToJson(event));
    }
    const auto line =
        ResultLine(ObjectOf("header", Header(), "events", std::move(items)));
    if (!co_await exchange.WriteChunk(line)) {
      co_return false;
    }
  }
  co_return true;
}

auto kv_role::WaitForChange(net::http_exchange& exchange, kv_revision next)
    -> asio::awaitable<bool> {
  using asio::experimental::awaitable_operators::operator||;
  const auto wait_for_change = [&]() -> asio::awaitable<void> {
    // A change may have happened before this wait started.
    if (next > store_.revision()) {
      co_await change_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  };
  const auto first = co_await (wait_for_change() || exchange.WaitForClose());
  co_return first.index() == 0;
}

auto kv_role::ExpireLeases() -> asio::awaitable<void> {
  auto timer = asio::steady_timer(change_.get_executor());
  while (true) {
    timer.expires_after(kLeaseCheckInterval);
    co_await timer.async_wait(asio::use_awaitable);
    store_.ExpireLeases(Now());
    if (store_.revision() != announced_revision_) {
      announced_revision_ = store_.revision();
      change_.cancel();
    }
  }
}

}  // namespace daisywind::standin
