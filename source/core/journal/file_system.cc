#include "journal/file_system.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>

namespace daisywind::journal {
namespace {

constexpr auto kReadBytes = std::size_t{256} * 1024;

class system_file final : public open_file {
 public:
  explicit system_file(int descriptor) : descriptor_(descriptor) {}
  system_file(const system_file&) = delete;
  auto operator=(const system_file&) -> system_file& = delete;
  ~system_file() override { ::close(descriptor_); }

  auto Append(std::string_view bytes) -> bool override {
    while (!bytes.empty()) {
      const auto written = ::write(descriptor_, bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR) {
        continue;
      }
      if (written <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
  }

  auto ReadAll() -> std::optional<std::string> override {
    auto bytes = std::string{};
    while (true) {
      const auto size = bytes.size();
      bytes.resize(size + kReadBytes);
      const auto read = ::read(descriptor_, bytes.data() + size, kReadBytes);
      bytes.resize(size + static_cast<std::size_t>(read > 0 ? read : 0));
      if (read < 0 && errno == EINTR) {
        continue;
      }
      if (read < 0) {
        return std::nullopt;
      }
      if (read == 0) {
        return bytes;
      }
    }
  }

  auto Truncate(std::uint64_t size) -> bool override {
    return ::ftruncate(descriptor_, static_cast<off_t>(size)) == 0;
  }

  auto Sync() -> bool override { return ::fdatasync(descriptor_) == 0; }

 private:
  int descriptor_;
};

auto Open(const std::string& path, int flags) -> std::unique_ptr<open_file> {
  constexpr auto kMode = 0644;
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
  const auto descriptor = ::open(path.c_str(), flags | O_CLOEXEC, kMode);
  return descriptor < 0 ? nullptr : std::make_unique<system_file>(descriptor);
}

class system_files final : public file_system {
 public:
  auto MakeFolder(const std::string& path) -> bool override {
    constexpr auto kMode = 0755;
    return ::mkdir(path.c_str(), kMode) == 0;
  }

  auto List(const std::string& folder)
      -> std::optional<std::vector<std::string>> override {
    auto* directory = ::opendir(folder.c_str());
    if (directory == nullptr) {
      return std::nullopt;
    }
    auto names = std::vector<std::string>{};
    errno = 0;
    while (const auto* item = ::readdir(directory)) {
      names.emplace_back(static_cast<const char*>(item->d_name));
    }
    const auto error = errno;
    ::closedir(directory);
    errno = error;
    return error == 0 ? std::optional(std::move(names)) : std::nullopt;
  }

  auto Create(const std::string& path) -> std::unique_ptr<open_file> override {
    return Open(path, O_WRONLY | O_CREAT | O_EXCL);
  }

  auto OpenForReading(const std::string& path)
      -> std::unique_ptr<open_file> override {
    return Open(path, O_RDONLY);
  }

  auto Remove(const std::string& path) -> bool override {
    return ::unlink(path.c_str()) == 0;
  }

  auto SyncFolder(const std::string& path) -> bool override {
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
    const auto folder =
        ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0) {
      return false;
    }
    const auto is_synced = ::fsync(folder) == 0;
    const auto error = errno;
    ::close(folder);
    errno = error;
    return is_synced;
  }
};

}  // namespace

auto SystemFiles() -> file_system& {
  static auto files = system_files();
  return files;
}

}  // namespace daisywind::journal
