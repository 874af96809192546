// Copy of the platform's store for VMs that can't reach the store.
#ifndef DAISYWIND_JOURNAL_STORE_MIRROR_H_
#define DAISYWIND_JOURNAL_STORE_MIRROR_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/kv_types.h"
#include "history/messages.h"
#include "kv/store.h"

namespace daisywind::journal {

// Latest known keys and values of the store. Does no I/O and reads no clock.
class store_mirror {
 public:
  // Loads a copy read from disk, unless a newer revision is present.
  auto Restore(const history::store_copy& copy) -> void;

  // Replaces the content by a listing of all keys.
  auto Replace(const kv::listing& all) -> void;

  auto Apply(const kv::change_list& list) -> void;

  // Returns what a request asks for, without the store's age.
  [[nodiscard]] auto ReplyTo(const history::copy_request& request) const
      -> history::copy_reply;

  // Returns the content, or nothing when it is not newer than the given
  // revision.
  [[nodiscard]] auto CopyIfNewer(kv::revision known) const
      -> std::optional<history::store_copy>;

  [[nodiscard]] auto revision_at() const -> kv::revision { return revision_; }

 private:
  // A key, with its compressed value if that is what fits the wire better.
  struct entry {
    kv::key_value item;
    std::optional<std::string> deflated;
  };

  // Stores a key. A value is compressed once, for all replies.
  auto Put(const kv::key_value& item) -> void;
  auto DropOldRemovals() -> void;
  // Whether everything that has been removed since a revision is known.
  [[nodiscard]] auto HasRemovalsSince(kv::revision known) const -> bool;

  // Adds the keys that were changed after a revision to a reply.
  auto AddChangedSince(kv::revision known,
                       bool takes_deflated,
                       history::copy_reply& reply) const -> void;

  std::map<std::string, entry> items_;
  kv::revision revision_ = 0;
  // Keys that were removed after `removals_since_`, with the revision of their
  // removal, as far as they were here or removed in a change.
  std::map<std::string, kv::revision> removals_;
  kv::revision removals_since_ = 0;
  // Pairs of revisions between which only a listing was read. A VM that has
  // read the store between them may know a key that was written and removed
  // there.
  std::vector<std::pair<kv::revision, kv::revision>> gaps_;
};

}  // namespace daisywind::journal

#endif  // DAISYWIND_JOURNAL_STORE_MIRROR_H_
