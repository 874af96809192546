// Inputs of the program system.
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

// A caller makes a call; the organisation's key has been checked. An empty
// handle opens a program of one call, which ends with its answer.
struct call_arrived {
  request_id request = 0;
  program_handle handle;
  organisation_id organisation;
  call_request call;
  // For an empty handle only.
  class_id service_class;
  budget limits;
};

// A caller starts or joins a branch, ends a program or asks for its state.
// Answered by reply_view or reply_problem.
struct control_arrived {
  request_id request = 0;
  program_handle handle;
  organisation_id organisation;
  control_action action = control_action::kQuery;
  branch_id branch;
  branch_id parent;
};

// The caller of a local request is gone.
struct caller_disconnected {
  request_id request = 0;
};

// A message of another VM.
struct peer_message {
  vm_ref from;
  message body;
};

// The live VMs, with the own one. A VM that is stopping gracefully stays in the
// list as leaving until it is gone.
struct members_changed {
  std::vector<member> members;
};

// A run of a VM is over or cannot be reached.
struct peer_lost {
  vm_ref vm;
};

// Routing has reserved a slot at an endpoint for a call.
struct endpoint_granted {
  call_ref call;
  endpoint_id endpoint;
};

// Routing has no endpoint for a call.
struct endpoint_refused {
  call_ref call;
  refusal_reason reason = refusal_reason::kNoEndpoint;
  duration retry_after{};
};

// Answer text of a running attempt, from an offset in the whole text.
struct attempt_output {
  attempt_ref attempt;
  std::uint64_t offset = 0;
  payload bytes;
};

// The end of an attempt. `answer_message` is the canonical text of the message
// that the answer adds to the history; when it is empty, the streamed text is
// taken as the content of an assistant's message.
struct attempt_ended {
  attempt_ref attempt;
  attempt_result result = attempt_result::kUnknown;
  call_answer answer;
  std::string answer_message;
  duration retry_after{};
};

// What a service knows about a key.
enum class lookup_status : std::uint8_t { kRan, kNotStarted, kNoAnswer };

// The answer to request_lookup.
struct lookup_result {
  call_ref call;
  lookup_status status = lookup_status::kNoAnswer;
  call_answer answer;
};

// An engine has confirmed that it holds nothing for a program.
struct release_confirmed {
  endpoint_id endpoint;
  program_id program;
};

// An endpoint has started anew, or is gone for good: its memory is empty.
struct endpoint_restarted {
  endpoint_id endpoint;
};

// The programs for which an engine holds memory. One VM lists each engine
// from time to time; what nobody knows is released.
struct sessions_listed {
  endpoint_id endpoint;
  std::vector<program_id> programs;
};

// Hand over all programs; see program_system::IsDrained.
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
