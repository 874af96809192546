// Garbage collection in the key-value service: removes chunks that no retained
// version references, and the history entries and patch ids of versions that
// are no longer retained.
#ifndef DAISYWIND_CONFIGURATION_GARBAGE_COLLECTOR_H_
#define DAISYWIND_CONFIGURATION_GARBAGE_COLLECTOR_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "configuration/garbage_collection.h"
#include "configuration/system_state.h"

namespace daisywind::configuration {

// Active on one VM, chosen by rendezvous hashing over all members; two VMs that
// collect concurrently do no harm. A chunk is removed once two consecutive runs
// found it unreferenced and it was not written in between. The interval between
// runs is longer than a patch can take to write its chunks, so that the chunks
// of a patch in progress are not removed.
class garbage_collector {
 public:
  explicit garbage_collector(system_state& state) : state_(&state) {}

  auto Advance(instant now) -> void;

 private:
  [[nodiscard]] auto IsCollector() const -> bool;
  auto ReadState(instant now) -> void;
  auto HandleRead(const kv_result& result) -> void;
  auto RemoveNext() -> void;
  auto HandleRemoved(const kv_result& result) -> void;

  system_state* state_;
  std::optional<instant> next_run_at_;
  bool is_running_ = false;
  // Chunks that no retained version referenced in the last run.
  key_revisions unused_;
  collection_state base_;
  std::vector<key_revisions> batches_;
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_GARBAGE_COLLECTOR_H_
