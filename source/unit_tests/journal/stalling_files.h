// The file system of this machine, whose writes can be made to fail.
#ifndef DAISYWIND_UNIT_TESTS_JOURNAL_STALLING_FILES_H_
#define DAISYWIND_UNIT_TESTS_JOURNAL_STALLING_FILES_H_

#include <atomic>
#include <cerrno>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "journal/file_system.h"

namespace daisywind::journal {

// A log tries a failed write again until it succeeds, so that its disk takes
// nothing while this is stalled.
class stalling_files final : public file_system {
 public:
  auto Stall(bool is_stalled) -> void { is_stalled_ = is_stalled; }

  auto MakeFolder(const std::string& path) -> bool override {
    return SystemFiles().MakeFolder(path);
  }
  auto List(const std::string& folder)
      -> std::optional<std::vector<std::string>> override {
    return SystemFiles().List(folder);
  }
  auto Create(const std::string& path) -> std::unique_ptr<open_file> override {
    if (Fails()) {
      return nullptr;
    }
    auto opened = SystemFiles().Create(path);
    return opened ? std::make_unique<file>(*this, std::move(opened)) : nullptr;
  }
  auto OpenForReading(const std::string& path)
      -> std::unique_ptr<open_file> override {
    return SystemFiles().OpenForReading(path);
  }
  auto Remove(const std::string& path) -> bool override {
    return SystemFiles().Remove(path);
  }
  auto SyncFolder(const std::string& path) -> bool override {
    return SystemFiles().SyncFolder(path);
  }

 private:
  class file final : public open_file {
   public:
    file(stalling_files& files, std::unique_ptr<open_file> opened)
        : files_(files), opened_(std::move(opened)) {}

    auto Append(std::string_view bytes) -> bool override {
      return !files_.Fails() && opened_->Append(bytes);
    }
    auto ReadAll() -> std::optional<std::string> override {
      return opened_->ReadAll();
    }
    auto Truncate(std::uint64_t size) -> bool override {
      return opened_->Truncate(size);
    }
    auto Sync() -> bool override { return !files_.Fails() && opened_->Sync(); }

   private:
    stalling_files& files_;
    std::unique_ptr<open_file> opened_;
  };

  auto Fails() const -> bool {
    errno = EIO;
    return is_stalled_;
  }

  std::atomic<bool> is_stalled_{false};
};

}  // namespace daisywind::journal

#endif  // DAISYWIND_UNIT_TESTS_JOURNAL_STALLING_FILES_H_
