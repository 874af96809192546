// A disk in memory that can lose its power.
#ifndef DAISYWIND_UNIT_TESTS_JOURNAL_FAKE_DISK_H_
#define DAISYWIND_UNIT_TESTS_JOURNAL_FAKE_DISK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "journal/file_system.h"

namespace daisywind::journal {

// Returns a number below the given one.
using chooser = std::function<std::uint64_t(std::uint64_t)>;

// At a power loss, a file keeps what its last sync covered, and of each write
// after that all, nothing or a part. Each name that was created or removed
// without a sync of its folder is kept or lost independently.
class fake_disk final : public file_system {
 public:
  struct content {
    std::string written;
    std::string synced;
  };

  auto MakeFolder(const std::string& path) -> bool override;
  auto List(const std::string& folder)
      -> std::optional<std::vector<std::string>> override;
  auto Create(const std::string& path) -> std::unique_ptr<open_file> override;
  auto OpenForReading(const std::string& path)
      -> std::unique_ptr<open_file> override;
  auto Remove(const std::string& path) -> bool override;
  auto SyncFolder(const std::string& path) -> bool override;

  // Must be called while no file is open.
  auto LosePower(const chooser& choose) -> void;
  // Loses all that was not synced.
  auto LosePower() -> void;

  // What somebody other than the code under test does to the disk: all of it is
  // durable.
  auto Drop(const std::string& path) -> void;
  auto Put(const std::string& path, const std::string& bytes) -> void;
  // As a killed process leaves a file.
  auto PutUnsynced(const std::string& path, const std::string& bytes) -> void;

  // The content of all files. Restore makes it the durable state.
  using image = std::map<std::string, std::optional<std::string>>;
  auto Image() -> image;
  auto Restore(const image& from) -> void;

  // Paths of the files whose names start so, in ascending order.
  auto Find(std::string_view path_prefix) -> std::vector<std::string>;
  auto Read(const std::string& path) -> std::string;

  // After this many more changes and syncs, all of them fail.
  auto StopAfter(int count) -> void;
  // The next calls of this kind fail.
  auto FailSyncs(int count) -> void;
  auto FailFolderSyncs(int count) -> void;
  auto FailRemovals(int count) -> void;

 private:
  class handle;

  // A folder has no content.
  using names = std::map<std::string, std::shared_ptr<content>>;

  static auto IsIn(const std::string& path, const std::string& folder) -> bool;
  // Counts a change or sync, which fails if this returns true.
  auto IsStopped() -> bool;
  static auto TakeFailure(int& count) -> bool;

  std::mutex mutex_;
  names names_;
  names durable_names_;
  std::optional<int> calls_left_;
  int failing_syncs_ = 0;
  int failing_folder_syncs_ = 0;
  int failing_removals_ = 0;
};

}  // namespace daisywind::journal

#endif  // DAISYWIND_UNIT_TESTS_JOURNAL_FAKE_DISK_H_
