// Answers queries for the documents of versions and for the history.
#ifndef DAISYWIND_CONFIGURATION_QUERY_PROCESSOR_H_
#define DAISYWIND_CONFIGURATION_QUERY_PROCESSOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "configuration/chunk_loader.h"
#include "configuration/system_state.h"

namespace daisywind::configuration {

class query_processor {
 public:
  query_processor(system_state& state, chunk_loader& loader)
      : state_(&state), loader_(&loader) {}

  auto HandleVersion(const version_requested& request, instant now) -> void;
  auto HandleHistory(const history_requested& request) -> void;

  // Advances every version query.
  auto Advance(instant now) -> void;

 private:
  // A query for a version other than the installed one.
  struct entry {
    version_requested request;
    instant deadline;
    std::optional<manifest> buckets;
    load_id load = 0;
  };

  using entry_id = std::uint64_t;

  auto HandleHistoryResult(entry_id id, const kv_result& result) -> void;
  auto ReplyHistory(const history_requested& request, const kv_result& result)
      -> void;
  // Returns true when the reply has been sent.
  auto Proceed(entry& item, instant now) -> bool;
  // The document of a manifest; null when a chunk is missing or malformed.
  [[nodiscard]] auto JoinDocument(const manifest& buckets) const
      -> std::shared_ptr<const document>;
  auto Reply(const version_requested& request,
             query_outcome outcome,
             std::shared_ptr<const document> content) -> void;

  system_state* state_;
  chunk_loader* loader_;
  std::map<entry_id, entry> entries_;
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_QUERY_PROCESSOR_H_
