// Outputs of the program system, to be carried out in their order.
#ifndef DAISYWIND_PROGRAM_COMMANDS_H_
#define DAISYWIND_PROGRAM_COMMANDS_H_

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "program/messages.h"
#include "program/types.h"

namespace daisywind::program {

// Sends a message to one run of a VM.
struct send_message {
  vm_ref to;
  message body;
};

// Asks routing for a slot at an endpoint. Answered by endpoint_granted or
// endpoint_refused.
struct acquire_endpoint {
  call_ref call;
  organisation_id organisation;
  class_id service_class;
  call_kind kind = call_kind::kChat;
  std::string target;
  adapter_id adapter;
  bool is_idempotent = false;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_tokens = 0;
  // Tokens that the program has used so far.
  std::int64_t attained_service = 0;
  std::vector<digest> prefix_blocks;
  digest body_digest;
  // Endpoint of the branch's last chat call; empty when there is none.
  endpoint_id last_endpoint;
  std::set<endpoint_id> excluded;
};

// The call no longer waits for an endpoint.
struct abandon_endpoint {
  call_ref call;
};

// Gives a slot back.
struct release_endpoint_slot {
  call_ref call;
  endpoint_id endpoint;
  attempt_result result = attempt_result::kUnknown;
};

// Sends an attempt to an endpoint, or resumes it there. Answered by any number
// of attempt_output and one attempt_ended.
struct start_attempt {
  attempt_ref attempt;
  endpoint_id endpoint;
  // Grows with each owner of the program; for endpoints that check it.
  epoch_number fence = 0;
  call_request call;
  organisation_id organisation;
  class_id service_class;
  bool is_resume = false;
  // Bytes of answer text already had, for a resume.
  std::uint64_t offset = 0;
};

// Cancels an attempt that runs. attempt_ended still follows.
struct cancel_attempt {
  attempt_ref attempt;
  endpoint_id endpoint;
};

// Begins the reply to a streamed call.
struct reply_head {
  request_id request = 0;
  program_handle handle;
};

// Answer text of a streamed call.
struct reply_part {
  request_id request = 0;
  std::uint64_t offset = 0;
  payload bytes;
};

// Ends the reply to a call. For streams the text has already gone out in
// parts. `is_lost` marks a stream whose rest cannot be had: the reply ends with
// an error marker.
struct reply_end {
  request_id request = 0;
  program_handle handle;
  call_answer answer;
  bool is_lost = false;
};

// Refuses a local request.
struct reply_problem {
  request_id request = 0;
  program_handle handle;
  problem refusal;
};

// Answers a local request that is not a call.
struct reply_view {
  request_id request = 0;
  program_view view;
};

// Asks a service whether it has run a call. Answered by lookup_result.
struct request_lookup {
  call_ref call;
  endpoint_id endpoint;
  std::string target;
  std::string key;
};

// Tells an engine to release all that it holds for a program. Repeated until
// release_confirmed or endpoint_restarted.
struct release_memory {
  endpoint_id endpoint;
  program_id program;
};

using command = std::variant<send_message,
                             acquire_endpoint,
                             abandon_endpoint,
                             release_endpoint_slot,
                             start_attempt,
                             cancel_attempt,
                             reply_head,
                             reply_part,
                             reply_end,
                             reply_problem,
                             reply_view,
                             request_lookup,
                             release_memory>;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_COMMANDS_H_
