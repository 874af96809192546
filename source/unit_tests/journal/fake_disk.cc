#include "fake_disk.h"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace daisywind::journal {

class fake_disk::handle final : public open_file {
 public:
  handle(fake_disk& disk, std::shared_ptr<content> file)
      : disk_(disk), file_(std::move(file)) {}

  auto Append(std::string_view bytes) -> bool override {
    const auto lock = std::lock_guard(disk_.mutex_);
    if (disk_.IsStopped()) {
      return false;
    }
    file_->written += bytes;
    return true;
  }

  auto ReadAll() -> std::optional<std::string> override {
    const auto lock = std::lock_guard(disk_.mutex_);
    return file_->written;
  }

  auto Truncate(std::uint64_t size) -> bool override {
    const auto lock = std::lock_guard(disk_.mutex_);
    file_->written.resize(size);
    return true;
  }

  auto Sync() -> bool override {
    const auto lock = std::lock_guard(disk_.mutex_);
    if (disk_.IsStopped() || TakeFailure(disk_.failing_syncs_)) {
      return false;
    }
    file_->synced = file_->written;
    return true;
  }

 private:
  fake_disk& disk_;
  std::shared_ptr<content> file_;
};

auto fake_disk::MakeFolder(const std::string& path) -> bool {
  const auto lock = std::lock_guard(mutex_);
  errno = EEXIST;
  return names_.try_emplace(path, nullptr).second;
}

auto fake_disk::List(const std::string& folder)
    -> std::optional<std::vector<std::string>> {
  const auto lock = std::lock_guard(mutex_);
  if (!names_.contains(folder)) {
    errno = ENOENT;
    return std::nullopt;
  }
  auto list = std::vector<std::string>{};
  for (const auto& [path, file] : names_) {
    if (IsIn(path, folder)) {
      list.push_back(path.substr(folder.size() + 1));
    }
  }
  return list;
}

auto fake_disk::Create(const std::string& path) -> std::unique_ptr<open_file> {
  const auto lock = std::lock_guard(mutex_);
  if (IsStopped()) {
    return nullptr;
  }
  const auto [item, is_new] = names_.try_emplace(path, nullptr);
  if (!is_new) {
    errno = EEXIST;
    return nullptr;
  }
  item->second = std::make_shared<content>();
  return std::make_unique<handle>(*this, item->second);
}

auto fake_disk::OpenForReading(const std::string& path)
    -> std::unique_ptr<open_file> {
  const auto lock = std::lock_guard(mutex_);
  const auto found = names_.find(path);
  if (found == names_.end()) {
    errno = ENOENT;
    return nullptr;
  }
  return std::make_unique<handle>(*this, found->second);
}

auto fake_disk::Remove(const std::string& path) -> bool {
  const auto lock = std::lock_guard(mutex_);
  if (IsStopped() || TakeFailure(failing_removals_)) {
    return false;
  }
  errno = ENOENT;
  return names_.erase(path) > 0;
}

auto fake_disk::SyncFolder(const std::string& path) -> bool {
  const auto lock = std::lock_guard(mutex_);
  if (IsStopped() || TakeFailure(failing_folder_syncs_)) {
    return false;
  }
  std::erase_if(durable_names_,
                [&](const auto& item) { return IsIn(item.first, path); });
  for (const auto& item : names_) {
    if (IsIn(item.first, path)) {
      durable_names_.insert(item);
    }
  }
  return true;
}

auto fake_disk::LosePower(const chooser& choose) -> void {
  const auto lock = std::lock_guard(mutex_);
  calls_left_.reset();
  auto all = names_;
  all.insert(durable_names_.begin(), durable_names_.end());
  for (const auto& [path, file] : all) {
    const auto now = names_.find(path);
    const auto durable = durable_names_.find(path);
    const auto is_settled = now != names_.end() &&
                            durable != durable_names_.end() &&
                            now->second == durable->second;
    if (is_settled || choose(2) == 1) {
      continue;
    }
    if (durable == durable_names_.end()) {
      names_.erase(path);
    } else {
      names_[path] = durable->second;
    }
  }
  // What was in a folder that is gone is gone as well.
  std::erase_if(names_, [&](const auto& item) {
    const auto parent = item.first.substr(0, item.first.rfind('/'));
    return item.second != nullptr && !names_.contains(parent);
  });
  for (const auto& [path, file] : names_) {
    if (file == nullptr || file->written == file->synced) {
      continue;
    }
    const auto kind = choose(3);
    if (kind == 0 || !file->written.starts_with(file->synced)) {
      file->written = file->synced;
    } else if (kind == 1) {
      const auto extra = file->written.size() - file->synced.size();
      file->written.resize(file->synced.size() + choose(extra));
    }
    file->synced = file->written;
  }
  durable_names_ = names_;
}

auto fake_disk::LosePower() -> void {
  LosePower([](std::uint64_t) { return std::uint64_t{0}; });
}

auto fake_disk::Drop(const std::string& path) -> void {
  const auto lock = std::lock_guard(mutex_);
  names_.erase(path);
  durable_names_.erase(path);
}

auto fake_disk::Put(const std::string& path, const std::string& bytes) -> void {
  const auto lock = std::lock_guard(mutex_);
  names_[path] = std::make_shared<content>(content{bytes, bytes});
  durable_names_[path] = names_[path];
}

auto fake_disk::PutUnsynced(const std::string& path, const std::string& bytes)
    -> void {
  const auto lock = std::lock_guard(mutex_);
  names_[path] = std::make_shared<content>(content{bytes, ""});
}

auto fake_disk::Image() -> image {
  const auto lock = std::lock_guard(mutex_);
  auto copy = image{};
  for (const auto& [path, file] : names_) {
    copy[path] = file == nullptr ? std::nullopt : std::optional(file->written);
  }
  return copy;
}

auto fake_disk::Restore(const image& from) -> void {
  const auto lock = std::lock_guard(mutex_);
  names_.clear();
  for (const auto& [path, bytes] : from) {
    names_[path] =
        bytes ? std::make_shared<content>(content{*bytes, *bytes}) : nullptr;
  }
  durable_names_ = names_;
}

auto fake_disk::Find(std::string_view path_prefix) -> std::vector<std::string> {
  const auto lock = std::lock_guard(mutex_);
  auto found = std::vector<std::string>{};
  for (const auto& [path, file] : names_) {
    if (path.starts_with(path_prefix)) {
      found.push_back(path);
    }
  }
  return found;
}

auto fake_disk::Read(const std::string& path) -> std::string {
  const auto lock = std::lock_guard(mutex_);
  return names_.at(path)->written;
}

auto fake_disk::StopAfter(int count) -> void {
  const auto lock = std::lock_guard(mutex_);
  calls_left_ = count;
}

auto fake_disk::FailSyncs(int count) -> void {
  const auto lock = std::lock_guard(mutex_);
  failing_syncs_ = count;
}

auto fake_disk::FailFolderSyncs(int count) -> void {
  const auto lock = std::lock_guard(mutex_);
  failing_folder_syncs_ = count;
}

auto fake_disk::FailRemovals(int count) -> void {
  const auto lock = std::lock_guard(mutex_);
  failing_removals_ = count;
}

auto fake_disk::IsIn(const std::string& path, const std::string& folder)
    -> bool {
  return path.size() > folder.size() + 1 && path.starts_with(folder) &&
         path.rfind('/') == folder.size();
}

auto fake_disk::IsStopped() -> bool {
  errno = EIO;
  return calls_left_ && --*calls_left_ < 0;
}

auto fake_disk::TakeFailure(int& count) -> bool {
  if (count == 0) {
    return false;
  }
  --count;
  errno = EIO;
  return true;
}

}  // namespace daisywind::journal
