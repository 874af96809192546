#include "program/replies.h"

#include <algorithm>
#include <utility>

#include "program/entry.h"

namespace daisywind::program {
namespace {

// True when the delivered text of the waiter and the given text are the same
// where they overlap.
auto AgreesWith(const call_waiter& waiter, std::string_view text) -> bool {
  const auto known = BytesOf(waiter.known_text);
  const auto begin = waiter.known_end - known.size();
  if (text.size() <= begin) {
    return true;
  }
  const auto overlap = text.substr(begin, known.size());
  return overlap == known.substr(0, overlap.size());
}

// True when a waiter has text of an earlier attempt that is not known here, so
// that the new text cannot be checked against it.
auto HasUnverifiableText(const live_call& call, const call_waiter& waiter)
    -> bool {
  const auto known = BytesOf(waiter.known_text).size();
  return call.is_rerun && known < waiter.known_end;
}

auto SendLost(system_tables& tables,
              const program_copy& copy,
              const call_waiter& waiter) -> void {
  auto end = call_end{};
  end.request = waiter.request;
  end.replicas = copy.replicas;
  end.is_lost = true;
  Send(tables, waiter.origin, std::move(end));
}

auto SendPart(system_tables& tables,
              const program_copy& copy,
              std::string_view text,
              call_waiter& waiter) -> void {
  if (text.size() <= waiter.offset) {
    return;
  }
  auto bytes = MakePayload(std::string{text.substr(waiter.offset)});
  Send(tables, waiter.origin,
       call_part{waiter.request, copy.replicas, waiter.offset,
                 std::move(bytes)});
  waiter.offset = text.size();
}

auto SendEnd(system_tables& tables,
             const program_copy& copy,
             bool is_stream,
             const call_answer& answer,
             call_waiter waiter) -> void {
  auto end = call_end{};
  end.request = waiter.request;
  end.replicas = copy.replicas;
  end.answer = answer;
  if (is_stream) {
    const auto text = BytesOf(answer.body);
    const auto agrees =
        AgreesWith(waiter, text) || tables.options.mutations.skip_prefix_check;
    if (!agrees || waiter.offset > text.size()) {
      SendLost(tables, copy, waiter);
      return;
    }
    SendPart(tables, copy, text, waiter);
    end.text_bytes = text.size();
    end.answer.body = nullptr;
  }
  Send(tables, waiter.origin, std::move(end));
}

}  // namespace

auto AddWaiter(live_call& call, const call_waiter& waiter) -> void {
  for (auto& existing : call.waiters) {
    const auto is_same =
        existing.origin == waiter.origin && existing.request == waiter.request;
    if (is_same) {
      existing = waiter;
      return;
    }
  }
  call.waiters.push_back(waiter);
}

auto SendText(system_tables& tables, const program_copy& copy, live_call& call)
    -> void {
  if (!call.request.is_stream) {
    return;
  }
  const auto checks_prefix = !tables.options.mutations.skip_prefix_check;
  std::erase_if(call.waiters, [&](const call_waiter& waiter) {
    const auto is_lost = checks_prefix && (HasUnverifiableText(call, waiter) ||
                                           !AgreesWith(waiter, call.text));
    if (is_lost) {
      SendLost(tables, copy, waiter);
    }
    return is_lost;
  });
  for (auto& waiter : call.waiters) {
    SendPart(tables, copy, call.text, waiter);
  }
}

auto SendAnswer(system_tables& tables,
                const program_copy& copy,
                live_call& call,
                const call_answer& answer) -> void {
  for (const auto& waiter : call.waiters) {
    SendEnd(tables, copy, call.request.is_stream, answer, waiter);
  }
  call.waiters.clear();
}

auto SendRecorded(system_tables& tables,
                  const program_copy& copy,
                  const call_record& record,
                  bool is_stream,
                  const call_waiter& waiter) -> bool {
  if (!record.answer) {
    return false;
  }
  const auto is_unverifiable =
      is_stream && record.is_rerun &&
      BytesOf(waiter.known_text).size() < waiter.known_end;
  if (is_unverifiable) {
    SendLost(tables, copy, waiter);
    return true;
  }
  SendEnd(tables, copy, is_stream, *record.answer, waiter);
  return true;
}

auto SendProblem(system_tables& tables,
                 const program_copy& copy,
                 const vm_ref& to,
                 request_id request,
                 const problem& refusal) -> void {
  Send(tables, to, call_problem{request, copy.replicas, refusal});
}

auto SendProblem(system_tables& tables,
                 const program_copy& copy,
                 live_call& call,
                 const problem& refusal) -> void {
  for (const auto& waiter : call.waiters) {
    SendProblem(tables, copy, waiter.origin, waiter.request, refusal);
  }
  call.waiters.clear();
}

auto FailOpen(system_tables& tables, program_copy& copy, refusal_reason reason)
    -> void {
  const auto request = *copy.open_request;
  copy.open_request.reset();
  // No call can have run, since callers get the handle only once the program is
  // open.
  RefuseOpen(tables, request, MakeProblem(outcome::kNotRun, reason));
}

auto MakeProblem(outcome result, refusal_reason reason) -> problem {
  auto refusal = problem{};
  refusal.result = result;
  refusal.reason = reason;
  refusal.detail = std::string{NameOf(reason)};
  return refusal;
}

}  // namespace daisywind::program
