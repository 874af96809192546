#include "gateway/call_reader.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "common/json.h"
#include "gateway/chat_request.h"

namespace daisywind::gateway {
namespace {

constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr auto kMaxNameBytes = std::size_t{128};
constexpr auto kMaxKeyBytes = std::size_t{256};
constexpr auto kBadRequest = 400U;
constexpr auto kNotFound = 404U;
// Limits of a program when the configuration sets none: tokens, calls and
// seconds.
constexpr auto kDefaultBudget =
    configuration::program_budget{1'000'000, 1000, 86'400};

auto BadRequest(std::string detail) -> problem {
  return {kBadRequest, "bad_request", std::move(detail),
          program::outcome::kNotRun, std::nullopt};
}

auto NotFound(std::string detail) -> problem {
  return {kNotFound, "not_found", std::move(detail), program::outcome::kNotRun,
          std::nullopt};
}

template <class T>
auto ParseNumber(std::string_view text) -> std::optional<T> {
  auto value = T{};
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

auto BudgetOf(const caller_context& caller) -> configuration::program_budget {
  const auto found = caller.document->organisations.find(caller.organisation);
  if (found == caller.document->organisations.end() || !found->second.budget) {
    return kDefaultBudget;
  }
  return *found->second.budget;
}

auto ToBudget(const configuration::program_budget& limits) -> program::budget {
  return {limits.tokens, limits.calls, std::chrono::seconds(limits.seconds)};
}

// The class of a program whose caller names none: the organisation's class of
// the lowest priority, which has the highest rank.
auto DefaultClass(const caller_context& caller) -> class_id {
  const auto found = caller.document->organisations.find(caller.organisation);
  if (found == caller.document->organisations.end() ||
      found->second.classes.empty()) {
    return class_id("default");
  }
  const auto& classes = found->second.classes;
  return std::max_element(classes.begin(), classes.end(),
                          [](const auto& a, const auto& b) {
                            return a.second.rank < b.second.rank;
                          })
      ->first;
}

auto HasClass(const caller_context& caller, const class_id& name) -> bool {
  const auto found = caller.document->organisations.find(caller.organisation);
  return found != caller.document->organisations.end() &&
         found->second.classes.contains(name);
}

// The limit that the caller requests, capped at the organisation's limit.
auto Clamp(const json::object& requested,
           std::string_view key,
           std::int64_t limit) -> std::int64_t {
  const auto value = IntegerOr(requested, key, limit);
  return std::clamp<std::int64_t>(value, 0, limit);
}

struct call_headers {
  program::program_handle handle;
  branch_id branch{"main"};
  program::turn_number turn = 1;
  std::uint64_t offset = 0;
  std::string key;
};

auto ReadTurn(const net::http_request& request, call_headers& headers)
    -> std::optional<problem> {
  const auto text = request.Header("Daisywind-Turn");
  if (text.empty() && headers.handle.program == program_id{}) {
    return std::nullopt;
  }
  const auto turn = ParseNumber<program::turn_number>(text);
  if (!turn || *turn == 0) {
    return BadRequest("Daisywind-Turn must be an integer of at least 1");
  }
  headers.turn = *turn;
  return std::nullopt;
}

auto ReadOffset(const net::http_request& request, call_headers& headers)
    -> std::optional<problem> {
  const auto text = request.Header("Daisywind-Offset");
  if (text.empty()) {
    return std::nullopt;
  }
  const auto offset = ParseNumber<std::uint64_t>(text);
  if (!offset) {
    return BadRequest("Daisywind-Offset must be an unsigned integer, in bytes");
  }
  headers.offset = *offset;
  return std::nullopt;
}

auto ReadNames(const net::http_request& request, call_headers& headers)
    -> std::optional<problem> {
  const auto branch = request.Header("Daisywind-Branch");
  if (branch.size() > kMaxNameBytes) {
    return BadRequest("Daisywind-Branch must have at most 128 bytes");
  }
  if (!branch.empty()) {
    headers.branch = branch_id(std::string(branch));
  }
  headers.key = std::string(request.Header("Idempotency-Key"));
  if (headers.key.size() > kMaxKeyBytes) {
    return BadRequest("Idempotency-Key must have at most 256 bytes");
  }
  return std::nullopt;
}

auto ReadHandle(const net::http_request& request)
    -> read_result<program::program_handle> {
  const auto text = request.Header("Daisywind-Program");
  if (text.empty()) {
    return program::program_handle{};
  }
  const auto handle = program::ParseHandle(text);
  if (!handle) {
    return BadRequest("Daisywind-Program must be a program handle");
  }
  return *handle;
}

auto ReadHeaders(const net::http_request& request)
    -> read_result<call_headers> {
  auto headers = call_headers{};
  auto handle = ReadHandle(request);
  if (auto* refusal = std::get_if<problem>(&handle)) {
    return std::move(*refusal);
  }
  headers.handle = std::get<program::program_handle>(std::move(handle));
  for (auto* read : {&ReadTurn, &ReadOffset, &ReadNames}) {
    if (auto refusal = (*read)(request, headers)) {
      return std::move(*refusal);
    }
  }
  return headers;
}

auto MakeCall(const net::http_request& request,
              const caller_context& caller,
              call_headers headers) -> program::call_arrived {
  auto arrived = program::call_arrived{};
  arrived.handle = std::move(headers.handle);
  arrived.organisation = caller.organisation;
  arrived.service_class = DefaultClass(caller);
  arrived.limits = ToBudget(BudgetOf(caller));
  auto& call = arrived.call;
  call.branch = std::move(headers.branch);
  call.turn = headers.turn;
  call.offset = headers.offset;
  call.key = std::move(headers.key);
  call.body_digest = Extend(DigestOf(request.Path()), request.body);
  call.content_type = std::string(request.Header("Content-Type"));
  call.body = program::MakePayload(request.body);
  return arrived;
}

// Sets the target of a call by the name of a model or of an adapter, which
// selects its base model. Returns false when the name is unknown.
auto SetTarget(const caller_context& caller,
               const std::string& name,
               program::call_request& call) -> bool {
  if (caller.document->models.contains(model_id(name))) {
    call.target = name;
    return true;
  }
  const auto found = caller.document->adapters.find(adapter_id(name));
  if (found == caller.document->adapters.end()) {
    return false;
  }
  call.adapter = found->first;
  call.target = found->second.base.value;
  return true;
}

auto ParseBody(std::string_view body) -> read_result<chat_request> {
  return leaf::try_handle_all(
      [&]() -> leaf::result<read_result<chat_request>> {
        BOOST_LEAF_AUTO(request, ParseChatRequest(body));
        return read_result<chat_request>(std::move(request));
      },
      [](const document_error& error) {
        return read_result<chat_request>(
            BadRequest(error.path + ": " + error.reason));
      },
      [] {
        return read_result<chat_request>(
            BadRequest("the body could not be parsed"));
      });
}

auto ParseObject(std::string_view body) -> read_result<json::object> {
  auto error = json::error_code{};
  const auto text = body.empty() ? std::string_view("{}") : body;
  auto value = json::parse({text.data(), text.size()}, error);
  if (error || !value.is_object()) {
    return BadRequest("the body must be a JSON object");
  }
  return std::move(value.get_object());
}

}  // namespace

auto ReadOpen(const net::http_request& request, const caller_context& caller)
    -> read_result<program::open_program> {
  auto body = ParseObject(request.body);
  if (auto* refusal = std::get_if<problem>(&body)) {
    return std::move(*refusal);
  }
  const auto& object = std::get<json::object>(body);
  auto open = program::open_program{};
  open.organisation = caller.organisation;
  open.service_class =
      class_id(StringOr(object, "class", DefaultClass(caller).value));
  if (!HasClass(caller, open.service_class)) {
    return BadRequest("/class: must be a class of this organisation");
  }
  auto limits = BudgetOf(caller);
  if (const auto* requested = ObjectOrNull(object, "budget")) {
    limits.tokens = Clamp(*requested, "tokens", limits.tokens);
    limits.calls = Clamp(*requested, "calls", limits.calls);
    limits.seconds = Clamp(*requested, "seconds", limits.seconds);
  }
  open.limits = ToBudget(limits);
  return open;
}

auto ReadChatCall(const net::http_request& request,
                  const caller_context& caller)
    -> read_result<program::call_arrived> {
  auto headers = ReadHeaders(request);
  if (auto* refusal = std::get_if<problem>(&headers)) {
    return std::move(*refusal);
  }
  auto body = ParseBody(request.body);
  if (auto* refusal = std::get_if<problem>(&body)) {
    return std::move(*refusal);
  }
  auto& chat = std::get<chat_request>(body);
  auto arrived =
      MakeCall(request, caller, std::get<call_headers>(std::move(headers)));
  auto& call = arrived.call;
  if (!SetTarget(caller, chat.model, call)) {
    return NotFound("/model: must name a configured model or adapter");
  }
  call.kind = program::call_kind::kChat;
  call.is_idempotent = true;
  call.is_stream = chat.is_streamed;
  call.prompt_tokens = static_cast<std::int64_t>(chat.prompt_tokens);
  call.max_tokens = static_cast<std::int64_t>(chat.max_tokens);
  call.history = std::move(chat.history);
  call.prefix_blocks = std::move(chat.blocks);
  return arrived;
}

auto ReadServiceCall(const net::http_request& request,
                     const caller_context& caller)
    -> read_result<program::call_arrived> {
  auto headers = ReadHeaders(request);
  if (auto* refusal = std::get_if<problem>(&headers)) {
    return std::move(*refusal);
  }
  auto arrived =
      MakeCall(request, caller, std::get<call_headers>(std::move(headers)));
  const auto rest = request.Path().substr(kServicePrefix.size());
  const auto name = rest.substr(0, rest.find('/'));
  const auto found = caller.document->services.find(
      configuration::service_id(std::string(name)));
  if (found == caller.document->services.end()) {
    return NotFound("the service is not configured");
  }
  auto& call = arrived.call;
  call.kind = program::call_kind::kService;
  call.target = std::string(name);
  call.path = std::string(rest.substr(name.size()));
  call.path = call.path.empty() ? "/" : call.path;
  call.has_lookup = found->second.has_lookup;
  call.is_idempotent = request.Header("Daisywind-Idempotent") == "true";
  if (!call.is_idempotent && call.key.empty()) {
    return BadRequest(
        "Idempotency-Key is required for a call that is not idempotent");
  }
  return arrived;
}

auto ReadControl(const net::http_request& request,
                 const caller_context& caller,
                 program::control_action action)
    -> read_result<program::control_arrived> {
  auto handle = ReadHandle(request);
  if (auto* refusal = std::get_if<problem>(&handle)) {
    return std::move(*refusal);
  }
  auto body = ParseObject(request.body);
  if (auto* refusal = std::get_if<problem>(&body)) {
    return std::move(*refusal);
  }
  const auto& object = std::get<json::object>(body);
  auto control = program::control_arrived{};
  control.handle = std::get<program::program_handle>(std::move(handle));
  control.organisation = caller.organisation;
  control.action = action;
  control.branch = branch_id(StringOr(object, "name", ""));
  control.parent = branch_id(StringOr(object, "parent", "main"));
  if (control.handle.program == program_id{}) {
    return BadRequest("Daisywind-Program is required");
  }
  const auto needs_name = action == program::control_action::kStart ||
                          action == program::control_action::kJoin;
  const auto size = control.branch.value.size();
  if (needs_name && (size == 0 || size > kMaxNameBytes)) {
    return BadRequest("/name: must be a string of 1 to 128 bytes");
  }
  return control;
}

}  // namespace daisywind::gateway
