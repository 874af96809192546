// Removes from the service what no kept version has any more: chunks, and the
// history lines and patch ids of versions that are no longer kept.
#ifndef DAISYWIND_CONFIGURATION_CHUNK_COLLECTOR_H_
#define DAISYWIND_CONFIGURATION_CHUNK_COLLECTOR_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "configuration/collection.h"
#include "configuration/system_state.h"

namespace daisywind::configuration {

// Runs on one VM, the first by rendezvous over all members; two at a time do no
// harm. A chunk is removed when it was of no use in two runs and unchanged
// between them, so later than the longest write of a patch could take.
class chunk_collector {
 public:
  explicit chunk_collector(system_state& state) : state_(&state) {}

  auto Advance(instant now) -> void;

 private:
  [[nodiscard]] auto IsCollector() const -> bool;
  auto Read(instant now) -> void;
  auto TakeRead(const kv_result& result) -> void;
  auto RemoveNext() -> void;
  auto TakeRemoved(const kv_result& result) -> void;

  system_state* state_;
  std::optional<instant> next_run_at_;
  bool is_running_ = false;
  // Chunks that were of no use in the last run.
  key_revisions unused_;
  collection_state base_;
  std::vector<key_revisions> batches_;
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_CHUNK_COLLECTOR_H_
