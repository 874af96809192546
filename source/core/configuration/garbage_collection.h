// Garbage collection in the key-value service: selects the keys to remove and
// builds the transactions that remove them.
#ifndef DAISYWIND_CONFIGURATION_GARBAGE_COLLECTION_H_
#define DAISYWIND_CONFIGURATION_GARBAGE_COLLECTION_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "common/kv_types.h"
#include "configuration/storage.h"
#include "configuration/version.h"

namespace daisywind::configuration {

// Keys with the revision of their last modification.
using key_revisions = std::map<std::string, kv::revision>;

// All configuration data in the service except the content of the chunks.
struct collection_state {
  head_state head;
  std::vector<history_entry> entries;
  key_revisions chunks;
  key_revisions history_keys;

  auto operator<=>(const collection_state&) const = default;
};

// Builds the read whose response ReadCollection decodes.
auto CollectionRequest() -> kv::txn_request;

// Fails with document_error when the response is incomplete or a value cannot
// be decoded.
auto ReadCollection(const kv::txn_response& response)
    -> leaf::result<collection_state>;

// Chunks that none of the newest `kept` versions references.
auto UnusedChunks(const collection_state& state, std::size_t kept)
    -> key_revisions;

// History entries of versions older than the newest `kept`.
auto OutdatedHistoryKeys(const collection_state& state, std::size_t kept)
    -> key_revisions;

// Patch-id keys of versions older than the newest `kept`. A retry under such an
// id is answered with a conflict, because its base version is outdated.
auto OutdatedPatchKeys(const collection_state& state, std::size_t kept)
    -> std::vector<std::string>;

// Removes keys on condition that the head and the collection key are
// unchanged, and also each key that has a non-zero revision. The transaction
// updates the collection key.
auto RemoveRequest(const head_state& base, const key_revisions& keys)
    -> kv::txn_request;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_GARBAGE_COLLECTION_H_
