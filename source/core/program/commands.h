// Commands that the program system returns. The caller executes them in order.
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

// Sends a message to one incarnation of a VM.
struct send_message {
  vm_ref to;
  message body;
};

// Asks routing to reserve a slot at an endpoint. Answered by endpoint_granted
// or endpoint_refused.
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
  // Tokens that the program has used so far, for scheduling by attained
  // service.
  std::int64_t attained_service = 0;
  std::vector<digest> prefix_blocks;
  digest body_digest;
  // Endpoint of the branch's last chat call; empty if there is none.
  endpoint_id last_endpoint;
  // Endpoints that routing must not choose.
  std::set<endpoint_id> excluded;
};

// Withdraws an acquire_endpoint that has not been answered.
struct abandon_endpoint {
  call_ref call;
};

// Releases an endpoint slot, with the result of the attempt that used it.
struct release_endpoint_slot {
  call_ref call;
  endpoint_id endpoint;
  attempt_result result = attempt_result::kUnknown;
};

// Sends an attempt to an endpoint, or resumes the attempt there. Answered by
// any number of attempt_output events and one attempt_ended.
struct start_attempt {
  attempt_ref attempt;
  endpoint_id endpoint;
  // Fencing token for endpoints that check it: the epoch of the replica set,
  // which grows with each new owner.
  epoch_number fence = 0;
  call_request call;
  organisation_id organisation;
  class_id service_class;
  bool is_resume = false;
  // For a resume: bytes of answer text that have already been received.
  std::uint64_t offset = 0;
};

// Cancels a running attempt. An attempt_ended still follows.
struct cancel_attempt {
  attempt_ref attempt;
  endpoint_id endpoint;
};

// Starts the reply to a streamed call, before the first reply_part.
struct reply_head {
  request_id request = 0;
  program_handle handle;
};

// A piece of the answer text of a streamed call. `offset` is in bytes from the
// start of the whole text.
struct reply_part {
  request_id request = 0;
  std::uint64_t offset = 0;
  payload bytes;
};

// Ends the reply to a call. The text of a stream has already been sent as
// reply_part commands. `is_lost` marks a stream whose remaining text cannot be
// recovered; its reply ends with an error marker.
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

// Answers a local request other than a call with the state of the program.
struct reply_view {
  request_id request = 0;
  program_view view;
};

// Asks a service whether it has run the call with an idempotency key. Answered
// by lookup_result.
struct request_lookup {
  call_ref call;
  endpoint_id endpoint;
  std::string target;
  std::string key;
};

// Tells an engine to free the cache memory that it holds for a program.
// Repeated until release_confirmed or endpoint_restarted.
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
