// What may be removed from the service, and the transactions that remove it.
#ifndef DAISYWIND_CONFIGURATION_COLLECTION_H_
#define DAISYWIND_CONFIGURATION_COLLECTION_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "common/kv_types.h"
#include "configuration/storage.h"
#include "configuration/version.h"

namespace daisywind::configuration {

// Keys with the revision of their last change.
using key_revisions = std::map<std::string, kv::revision>;

// All that the service holds of the configuration, but the chunks' content.
struct collection_state {
  head_state head;
  std::vector<history_entry> entries;
  key_revisions chunks;
  key_revisions lines;

  auto operator<=>(const collection_state&) const = default;
};

// Reads a collection_state.
auto CollectionRequest() -> kv::txn_request;

// Fails with document_error when a value can't be read.
auto ReadCollection(const kv::txn_response& response)
    -> leaf::result<collection_state>;

// The chunks that none of the newest `kept` versions has.
auto UnusedChunks(const collection_state& state, std::size_t kept)
    -> key_revisions;

// History lines of versions that are no longer kept.
auto OutdatedLines(const collection_state& state, std::size_t kept)
    -> key_revisions;

// Patch ids of versions that are no longer kept. A repeat under such an id is
// a conflict, since the number it is for is outdated.
auto OutdatedPatchKeys(const collection_state& state, std::size_t kept)
    -> std::vector<std::string>;

// Removes keys if they, the head and the collection key are unchanged.
auto RemoveRequest(const head_state& base, const key_revisions& keys)
    -> kv::txn_request;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_COLLECTION_H_
