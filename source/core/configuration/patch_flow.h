// Takes patches from their request to their acceptance or refusal.
#ifndef DAISYWIND_CONFIGURATION_PATCH_FLOW_H_
#define DAISYWIND_CONFIGURATION_PATCH_FLOW_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "configuration/chunk_loader.h"
#include "configuration/storage.h"
#include "configuration/system_state.h"

namespace daisywind::configuration {

// A table of patches under way. Each reads the head, loads the version it is
// for, writes its chunks and then tries to be accepted by one transaction. That
// transaction is repeated while its answer is lost: it compares the head's
// revision and the patch id, so it takes effect at most once, and its failure
// proves that no earlier send of it will take effect any more.
class patch_flow {
 public:
  patch_flow(system_state& state, chunk_loader& loader)
      : state_(&state), loader_(&loader) {}

  auto Begin(const patch_requested& request, instant now) -> void;

  // Goes on with every patch, and answers those whose time is over.
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
    history_entry line;
    std::vector<kv::txn_request> writes;
    std::size_t written = 0;
    // A send of the acceptance may yet take effect.
    bool may_be_accepted = false;
  };

  using entry_id = std::uint64_t;
  using result_function = void (patch_flow::*)(entry&,
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
  auto TakeHead(entry& item, const head_state& read, instant now) -> void;
  auto TryApply(entry& item, instant now) -> void;
  auto Apply(entry& item, instant now) -> leaf::result<void>;
  // The document that a patch is for, whose chunks are all here.
  [[nodiscard]] auto ReadBase(const version_head& base) const
      -> leaf::result<document>;
  auto TakeAccepted(entry& item) -> void;
  auto Retry(entry& item, instant now) -> void;
  auto Reply(entry& item, patch_result result) -> void;
  auto ReplyLate(entry& item) -> void;

  system_state* state_;
  chunk_loader* loader_;
  std::map<entry_id, entry> entries_;
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_PATCH_FLOW_H_
