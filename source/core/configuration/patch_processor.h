// Processes patch requests from their receipt to the reply.
#ifndef DAISYWIND_CONFIGURATION_PATCH_PROCESSOR_H_
#define DAISYWIND_CONFIGURATION_PATCH_PROCESSOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "configuration/chunk_loader.h"
#include "configuration/storage.h"
#include "configuration/system_state.h"

namespace daisywind::configuration {

// Tracks the patches in progress. For each patch it reads the head, loads the
// base version, writes the new chunks, and commits the new version with one
// transaction. The transaction is retried while its outcome is unknown. It
// compares the head's revision and the patch id, so it takes effect at most
// once; when its compares fail, no earlier attempt can take effect any more.
class patch_processor {
 public:
  patch_processor(system_state& state, chunk_loader& loader)
      : state_(&state), loader_(&loader) {}

  auto Begin(const patch_requested& request, instant now) -> void;

  // Advances every patch, and replies to those that have timed out.
  auto Advance(instant now) -> void;

 private:
  enum class step : std::uint8_t {
    kReadHead,
    kLoad,
    kWriteChunks,
    kAccept,
    kReadHistory,
    kDone,
  };

  struct entry {
    patch_requested request;
    instant deadline;
    step next = step::kReadHead;
    bool is_waiting = false;
    instant retry_at;
    std::size_t failures = 0;
    head_state base;
    load_id load = 0;
    version_head head;
    chunk_map chunks;
    history_entry record;
    std::vector<kv::txn_request> writes;
    std::size_t written = 0;
    // An earlier attempt of the accept transaction may still take effect.
    bool may_be_accepted = false;
  };

  using entry_id = std::uint64_t;
  using result_function = void (patch_processor::*)(entry&,
                                                    const kv_result&,
                                                    instant);

  auto Proceed(entry_id id, entry& item, instant now) -> void;
  auto Call(entry_id id,
            entry& item,
            kv::txn_request request,
            result_function handler) -> void;
  auto HandleHead(entry& item, const kv_result& result, instant now) -> void;
  auto HandleWrite(entry& item, const kv_result& result, instant now) -> void;
  auto HandleAccept(entry& item, const kv_result& result, instant now) -> void;
  auto HandleHistory(entry& item, const kv_result& result, instant now) -> void;
  auto ProcessHead(entry& item, const head_state& read, instant now) -> void;
  auto TryApply(entry& item, instant now) -> void;
  auto Apply(entry& item, instant now) -> leaf::result<void>;
  // The document that a patch is based on. All its chunks must be loaded.
  [[nodiscard]] auto ReadBase(const version_head& base) const
      -> leaf::result<document>;
  auto FinishAccepted(entry& item) -> void;
  auto Retry(entry& item, instant now) -> void;
  auto Reply(entry& item, patch_result result) -> void;
  auto ReplyTimedOut(entry& item) -> void;

  system_state* state_;
  chunk_loader* loader_;
  std::map<entry_id, entry> entries_;
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_PATCH_PROCESSOR_H_
