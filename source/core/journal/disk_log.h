// Append-only files of checksummed records. One sync serves all records that
// arrived during the last one.
#ifndef DAISYWIND_JOURNAL_DISK_LOG_H_
#define DAISYWIND_JOURNAL_DISK_LOG_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace daisywind::journal {

// Bounds of a log.
struct disk_log_options {
  // A segment that is longer is followed by a new one, in bytes.
  std::size_t segment_bytes = std::size_t{4} * 1024 * 1024;
  // Records that wait for the disk, in bytes. A longer queue refuses more.
  std::size_t max_queued_bytes = std::size_t{24} * 1024 * 1024;
};

// What the last load found.
struct disk_load {
  std::uint64_t records = 0;
  std::uint64_t bytes = 0;
  // Segments whose end was damaged, as an interrupted write leaves it.
  std::uint64_t damaged_segments = 0;
  bool is_readable = false;
};

using record_visitor = std::function<void(std::string_view record)>;
using segment_number = std::uint64_t;

// Called on the log's context: whether the record is on disk. A record that was
// not queued is answered from within Append.
using append_handler = std::function<void(bool is_durable)>;

// A log in one folder. Its thread alone writes; everything else is called on
// the context's thread.
class disk_log {
 public:
  struct state;

  disk_log(boost::asio::io_context& context,
           std::string folder,
           disk_log_options options);
  disk_log(const disk_log&) = delete;
  auto operator=(const disk_log&) -> disk_log& = delete;
  ~disk_log();

  // Reads all segments, the oldest first, and starts the writer with a new
  // segment. Call once, before the first append.
  auto Load(const record_visitor& visit) -> disk_load;

  // Queues a record. The handler hears false when the queue is full. A write
  // that the disk refuses is repeated until it succeeds.
  auto Append(std::string_view record, append_handler handler) -> void;

  // The segment that the next record goes to, or a later one.
  [[nodiscard]] auto CurrentSegment() const -> segment_number;

  // Removes all segments before the given one.
  auto RemoveBefore(segment_number first_kept) -> void;

  // Bytes of records that wait for the disk.
  [[nodiscard]] auto QueuedBytes() const -> std::size_t;

  // Longest time that one write and sync has taken, in milliseconds.
  [[nodiscard]] auto LongestSyncMs() const -> std::uint64_t;

 private:
  std::shared_ptr<state> state_;
};

}  // namespace daisywind::journal

#endif  // DAISYWIND_JOURNAL_DISK_LOG_H_
