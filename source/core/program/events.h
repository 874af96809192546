// Events that the program system handles.
#ifndef DAISYWIND_PROGRAM_EVENTS_H_
#define DAISYWIND_PROGRAM_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "program/messages.h"
#include "program/types.h"

namespace daisywind::program {

// A caller opens a program. Answered by reply_view or reply_problem.
struct open_program {
  request_id request = 0;
  organisation_id organisation;
  class_id service_class;
  budget limits;
};

// A caller makes a call; the organisation's API key has already been checked.
// An empty handle opens a program for this call alone, which ends with its
// answer.
struct call_arrived {
  request_id request = 0;
  program_handle handle;
  organisation_id organisation;
  call_request call;
  // Used only when the handle is empty.
  class_id service_class;
  budget limits;
};

// A caller starts or joins a branch, ends a program or queries its state.
// Answered by reply_view or reply_problem.
struct control_arrived {
  request_id request = 0;
  program_handle handle;
  organisation_id organisation;
  control_action action = control_action::kQuery;
  branch_id branch;
  branch_id parent;
};

// The caller of a local request has disconnected.
struct caller_disconnected {
  request_id request = 0;
};

// A message from another VM has arrived.
struct peer_message {
  vm_ref from;
  message body;
};

// The list of live VMs, including this one. A VM that shuts down gracefully
// stays in the list, marked as leaving, until it has stopped.
struct members_changed {
  std::vector<member> members;
};

// An incarnation of a VM has ended or cannot be reached.
struct peer_lost {
  vm_ref vm;
};

// Routing has reserved a slot at an endpoint for a call.
struct endpoint_granted {
  call_ref call;
  endpoint_id endpoint;
};

// Routing has refused a slot for a call. `retry_after` is zero when it is not
// known when a retry could succeed.
struct endpoint_refused {
  call_ref call;
  refusal_reason reason = refusal_reason::kNoEndpoint;
  duration retry_after{};
};

// Answer text of a running attempt. `offset` is in bytes from the start of the
// whole text.
struct attempt_output {
  attempt_ref attempt;
  std::uint64_t offset = 0;
  payload bytes;
};

// An attempt has ended. `answer_message` is the canonical text of the message
// that the answer adds to the history. When it is empty, the message is an
// assistant message with the streamed text as its content.
struct attempt_ended {
  attempt_ref attempt;
  attempt_result result = attempt_result::kUnknown;
  call_answer answer;
  std::string answer_message;
  duration retry_after{};
};

// What a service knows about a call with an idempotency key.
enum class lookup_status : std::uint8_t { kRan, kNotStarted, kNoAnswer };

// The answer to request_lookup.
struct lookup_result {
  call_ref call;
  lookup_status status = lookup_status::kNoAnswer;
  call_answer answer;
};

// An engine has confirmed that it holds no memory for a program.
struct release_confirmed {
  endpoint_id endpoint;
  program_id program;
};

// An endpoint has restarted or has been removed, so it holds no memory for any
// program.
struct endpoint_restarted {
  endpoint_id endpoint;
};

// The programs for which an engine holds memory. One VM lists the sessions of
// each engine periodically, and memory of programs that no VM knows is
// released.
struct sessions_listed {
  endpoint_id endpoint;
  std::vector<program_id> programs;
};

// A graceful shutdown has been requested: all programs are handed over. See
// program_system::IsDrained.
struct shutdown_requested {};

using event = std::variant<open_program,
                           call_arrived,
                           control_arrived,
                           caller_disconnected,
                           peer_message,
                           members_changed,
                           peer_lost,
                           endpoint_granted,
                           endpoint_refused,
                           attempt_output,
                           attempt_ended,
                           lookup_result,
                           release_confirmed,
                           endpoint_restarted,
                           sessions_listed,
                           shutdown_requested>;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_EVENTS_H_
