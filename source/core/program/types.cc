#include "program/types.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace daisywind::program {
namespace {

constexpr char kPartSeparator = '.';
constexpr char kRunSeparator = '@';
constexpr std::string_view kAbsent = "-";
constexpr std::size_t kHandleParts = 5;
constexpr int kDecimal = 10;
constexpr std::size_t kProgramIdDigits = 32;

struct reason_row {
  refusal_reason reason;
  int status;
  std::string_view name;
};

constexpr auto kReasons = std::to_array<reason_row>({
    {refusal_reason::kBadRequest, 400, "bad_request"},
    {refusal_reason::kWrongOrganisation, 403, "wrong_organisation"},
    {refusal_reason::kProgramNotFound, 404, "program_not_found"},
    {refusal_reason::kProgramEnded, 410, "program_ended"},
    {refusal_reason::kProgramLost, 410, "program_lost"},
    {refusal_reason::kBranchNotFound, 404, "branch_not_found"},
    {refusal_reason::kBranchExists, 409, "branch_exists"},
    {refusal_reason::kBranchEnded, 409, "branch_ended"},
    {refusal_reason::kBranchBusy, 409, "branch_busy"},
    {refusal_reason::kTurnOutOfOrder, 409, "turn_out_of_order"},
    {refusal_reason::kTurnGapTimedOut, 409, "turn_gap_timed_out"},
    {refusal_reason::kTurnConflict, 409, "turn_conflict"},
    {refusal_reason::kHistoryMismatch, 409, "history_mismatch"},
    {refusal_reason::kKeyMissing, 400, "key_missing"},
    {refusal_reason::kKeyReused, 422, "key_reused"},
    {refusal_reason::kBudgetExceeded, 402, "budget_exceeded"},
    {refusal_reason::kMemoryBound, 429, "memory_bound"},
    {refusal_reason::kNoEndpoint, 503, "no_endpoint"},
    {refusal_reason::kEndpointRefused, 503, "endpoint_refused"},
    {refusal_reason::kEndpointFailed, 502, "endpoint_failed"},
    {refusal_reason::kOwnerUnreachable, 503, "owner_unreachable"},
    {refusal_reason::kWitnessUnreachable, 503, "witness_unreachable"},
    {refusal_reason::kInDoubt, 409, "in_doubt"},
    {refusal_reason::kPreviousInDoubt, 409, "previous_in_doubt"},
    {refusal_reason::kAnswerNotKept, 410, "answer_not_kept"},
    {refusal_reason::kStreamLost, 502, "stream_lost"},
    {refusal_reason::kShuttingDown, 503, "shutting_down"},
    {refusal_reason::kOverloaded, 429, "overloaded"},
    {refusal_reason::kRateLimited, 429, "rate_limited"},
    {refusal_reason::kQuarantined, 422, "quarantined"},
});

auto RowOf(refusal_reason reason) -> const reason_row& {
  return kReasons.at(static_cast<std::size_t>(reason));
}

auto MemberText(const vm_ref& vm) -> std::string {
  if (vm.empty()) {
    return std::string{kAbsent};
  }
  return vm.vm.value + kRunSeparator + std::to_string(vm.run);
}

auto ParseNumber(std::string_view text) -> std::optional<std::uint64_t> {
  auto value = std::uint64_t{0};
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value, kDecimal);
  if (result.ec != std::errc{} || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

auto ParseMember(std::string_view text) -> std::optional<vm_ref> {
  if (text == kAbsent) {
    return vm_ref{};
  }
  const auto split = text.rfind(kRunSeparator);
  if (split == std::string_view::npos || split == 0) {
    return std::nullopt;
  }
  const auto run = ParseNumber(text.substr(split + 1));
  if (!run) {
    return std::nullopt;
  }
  return vm_ref{vm_id{std::string{text.substr(0, split)}}, *run};
}

auto SplitHandle(std::string_view text) -> std::vector<std::string_view> {
  auto parts = std::vector<std::string_view>{};
  while (parts.size() <= kHandleParts) {
    const auto end = text.find(kPartSeparator);
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos) {
      break;
    }
    text.remove_prefix(end + 1);
  }
  return parts;
}

}  // namespace

auto MakePayload(std::string bytes) -> payload {
  return std::make_shared<const std::string>(std::move(bytes));
}

auto BytesOf(const payload& bytes) -> std::string_view {
  return bytes ? std::string_view{*bytes} : std::string_view{};
}

auto MembersOf(const replica_set& set) -> std::vector<vm_ref> {
  auto members = std::vector<vm_ref>{};
  for (const auto& vm : {set.owner, set.witness, set.arbiter}) {
    if (!vm.empty()) {
      members.push_back(vm);
    }
  }
  return members;
}

auto MajorityOf(const replica_set& set) -> std::size_t {
  return MembersOf(set).size() / 2 + 1;
}

auto IsMember(const replica_set& set, const vm_ref& vm) -> bool {
  return !vm.empty() &&
         (set.owner == vm || set.witness == vm || set.arbiter == vm);
}

auto ToString(const program_handle& handle) -> std::string {
  auto text = ToString(handle.program);
  text += kPartSeparator;
  text += std::to_string(handle.replicas.epoch);
  for (const auto& vm : {handle.replicas.owner, handle.replicas.witness,
                         handle.replicas.arbiter}) {
    text += kPartSeparator;
    text += MemberText(vm);
  }
  return text;
}

auto ParseHandle(std::string_view text) -> std::optional<program_handle> {
  const auto parts = SplitHandle(text);
  if (parts.size() != kHandleParts || parts[0].size() != kProgramIdDigits) {
    return std::nullopt;
  }
  const auto program = ParseProgramId(parts[0]);
  const auto epoch = ParseNumber(parts[1]);
  const auto owner = ParseMember(parts[2]);
  const auto witness = ParseMember(parts[3]);
  const auto arbiter = ParseMember(parts[4]);
  if (!program || !epoch || !owner || !witness || !arbiter || owner->empty()) {
    return std::nullopt;
  }
  return program_handle{*program,
                        replica_set{*epoch, *owner, *witness, *arbiter}};
}

auto AttemptBase(epoch_number epoch) -> attempt_number {
  constexpr auto kAttemptBits = 32U;
  return epoch << kAttemptBits;
}

auto StatusOf(refusal_reason reason) -> int {
  return RowOf(reason).status;
}

auto NameOf(refusal_reason reason) -> std::string_view {
  return RowOf(reason).name;
}

auto NameOf(outcome value) -> std::string_view {
  static constexpr auto kNames =
      std::array<std::string_view, 3>{"not_run", "unknown", "done"};
  return kNames.at(static_cast<std::size_t>(value));
}

auto MessageText(std::string_view role, std::string_view content)
    -> std::string {
  auto text = std::string{role};
  text += '\n';
  text += content;
  return text;
}

auto WorstCaseOf(const call_request& request) -> budget {
  const auto tokens = request.kind == call_kind::kChat
                          ? request.prompt_tokens + request.max_tokens
                          : 0;
  return budget{tokens, 1, duration{}};
}

auto ToString(const attempt_ref& attempt) -> std::string {
  return ToString(attempt.call.program) + "-" + std::to_string(attempt.number);
}

}  // namespace daisywind::program
