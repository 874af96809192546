#include "journal/disk_log.h"

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>
#include <tuple>
#include <utility>

#include "common/digest.h"
#include "common/logging.h"
#include "journal/durable_folder.h"

namespace daisywind::journal {
namespace {

namespace asio = boost::asio;

constexpr auto kSegmentPrefix = std::string_view("segment-");
constexpr auto kBoundsPrefix = std::string_view("bounds-");
// Digits of a segment's number in the name of a file.
constexpr auto kNumberDigits = std::size_t{20};
// Header before each record: length in 4 bytes and checksum in 8 bytes.
constexpr auto kHeaderBytes = std::size_t{12};
constexpr auto kChecksumSeed = std::uint64_t{0x6a6f75726e616c};
// Size from which joined records are written, in bytes.
constexpr auto kWriteBytes = std::size_t{256} * 1024;
// Pause before a failed write is retried.
constexpr auto kRetryPause = std::chrono::milliseconds(100);

// The part of a log that must be on disk.
struct log_bounds {
  // The segments before this one were removed.
  segment_number first_kept = 1;
  // From this segment on, no number is left out.
  segment_number contiguous_from = 1;

  auto operator<=>(const log_bounds&) const = default;
};

// Files of a log, in ascending order.
struct log_files {
  std::vector<segment_number> segments;
  std::vector<log_bounds> bounds;
};

auto ToDigits(segment_number number) -> std::string {
  auto digits = std::to_string(number);
  digits.insert(0, kNumberDigits - digits.size(), '0');
  return digits;
}

auto SegmentName(segment_number number) -> std::string {
  return std::string(kSegmentPrefix) + ToDigits(number);
}

auto BoundsName(const log_bounds& bounds) -> std::string {
  return std::string(kBoundsPrefix) + ToDigits(bounds.first_kept) + "-" +
         ToDigits(bounds.contiguous_from);
}

// Returns 0 when the text is not the number of a segment.
auto ParseDigits(std::string_view digits) -> segment_number {
  if (digits.size() != kNumberDigits) {
    return 0;
  }
  auto number = segment_number{0};
  for (const auto digit : digits) {
    if (digit < '0' || digit > '9') {
      return 0;
    }
    number = number * 10 + static_cast<segment_number>(digit - '0');
  }
  return number;
}

// Returns 0 when the name is not that of a segment.
auto ParseSegmentName(std::string_view name) -> segment_number {
  return name.starts_with(kSegmentPrefix)
             ? ParseDigits(name.substr(kSegmentPrefix.size()))
             : 0;
}

auto ParseBoundsName(std::string_view name) -> std::optional<log_bounds> {
  if (!name.starts_with(kBoundsPrefix)) {
    return std::nullopt;
  }
  const auto numbers = name.substr(kBoundsPrefix.size());
  const auto bounds = log_bounds{
      ParseDigits(numbers.substr(0, kNumberDigits)),
      ParseDigits(numbers.substr(std::min(numbers.size(), kNumberDigits + 1)))};
  const auto is_valid = bounds.first_kept != 0 && bounds.contiguous_from != 0;
  return is_valid ? std::optional(bounds) : std::nullopt;
}

// Nothing when the folder can't be read.
auto ListLog(const durable_folder& folder) -> std::optional<log_files> {
  const auto names = folder.List();
  if (!names) {
    return std::nullopt;
  }
  auto files = log_files{};
  for (const auto& name : *names) {
    if (const auto number = ParseSegmentName(name)) {
      files.segments.push_back(number);
    } else if (const auto bounds = ParseBoundsName(name)) {
      files.bounds.push_back(*bounds);
    }
  }
  std::sort(files.segments.begin(), files.segments.end());
  std::sort(files.bounds.begin(), files.bounds.end());
  return files;
}

// Number of segments that are left out between where the numbers become
// contiguous and the last one.
auto CountMissing(const std::vector<segment_number>& segments,
                  segment_number contiguous_from) -> std::uint64_t {
  const auto first =
      std::lower_bound(segments.begin(), segments.end(), contiguous_from);
  if (first == segments.end()) {
    return 0;
  }
  const auto found = static_cast<std::uint64_t>(segments.end() - first);
  return segments.back() - contiguous_from + 1 - found;
}

auto AppendNumber(std::string& to, std::uint64_t value, std::size_t bytes)
    -> void {
  for (auto i = std::size_t{0}; i < bytes; ++i) {
    to.push_back(static_cast<char>(value >> (8 * i)));
  }
}

auto ReadNumber(std::string_view from, std::size_t bytes) -> std::uint64_t {
  auto value = std::uint64_t{0};
  for (auto i = std::size_t{0}; i < bytes; ++i) {
    value |= std::uint64_t{static_cast<std::uint8_t>(from[i])} << (8 * i);
  }
  return value;
}

auto FrameRecord(std::string_view record) -> std::string {
  auto framed = std::string{};
  framed.reserve(kHeaderBytes + record.size());
  AppendNumber(framed, record.size(), 4);
  AppendNumber(framed, PlacementHash(record, kChecksumSeed), 8);
  framed.append(record);
  return framed;
}

// Passes the records of a segment to the visitor. Stops at the first damaged
// record and returns false.
auto VisitRecords(segment_number segment,
                  std::string_view bytes,
                  const record_visitor& visit,
                  log_load_result& load) -> bool {
  while (!bytes.empty()) {
    if (bytes.size() < kHeaderBytes) {
      return false;
    }
    const auto length = ReadNumber(bytes, 4);
    const auto checksum = ReadNumber(bytes.substr(4), 8);
    bytes.remove_prefix(kHeaderBytes);
    if (length == 0 || length > bytes.size()) {
      return false;
    }
    const auto record = bytes.substr(0, length);
    if (PlacementHash(record, kChecksumSeed) != checksum) {
      return false;
    }
    visit(segment, record);
    ++load.records;
    load.bytes += length;
    bytes.remove_prefix(length);
  }
  return true;
}

struct queued_record {
  std::string bytes;
  append_handler handler;
};

// Which records are on disk, as far as their handlers have been called. Used on
// the context's thread.
struct sync_progress {
  // Calls the handlers that have waited for these records.
  auto AddSynced(std::uint64_t records) -> void {
    synced += records;
    while (!waiting.empty() && waiting.front().first <= synced) {
      const auto handler = std::move(waiting.front().second);
      waiting.pop_front();
      handler();
    }
  }

  // Numbers of records since the start.
  std::uint64_t queued = 0;
  std::uint64_t synced = 0;
  // With the number of records that each waits for, in ascending order.
  std::deque<std::pair<std::uint64_t, std::function<void()>>> waiting;
  // Set by the log's destructor. Handlers may refer to what is destroyed then.
  bool is_closed = false;
};

struct queued_removal {
  segment_number first_kept = 0;
  append_handler handler;
};

using removal_list = std::vector<queued_removal>;

}  // namespace

struct disk_log::state {
  state(asio::io_context& io,
        std::string path,
        disk_log_options limits,
        file_system& files)
      : context(io), folder(files, std::move(path)), options(limits) {}

  auto Run() -> void {
    auto lock = std::unique_lock(mutex);
    while (!is_stopping) {
      const auto removes =
          !removals.empty() && std::chrono::steady_clock::now() >= remove_at;
      if (queue.empty() && !removes) {
        WaitForWork(lock);
        continue;
      }
      auto batch = std::exchange(queue, {});
      auto removal = removes ? std::exchange(removals, {}) : removal_list{};
      lock.unlock();
      // Later records may depend on these, so a failed write is retried before
      // anything else is written.
      const auto is_durable =
          batch.empty() || Retry([&] { return WriteBatch(batch); });
      if (is_durable) {
        NotifyHandlers(std::move(batch));
        RemoveSegments(removal);
      }
      lock.lock();
      removals.insert(removals.begin(), removal.begin(), removal.end());
    }
  }

  auto WaitForWork(std::unique_lock<std::mutex>& lock) -> void {
    if (removals.empty()) {
      wake.wait(lock);
    } else {
      wake.wait_until(lock, remove_at);
    }
  }

  // Returns false when the log stops before the action succeeds.
  template <class Action>
  auto Retry(Action action) -> bool {
    while (!action()) {
      if (is_stopping) {
        return false;
      }
      std::this_thread::sleep_for(kRetryPause);
    }
    return true;
  }

  auto LogFailure() const -> void {
    const auto reason = std::string(std::strerror(errno));
    Log(log_events::kDiskWriteFailed, {{"reason", std::string_view(reason)}});
  }

  auto WriteBatch(const std::vector<queued_record>& batch) -> bool {
    const auto began = std::chrono::steady_clock::now();
    const auto is_written =
        OpenSegment() && WriteRecords(batch) && file->Sync();
    if (!is_written) {
      LogFailure();
      // Loading a segment stops at the first torn record, so the retry must go
      // to a new segment.
      RemoveTornWrite();
      return false;
    }
    for (const auto& item : batch) {
      segment_size += item.bytes.size();
    }
    if (segment_size >= options.segment_bytes) {
      CloseSegment();
    }
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - began);
    longest_write_ms = std::max<std::uint64_t>(
        longest_write_ms, static_cast<std::uint64_t>(took.count()));
    return true;
  }

  // Joins small records, so that a batch takes few calls and little memory.
  auto WriteRecords(const std::vector<queued_record>& batch) const -> bool {
    auto bytes = std::string{};
    for (const auto& item : batch) {
      bytes += item.bytes;
      if (bytes.size() >= kWriteBytes) {
        if (!file->Append(bytes)) {
          return false;
        }
        bytes.clear();
      }
    }
    return file->Append(bytes);
  }

  // Once for each segment, this also waits for a sync of the folder.
  auto OpenSegment() -> bool {
    if (file != nullptr) {
      return true;
    }
    segment_size = 0;
    file = folder.Create(SegmentName(current_segment));
    while (file == nullptr && errno == EEXIST) {
      ++current_segment;
      file = folder.Create(SegmentName(current_segment));
    }
    return file != nullptr;
  }

  // On a full disk, what failed writes leave would take the room of the next.
  auto RemoveTornWrite() -> void {
    if (file == nullptr) {
      return;
    }
    if (segment_size == 0) {
      // The number is used again, because a gap means a lost segment.
      file.reset();
      folder.Remove(SegmentName(current_segment));
      return;
    }
    // Without success the torn record is skipped by its checksum.
    std::ignore = file->Truncate(segment_size);
    CloseSegment();
  }

  auto CloseSegment() -> void {
    if (file != nullptr) {
      file.reset();
      ++current_segment;
    }
  }

  // Empties the list unless this fails, and so has to be tried again. Records
  // don't wait for that.
  auto RemoveSegments(removal_list& removal) -> void {
    if (removal.empty()) {
      return;
    }
    auto next = bounds.value_or(log_bounds{1, current_segment});
    for (const auto& item : removal) {
      next.first_kept = std::max(next.first_kept, item.first_kept);
    }
    next.contiguous_from = std::max(next.contiguous_from, next.first_kept);
    if (!WriteBounds(next) || !RemoveOutside(next)) {
      LogFailure();
      remove_at = std::chrono::steady_clock::now() + kRetryPause;
      return;
    }
    asio::post(context,
               [done = std::exchange(removal, {}), progress = progress] {
                 if (progress->is_closed) {
                   return;
                 }
                 for (const auto& item : done) {
                   item.handler(true);
                 }
               });
  }

  // Before segments are removed, the new bounds must be durable: a power loss
  // may bring any of them back.
  auto WriteBounds(const log_bounds& next) -> bool {
    if (bounds == next) {
      return true;
    }
    const auto name = BoundsName(next);
    // A failed attempt may have left the file.
    if (!folder.CreateEmpty(name) &&
        (errno != EEXIST || !folder.ReadAndSync(name) || !folder.Sync())) {
      return false;
    }
    bounds = next;
    return true;
  }

  // Removes the segments and bounds from before these, oldest first.
  auto RemoveOutside(const log_bounds& kept) -> bool {
    const auto files = ListLog(folder);
    if (!files) {
      return false;
    }
    auto is_removed = true;
    for (const auto number : files->segments) {
      if (number < kept.first_kept) {
        is_removed = folder.Remove(SegmentName(number)) && is_removed;
      }
    }
    for (const auto& item : files->bounds) {
      if (item != kept) {
        is_removed = folder.Remove(BoundsName(item)) && is_removed;
      }
    }
    return folder.Sync() && is_removed;
  }

  auto NotifyHandlers(std::vector<queued_record> batch) -> void {
    if (batch.empty()) {
      return;
    }
    for (const auto& item : batch) {
      queued_bytes -= item.bytes.size();
    }
    asio::post(context, [batch = std::move(batch), progress = progress] {
      if (progress->is_closed) {
        return;
      }
      for (const auto& item : batch) {
        item.handler(true);
      }
      progress->AddSynced(batch.size());
    });
  }

  asio::io_context& context;
  durable_folder folder;
  disk_log_options options;
  std::mutex mutex;
  std::condition_variable wake;
  std::vector<queued_record> queue;
  removal_list removals;
  std::atomic<std::size_t> queued_bytes{0};
  std::atomic<std::uint64_t> longest_write_ms{0};
  std::atomic<segment_number> current_segment{1};
  std::atomic<bool> is_stopping{false};
  std::shared_ptr<sync_progress> progress = std::make_shared<sync_progress>();
  // Accessed only by the writer thread while it runs.
  std::unique_ptr<open_file> file;
  std::size_t segment_size = 0;
  // Those on disk; nothing for a log of an earlier version.
  std::optional<log_bounds> bounds;
  // Whether segments were missing at the load.
  bool has_missing = false;
  // When removals that failed are tried again.
  std::chrono::steady_clock::time_point remove_at;
  std::thread writer;
};

disk_log::disk_log(asio::io_context& context,
                   std::string folder,
                   disk_log_options options,
                   file_system& files)
    : state_(
          std::make_shared<state>(context, std::move(folder), options, files)) {
}

disk_log::~disk_log() {
  {
    const auto lock = std::lock_guard(state_->mutex);
    state_->is_stopping = true;
  }
  state_->wake.notify_all();
  if (state_->writer.joinable()) {
    state_->writer.join();
  }
  state_->CloseSegment();
  state_->progress->waiting.clear();
  state_->progress->is_closed = true;
}

auto disk_log::Load(const record_visitor& visit) -> log_load_result {
  auto load = log_load_result{};
  auto& folder = state_->folder;
  const auto files = ListLog(folder);
  if (!files) {
    return load;
  }
  if (!files->bounds.empty()) {
    state_->bounds = files->bounds.back();
  }
  const auto bounds = state_->bounds.value_or(log_bounds{});
  for (const auto number : files->segments) {
    if (number < bounds.first_kept) {
      ++load.returned_segments;
      folder.Remove(SegmentName(number));
      continue;
    }
    const auto bytes = folder.ReadAndSync(SegmentName(number));
    if (!bytes) {
      return load;
    }
    if (!VisitRecords(number, *bytes, visit, load)) {
      ++load.damaged_segments;
    }
  }
  if (!folder.Sync()) {
    return load;
  }
  load.is_readable = true;
  if (state_->bounds) {
    load.missing_segments =
        CountMissing(files->segments, bounds.contiguous_from);
  }
  state_->has_missing = load.missing_segments > 0;
  const auto next = files->segments.empty() ? 1 : files->segments.back() + 1;
  state_->current_segment = std::max(next, bounds.contiguous_from);
  state_->writer = std::thread([self = state_.get()] { self->Run(); });
  return load;
}

// The writer thread waits, because nothing is queued.
auto disk_log::WriteFirst(std::string_view record) -> bool {
  auto batch = std::vector<queued_record>{};
  batch.push_back({FrameRecord(record), {}});
  return state_->WriteBatch(batch);
}

auto disk_log::AcceptMissing() -> bool {
  if (state_->bounds && !state_->has_missing) {
    return true;
  }
  auto next = state_->bounds.value_or(log_bounds{});
  next.contiguous_from = state_->current_segment;
  return state_->WriteBounds(next) && state_->RemoveOutside(next);
}

auto disk_log::Append(std::string_view record, append_handler handler) -> void {
  auto framed = FrameRecord(record);
  const auto size = framed.size();
  if (!HasRoom(record.size())) {
    handler(false);
    return;
  }
  state_->queued_bytes += size;
  ++state_->progress->queued;
  {
    const auto lock = std::lock_guard(state_->mutex);
    state_->queue.push_back({std::move(framed), std::move(handler)});
  }
  state_->wake.notify_one();
}

auto disk_log::CallWhenSynced(std::function<void()> handler) -> void {
  auto& progress = *state_->progress;
  if (progress.synced == progress.queued) {
    handler();
    return;
  }
  progress.waiting.emplace_back(progress.queued, std::move(handler));
}

auto disk_log::HasRoom(std::size_t bytes) const -> bool {
  return state_->queued_bytes + kHeaderBytes + bytes <=
         state_->options.max_queued_bytes;
}

auto disk_log::CurrentSegment() const -> segment_number {
  return state_->current_segment;
}

auto disk_log::RemoveBefore(segment_number first_kept, append_handler handler)
    -> void {
  {
    const auto lock = std::lock_guard(state_->mutex);
    state_->removals.push_back({first_kept, std::move(handler)});
  }
  state_->wake.notify_one();
}

auto disk_log::QueuedBytes() const -> std::size_t {
  return state_->queued_bytes;
}

auto disk_log::LongestSyncMs() const -> std::uint64_t {
  return state_->longest_write_ms;
}

}  // namespace daisywind::journal
