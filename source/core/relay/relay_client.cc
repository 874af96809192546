#include "relay/relay_client.h"

#include <boost/asio.hpp>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "common/process_clock.h"
#include "relay/codec.h"

namespace daisywind::relay {
namespace {

namespace asio = boost::asio;

// One attempt and what has arrived of its response.
struct pending_attempt {
  explicit pending_attempt(asio::io_context& context)
      : wake(context, asio::steady_timer::time_point::max()) {}

  // Waits until something arrives, at most until a time.
  auto WaitUntil(instant until) -> asio::awaitable<void> {
    wake.expires_after(std::max(until - Now(), duration(0)));
    co_await wake.async_wait(asio::as_tuple(asio::use_awaitable));
  }

  auto End(response_end with) -> void {
    if (!end) {
      end = std::move(with);
    }
    wake.cancel();
  }

  asio::steady_timer wake;
  std::optional<response_head> head;
  std::deque<std::string> parts;
  std::size_t buffered_bytes = 0;
  std::size_t max_buffered_bytes = 0;
  std::optional<response_end> end;
};

// The connection to one relay.
struct relay_link : std::enable_shared_from_this<relay_link> {
  auto Connect(asio::io_context& context,
               const net::socket_address& address,
               const net::channel_options& options) -> void {
    const auto weak = weak_from_this();
    auto handlers = net::channel_handlers{};
    handlers.on_frame = [weak](std::string_view frame) {
      if (const auto self = weak.lock()) {
        self->OnFrame(frame);
      }
    };
    handlers.on_close = [weak] {
      if (const auto self = weak.lock()) {
        self->OnClose();
      }
    };
    channel = std::make_shared<net::frame_channel>(context, address, options,
                                                   std::move(handlers));
  }

  auto OnFrame(std::string_view frame) -> void {
    auto received = DecodeMessage(frame);
    if (!received) {
      channel->Close();
      return OnClose();
    }
    const auto found = attempts.find(received->id);
    // The attempt was cancelled.
    if (found == attempts.end()) {
      return;
    }
    const auto attempt = found->second;
    if (auto* head = std::get_if<response_head>(&received->body)) {
      // A relay of an earlier version passes on any status.
      if (!net::IsValidStatus(head->head.status)) {
        return Cancel(found->first, "response with an invalid status");
      }
      attempt->head = std::move(*head);
      attempt->wake.cancel();
    } else if (auto* part = std::get_if<response_part>(&received->body)) {
      AddPart(found->first, *attempt, std::move(part->bytes));
    } else if (auto* end = std::get_if<response_end>(&received->body)) {
      attempts.erase(found);
      attempt->End(std::move(*end));
    }
  }

  auto AddPart(attempt_number id, pending_attempt& attempt, std::string bytes)
      -> void {
    attempt.buffered_bytes += bytes.size();
    if (attempt.buffered_bytes > attempt.max_buffered_bytes) {
      Cancel(id, "response through the relay exceeds the maximum size");
      return;
    }
    attempt.parts.push_back(std::move(bytes));
    attempt.wake.cancel();
  }

  // Whatever was queued before the connection existed has not been sent.
  auto OnClose() -> void {
    const auto outcome = channel->IsConnected() ? net::http_outcome::kNoAnswer
                                                : net::http_outcome::kNotSent;
    for (const auto& [id, attempt] : std::exchange(attempts, {})) {
      attempt->End({outcome, false, 0, "connection to the relay failed", true});
    }
  }

  auto Cancel(attempt_number id, const char* error) -> void {
    const auto node = attempts.extract(id);
    if (node.empty()) {
      return;
    }
    channel->Send(EncodeMessage({id, attempt_cancel{}}));
    node.mapped()->End({net::http_outcome::kNoAnswer, false, 0, error});
  }

  std::shared_ptr<net::frame_channel> channel;
  std::map<attempt_number, std::shared_ptr<pending_attempt>> attempts;
};

class relayed_body : public net::http_body_stream {
 public:
  relayed_body(std::shared_ptr<relay_link> link,
               attempt_number id,
               std::shared_ptr<pending_attempt> attempt,
               duration idle_timeout)
      : link_(std::move(link)),
        id_(id),
        attempt_(std::move(attempt)),
        idle_timeout_(idle_timeout) {}

  ~relayed_body() override { link_->Cancel(id_, "no longer read"); }

  relayed_body(const relayed_body&) = delete;
  auto operator=(const relayed_body&) -> relayed_body& = delete;

  auto Next() -> asio::awaitable<std::optional<std::string>> override {
    const auto until = std::min(Now() + idle_timeout_, read_until_);
    while (attempt_->parts.empty() && !attempt_->end) {
      if (Now() >= until) {
        link_->Cancel(id_, "time-out while reading the response");
        break;
      }
      co_await attempt_->WaitUntil(until);
    }
    if (is_cancelled_ || attempt_->parts.empty()) {
      co_return std::nullopt;
    }
    auto part = std::move(attempt_->parts.front());
    attempt_->parts.pop_front();
    attempt_->buffered_bytes -= part.size();
    co_return part;
  }

  auto Discard(duration limit) -> asio::awaitable<void> override {
    read_until_ = std::min(read_until_, Now() + limit);
    while (co_await Next()) {
    }
  }

  [[nodiscard]] auto IsComplete() const -> bool override {
    return attempt_->parts.empty() && attempt_->end &&
           attempt_->end->is_complete && !is_cancelled_;
  }

  [[nodiscard]] auto Framing() const -> net::body_framing override {
    return attempt_->head->framing;
  }

  [[nodiscard]] auto PartialEventBytes() const -> std::size_t override {
    return attempt_->end ? attempt_->end->partial_event_bytes : 0;
  }

  auto Cancel() -> void override {
    is_cancelled_ = true;
    link_->Cancel(id_, "cancelled");
  }

 private:
  std::shared_ptr<relay_link> link_;
  attempt_number id_;
  std::shared_ptr<pending_attempt> attempt_;
  duration idle_timeout_;
  instant read_until_ = instant::max();
  bool is_cancelled_ = false;
};

auto Failure(net::http_outcome outcome,
             std::string error,
             bool is_relay_unusable) -> relay_result {
  return {{outcome, {}, nullptr, std::move(error)}, is_relay_unusable};
}

}  // namespace

struct relay_client::state {
  // Returns nothing when the address is not valid.
  auto LinkTo(const std::string& address) -> std::shared_ptr<relay_link> {
    auto& link = links[address];
    if (link == nullptr || !link->channel->IsOpen()) {
      const auto parsed = net::ParseSocketAddress(address);
      if (!parsed) {
        return nullptr;
      }
      link = std::make_shared<relay_link>();
      link->Connect(context, *parsed, options);
    }
    return link;
  }

  asio::io_context& context;
  net::channel_options options;
  std::map<std::string, std::shared_ptr<relay_link>> links;
  attempt_number last_id = 0;
};

relay_client::relay_client(asio::io_context& context,
                           net::channel_options options)
    : state_(
          std::make_shared<state>(state{context, std::move(options), {}, 0})) {}

relay_client::~relay_client() = default;

auto relay_client::Open(std::string address,
                        attempt_request request,
                        net::http_options options)
    -> asio::awaitable<relay_result> {
  const auto link = state_->LinkTo(address);
  if (link == nullptr) {
    co_return Failure(
        net::http_outcome::kNotSent,
        "expected the address of a relay, got \"" + address + "\"", true);
  }
  const auto id = ++state_->last_id;
  const auto attempt = std::make_shared<pending_attempt>(state_->context);
  attempt->max_buffered_bytes = options.max_body_bytes;
  const auto until = Now() + request.head_timeout;
  if (!link->channel->Send(EncodeMessage({id, std::move(request)}))) {
    co_return Failure(net::http_outcome::kNotSent,
                      "queue of the connection to the relay is full", true);
  }
  link->attempts.emplace(id, attempt);
  if (options.cancellation != nullptr) {
    options.cancellation->SetHook([weak = std::weak_ptr(link), id] {
      if (const auto open = weak.lock()) {
        open->Cancel(id, "cancelled");
      }
    });
  }
  while (!attempt->head && !attempt->end) {
    if (Now() >= until) {
      link->Cancel(id, "no response through the relay in time");
      break;
    }
    co_await attempt->WaitUntil(until);
  }
  if (!attempt->head) {
    co_return Failure(attempt->end->outcome, attempt->end->error,
                      attempt->end->is_relay_unusable);
  }
  auto head = std::move(attempt->head->head);
  auto body =
      std::make_unique<relayed_body>(link, id, attempt, options.idle_timeout);
  co_return relay_result{{net::http_outcome::kAnswered, std::move(head),
                          std::move(body), "", true},
                         false};
}

auto relay_client::CloseIdle() -> void {
  std::erase_if(state_->links,
                [](const auto& item) { return item.second->attempts.empty(); });
}

}  // namespace daisywind::relay
