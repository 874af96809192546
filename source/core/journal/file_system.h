// Calls to the file system, replaceable so that tests can simulate power losses
// and faulty disks.
#ifndef DAISYWIND_JOURNAL_FILE_SYSTEM_H_
#define DAISYWIND_JOURNAL_FILE_SYSTEM_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisywind::journal {

// An open file, which is closed at destruction. All calls return false or
// nothing on an error, and set errno.
class open_file {
 public:
  open_file() = default;
  open_file(const open_file&) = delete;
  auto operator=(const open_file&) -> open_file& = delete;
  virtual ~open_file() = default;

  // Appends all the bytes. After an error, some of them may be in the file.
  virtual auto Append(std::string_view bytes) -> bool = 0;
  virtual auto ReadAll() -> std::optional<std::string> = 0;
  virtual auto Truncate(std::uint64_t size) -> bool = 0;
  // Makes the content durable. The name in the folder may still be lost.
  virtual auto Sync() -> bool = 0;
};

// All calls return false or nothing on an error, and set errno.
class file_system {
 public:
  file_system() = default;
  file_system(const file_system&) = delete;
  auto operator=(const file_system&) -> file_system& = delete;
  virtual ~file_system() = default;

  virtual auto MakeFolder(const std::string& path) -> bool = 0;
  // Names of the files in a folder, in no order.
  virtual auto List(const std::string& folder)
      -> std::optional<std::vector<std::string>> = 0;
  // Creates a file to append to. Fails with EEXIST if there is one.
  virtual auto Create(const std::string& path)
      -> std::unique_ptr<open_file> = 0;
  virtual auto OpenForReading(const std::string& path)
      -> std::unique_ptr<open_file> = 0;
  virtual auto Remove(const std::string& path) -> bool = 0;
  // Makes the names in a folder durable, and that names were removed from it.
  virtual auto SyncFolder(const std::string& path) -> bool = 0;
};

// The file system of this machine.
auto SystemFiles() -> file_system&;

}  // namespace daisywind::journal

#endif  // DAISYWIND_JOURNAL_FILE_SYSTEM_H_
