#include "journal/durable_folder.h"

#include <cerrno>
#include <filesystem>
#include <utility>

namespace daisywind::journal {
namespace {

auto ParentOf(const std::string& path) -> std::string {
  const auto trimmed = path.substr(0, path.find_last_not_of('/') + 1);
  const auto parent = std::filesystem::path(trimmed).parent_path().string();
  return parent.empty() ? "." : parent;
}

}  // namespace

durable_folder::durable_folder(file_system& files, std::string path)
    : files_(&files), path_(std::move(path)) {}

auto durable_folder::Make() -> bool {
  const auto is_new = files_->MakeFolder(path_);
  if (!is_new && errno != EEXIST) {
    return false;
  }
  // A process that was killed may have made the folder without this sync. The
  // parent of a folder that was given may not be accessible.
  return files_->SyncFolder(ParentOf(path_)) || (!is_new && errno != EIO);
}

auto durable_folder::List() const -> std::optional<std::vector<std::string>> {
  return files_->List(path_);
}

auto durable_folder::Create(std::string_view name)
    -> std::unique_ptr<open_file> {
  auto file = files_->Create(PathOf(name));
  if (file != nullptr && !Sync()) {
    const auto error = errno;
    file.reset();
    Remove(name);
    errno = error;
  }
  return file;
}

auto durable_folder::CreateEmpty(std::string_view name) -> bool {
  auto file = files_->Create(PathOf(name));
  return file != nullptr && file->Sync() && Sync();
}

auto durable_folder::ReadAndSync(std::string_view name)
    -> std::optional<std::string> {
  auto file = files_->OpenForReading(PathOf(name));
  if (file == nullptr) {
    return std::nullopt;
  }
  auto bytes = file->ReadAll();
  return bytes && file->Sync() ? std::move(bytes) : std::nullopt;
}

auto durable_folder::Remove(std::string_view name) -> bool {
  return files_->Remove(PathOf(name));
}

auto durable_folder::Sync() -> bool {
  return files_->SyncFolder(path_);
}

auto durable_folder::PathOf(std::string_view name) const -> std::string {
  return path_ + "/" + std::string(name);
}

}  // namespace daisywind::journal
