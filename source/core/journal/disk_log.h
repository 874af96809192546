// Append-only log of checksummed records in segment files, with group commit:
// one sync covers all records that were queued during the previous one.
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

#include "journal/file_system.h"

namespace daisywind::journal {

// Size limits of a log.
struct disk_log_options {
  // A new segment is started when the current one reaches this size, in bytes.
  std::size_t segment_bytes = std::size_t{4} * 1024 * 1024;
  // Maximum size of the records that wait for the disk, in bytes. Appends
  // beyond it are rejected.
  std::size_t max_queued_bytes = std::size_t{24} * 1024 * 1024;
};

// Result of reading a log.
struct log_load_result {
  std::uint64_t records = 0;
  std::uint64_t bytes = 0;
  // Segments with a damaged record, as an interrupted write leaves at the end.
  std::uint64_t damaged_segments = 0;
  // Segments that the log had, or must have had, and that are gone.
  std::uint64_t missing_segments = 0;
  // Segments that had been removed, but were still there or came back at a
  // power loss. Their records are not read.
  std::uint64_t returned_segments = 0;
  // False when the folder or a segment file could not be read or synced. The
  // log is then not started.
  bool is_readable = false;
};

using segment_number = std::uint64_t;
using record_visitor =
    std::function<void(segment_number segment, std::string_view record)>;

// Called on the log's context with whether the record is on disk. For a record
// that was not queued, it is called from within Append. The log's destructor
// drops the handlers that have not been called.
using append_handler = std::function<void(bool is_durable)>;

// A log in one folder, in files "segment-N" with ascending numbers. An empty
// file "bounds-F-C" says that the segments before F were removed, and that from
// C on no number is left out, so that a lost segment is noticed. Logs of
// earlier versions have none, and leave out numbers. Records are written by a
// thread of the log; all methods must be called on the context's thread.
class disk_log {
 public:
  struct state;

  disk_log(boost::asio::io_context& context,
           std::string folder,
           disk_log_options options,
           file_system& files = SystemFiles());
  disk_log(const disk_log&) = delete;
  auto operator=(const disk_log&) -> disk_log& = delete;
  ~disk_log();

  // Reads all segments, oldest first, makes what it read durable, and starts
  // the writer thread, which begins a new segment. Must be called once, before
  // the first append. The thread may fail to start, with std::system_error.
  auto Load(const record_visitor& visit) -> log_load_result;

  // Writes a record on the calling thread. Returns whether it is durable. Must
  // be called before the first append.
  auto WriteFirst(std::string_view record) -> bool;

  // Accepts that segments are missing: only those that are lost from now on are
  // reported by later loads. Returns whether that is durable. Must be called
  // before the first append.
  auto AcceptMissing() -> bool;

  // Queues a record. The handler is called with false when the queue is full.
  // A failed write is retried until it succeeds.
  auto Append(std::string_view record, append_handler handler) -> void;

  // Calls the handler once all records that are queued so far are on disk, from
  // within this call when they already are. Writes nothing. The log's
  // destructor drops the handlers that wait.
  auto CallWhenSynced(std::function<void()> handler) -> void;

  // Whether a record of this size, in bytes, can be queued.
  [[nodiscard]] auto HasRoom(std::size_t bytes) const -> bool;

  // The segment that the next record will be written to, or a later one.
  [[nodiscard]] auto CurrentSegment() const -> segment_number;

  // Removes all segments before the given one, after the records that were
  // queued so far are written. The handler is called when that is durable.
  auto RemoveBefore(segment_number first_kept, append_handler handler) -> void;

  // Size of the records that wait for the disk, in bytes.
  [[nodiscard]] auto QueuedBytes() const -> std::size_t;

  // Maximum duration of one write and sync so far, in milliseconds.
  [[nodiscard]] auto LongestSyncMs() const -> std::uint64_t;

 private:
  std::shared_ptr<state> state_;
};

}  // namespace daisywind::journal

#endif  // DAISYWIND_JOURNAL_DISK_LOG_H_
