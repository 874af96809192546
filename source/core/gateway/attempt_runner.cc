#include "gateway/attempt_runner.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

#include "common/json.h"
#include "common/process_clock.h"
#include "net/sse.h"

namespace daisywind::gateway {

namespace asio = boost::asio;

struct attempt_runner::attempt_state {
  attempt_request request;
  output_handler on_output;
  result_handler on_result;
  net::http_body_stream* body = nullptr;
  bool is_cancelled = false;
};

namespace {

using attempt_state_ptr = std::shared_ptr<attempt_runner::attempt_state>;

constexpr std::string_view kEndOfStream = "[DONE]";
// Set by endpoints when they refuse a request before running any part of it.
constexpr std::string_view kRefusedHeader = "X-Refused";
constexpr std::string_view kLeaving = "leaving";

auto ReadUsage(const json::object& chunk) -> std::optional<token_usage> {
  const auto* usage = ObjectOrNull(chunk, "usage");
  if (usage == nullptr) {
    return std::nullopt;
  }
  const auto* details = ObjectOrNull(*usage, "prompt_tokens_details");
  const auto cached =
      details == nullptr ? 0 : IntegerOr(*details, "cached_tokens", 0);
  return token_usage{
      static_cast<std::uint64_t>(IntegerOr(*usage, "prompt_tokens", 0)),
      static_cast<std::uint64_t>(cached),
      static_cast<std::uint64_t>(IntegerOr(*usage, "completion_tokens", 0))};
}

auto ReadText(const json::object& chunk) -> std::string {
  const auto* choices = ArrayOrNull(chunk, "choices");
  if (choices == nullptr || choices->empty() || !choices->front().is_object()) {
    return {};
  }
  const auto* delta = ObjectOrNull(choices->front().get_object(), "delta");
  return delta == nullptr ? std::string{} : StringOr(*delta, "content", "");
}

// Parses the server-sent events of one chat response.
class chat_reader {
 public:
  // Parses more bytes and returns the generated text that they contain.
  auto Feed(std::string_view bytes) -> std::string {
    auto text = std::string{};
    for (const auto& event : parser_.Feed(bytes)) {
      ++events_;
      text += HandleEvent(event);
    }
    return text;
  }

  // Number of complete events so far. Comments are none.
  [[nodiscard]] auto events() const -> std::size_t { return events_; }

  [[nodiscard]] auto IsStreamComplete() const -> bool {
    return is_done_ && !has_error_ && !parser_.HasOverflowed();
  }
  [[nodiscard]] auto usage() const -> const token_usage& { return usage_; }

 private:
  auto HandleEvent(const std::string& event) -> std::string {
    if (event == kEndOfStream) {
      is_done_ = true;
      return {};
    }
    auto error = json::error_code{};
    const auto value = json::parse(event, error);
    if (error || !value.is_object() || value.get_object().contains("error")) {
      has_error_ = true;
      return {};
    }
    if (const auto usage = ReadUsage(value.get_object())) {
      usage_ = *usage;
    }
    return ReadText(value.get_object());
  }

  net::sse_parser parser_;
  token_usage usage_;
  std::size_t events_ = 0;
  bool is_done_ = false;
  bool has_error_ = false;
};

auto RefusalOf(const net::http_response& head) -> attempt_result {
  auto result = attempt_result{};
  result.outcome = attempt_outcome::kNotRun;
  result.status = head.status;
  result.is_leaving = head.Header(kRefusedHeader) == kLeaving;
  result.error = "the endpoint refused the request before running it";
  return result;
}

// An engine generates nothing before it has accepted a request, so an error
// status of a chat call proves that the call did not run.
auto IsRefusal(const attempt_request& request, const net::http_response& head)
    -> bool {
  return !head.Header(kRefusedHeader).empty() ||
         (request.is_chat && !net::IsSuccess(head.status));
}

auto ReadParts(attempt_state_ptr self,
               net::http_body_stream& body,
               instant started_at) -> asio::awaitable<attempt_result> {
  auto reader = chat_reader{};
  auto result = attempt_result{};
  // Bytes that complete no event, such as comments that keep a connection open,
  // are no progress: a stalled endpoint may send them without end.
  auto progress_until = started_at + self->request.timeout;
  while (auto part = co_await body.Next()) {
    if (self->is_cancelled) {
      co_return result;
    }
    if (!self->request.is_chat) {
      result.body += *part;
      continue;
    }
    const auto events_before = reader.events();
    auto text = reader.Feed(*part);
    if (!text.empty()) {
      self->on_output(std::move(text));
    }
    if (reader.events() > events_before) {
      progress_until = Now() + self->request.idle_timeout;
    } else if (Now() >= progress_until) {
      body.Cancel();
    }
  }
  const auto is_complete =
      self->request.is_chat ? reader.IsStreamComplete() : body.IsComplete();
  result.outcome =
      is_complete ? attempt_outcome::kAnswered : attempt_outcome::kUnknown;
  result.error =
      is_complete ? "" : "the response is incomplete or contains an error";
  result.usage = reader.usage();
  co_return result;
}

auto RunAttempt(attempt_state_ptr self, net::http_client& client)
    -> asio::awaitable<attempt_result> {
  auto options = net::http_options{};
  options.head_timeout = self->request.timeout;
  options.idle_timeout = self->request.idle_timeout;
  // A service's response has no events that show its progress.
  if (!self->request.is_chat) {
    options.total_timeout = self->request.timeout;
  }
  // An endpoint may send an earlier response once more on a kept connection,
  // and responses do not name their requests.
  options.connection = net::connection_use::kNew;
  const auto started_at = Now();
  auto opened = co_await client.Open(self->request.address,
                                     self->request.request, options);
  auto result = attempt_result{};
  result.error = opened.error;
  if (opened.outcome == net::http_outcome::kNotSent) {
    result.outcome = attempt_outcome::kNotRun;
    co_return result;
  }
  if (opened.outcome == net::http_outcome::kNoAnswer) {
    co_return result;
  }
  if (IsRefusal(self->request, opened.head)) {
    co_return RefusalOf(opened.head);
  }
  self->body = opened.body.get();
  result = co_await ReadParts(self, *opened.body, started_at);
  self->body = nullptr;
  result.status = opened.head.status;
  result.content_type = std::string(opened.head.Header("Content-Type"));
  co_return result;
}

}  // namespace

attempt_runner::attempt_runner(asio::io_context& context,
                               net::http_client& client)
    : context_(context),
      client_(client),
      running_(std::make_shared<
               std::map<std::string, std::shared_ptr<attempt_state>>>()) {}

attempt_runner::~attempt_runner() = default;

auto attempt_runner::Start(attempt_request request,
                           output_handler on_output,
                           result_handler on_result) -> void {
  auto self = std::make_shared<attempt_state>();
  self->request = std::move(request);
  self->on_output = std::move(on_output);
  self->on_result = std::move(on_result);
  (*running_)[self->request.id] = self;
  asio::co_spawn(context_, RunAttempt(self, client_),
                 [self, table = running_](const std::exception_ptr&,
                                          attempt_result result) {
                   if (self->is_cancelled) {
                     return;
                   }
                   table->erase(self->request.id);
                   self->on_result(std::move(result));
                 });
}

auto attempt_runner::Cancel(const std::string& id) -> void {
  const auto found = running_->find(id);
  if (found == running_->end()) {
    return;
  }
  const auto self = found->second;
  self->is_cancelled = true;
  if (self->body != nullptr) {
    self->body->Cancel();
  }
  running_->erase(found);
}

auto attempt_runner::RunningCount() const -> std::size_t {
  return running_->size();
}

}  // namespace daisywind::gateway
