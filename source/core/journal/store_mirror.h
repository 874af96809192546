// A copy of the platform's store for VMs that do not reach it.
#ifndef DAISYWIND_JOURNAL_STORE_MIRROR_H_
#define DAISYWIND_JOURNAL_STORE_MIRROR_H_

#include <map>
#include <optional>
#include <string>

#include "common/kv_types.h"
#include "history/messages.h"
#include "kv/store.h"

namespace daisywind::journal {

// Keys of the store as last seen, without I/O or clock.
class store_mirror {
 public:
  // Takes over a copy from the disk, unless a newer state is known.
  auto Restore(const history::store_copy& copy) -> void;

  // Takes over a listing of all keys.
  auto Replace(const kv::listing& all) -> void;

  // Takes over changes.
  auto Apply(const kv::change_list& list) -> void;

  // The copy, or nothing when it is not newer than the given revision.
  [[nodiscard]] auto CopyIfNewer(kv::revision known) const
      -> std::optional<history::store_copy>;

  [[nodiscard]] auto revision_at() const -> kv::revision { return revision_; }

 private:
  std::map<std::string, kv::key_value> items_;
  kv::revision revision_ = 0;
};

}  // namespace daisywind::journal

#endif  // DAISYWIND_JOURNAL_STORE_MIRROR_H_
