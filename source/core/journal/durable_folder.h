// A folder whose file names survive a power loss.
#ifndef DAISYWIND_JOURNAL_DURABLE_FOLDER_H_
#define DAISYWIND_JOURNAL_DURABLE_FOLDER_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "journal/file_system.h"

namespace daisywind::journal {

// Without a sync of the folder, each name that was created or removed may be
// kept or lost independently at a power loss. All calls return false or nothing
// on an error, and set errno.
class durable_folder {
 public:
  durable_folder(file_system& files, std::string path);

  // Creates the folder if there is none. Its own name is then durable.
  auto Make() -> bool;

  [[nodiscard]] auto List() const -> std::optional<std::vector<std::string>>;

  // Creates a file to append to, with a durable name. Fails with EEXIST if
  // there is one.
  auto Create(std::string_view name) -> std::unique_ptr<open_file>;

  // Creates an empty file that is durable.
  auto CreateEmpty(std::string_view name) -> bool;

  // Reads a file. What was read is durable then, while its name is only after
  // Sync: a killed process may have left either unsynced.
  auto ReadAndSync(std::string_view name) -> std::optional<std::string>;

  // Durable only after Sync.
  auto Remove(std::string_view name) -> bool;

  // Makes the names and removals so far durable.
  auto Sync() -> bool;

 private:
  [[nodiscard]] auto PathOf(std::string_view name) const -> std::string;

  file_system* files_;
  std::string path_;
};

}  // namespace daisywind::journal

#endif  // DAISYWIND_JOURNAL_DURABLE_FOLDER_H_
