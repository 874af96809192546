// One member of the journal view: its disk log, its server and its membership.
#ifndef DAISYWIND_JOURNAL_JOURNAL_NODE_H_
#define DAISYWIND_JOURNAL_JOURNAL_NODE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/byte_budget.h"
#include "common/process_clock.h"
#include "common/random.h"
#include "common/settings.h"
#include "history/fact_replica.h"
#include "history/messages.h"
#include "history/quota_registry.h"
#include "history/view.h"
#include "journal/disk_log.h"
#include "journal/durable_folder.h"
#include "journal/fact_copier.h"
#include "journal/program_expiry.h"
#include "journal/store_mirror.h"
#include "kv/store.h"
#include "net/frame_channel.h"

namespace daisywind::journal {

class view_manager;
struct view_manager_options;

// Counters of one journal since its start.
struct journal_counters {
  std::uint64_t requests = 0;
  std::uint64_t stale_requests = 0;
  std::uint64_t refused_writes = 0;
  // Reads that were refused because too many waited for the disk.
  std::uint64_t refused_reads = 0;
  // Turns that were not begun because the memory for facts was full.
  std::uint64_t refused_reservations = 0;
  // Requests to store copies that were refused, being short of memory.
  std::uint64_t refused_copies = 0;
  std::uint64_t facts_pulled = 0;
  // Facts that other members copied between them for this one.
  std::uint64_t facts_forwarded = 0;
  std::uint64_t facts_expired = 0;
  // Programs whose facts here are outlived and that others keep, counted once
  // each sweep.
  std::uint64_t programs_kept = 0;
};

// Turns are begun, and copies taken, only while the facts take less memory than
// this, in bytes.
struct facts_limits {
  // Lower, as the copies of a lost disk come all at once.
  std::size_t copies = 0;
  std::size_t first_turns = 0;
  // Higher, so that programs under way can end.
  std::size_t later_turns = 0;
};

// Result of loading the records of a disk.
struct record_load {
  log_load_result log;
  std::int64_t unreadable_records = 0;
  duration took{};
};

// Stores facts on this VM's disk and serves requests for them. Everything but
// the log's writer runs on the context's thread.
class journal_node {
 public:
  journal_node(boost::asio::io_context& context,
               const settings& values,
               kv::store& store,
               const view_manager_options& view_options,
               program_expiry_options expiry_options = {},
               file_system& files = SystemFiles());
  journal_node(const journal_node&) = delete;
  auto operator=(const journal_node&) -> journal_node& = delete;
  ~journal_node();

  // Loads the log and starts serving. Returns false when the disk can't be
  // read, its identity can't be created or an address can't be listened on.
  // Another start then needs a new object.
  auto Start() -> bool;

  // Stops serving requests and managing the view.
  auto Stop() -> void;

  [[nodiscard]] auto replica() -> history::fact_replica& { return replica_; }
  [[nodiscard]] auto self() const -> const history::member& { return self_; }
  [[nodiscard]] auto quotas() -> history::quota_registry& { return quotas_; }
  [[nodiscard]] auto mirror() -> store_mirror& { return mirror_; }

  [[nodiscard]] auto copier() -> fact_copier& { return copier_; }

  // Writes the store mirror to disk if it has changed, at most once a second.
  auto PersistMirror() -> void;

  // Writes facts to disk. The handler is called with whether that succeeded.
  // Facts for which the queue of the log has no room are written later.
  auto Persist(std::vector<history::turn_fact> facts, append_handler done)
      -> void;

  // Likewise. Returns once the facts are on disk, or false at a stop.
  auto PersistAndWait(std::vector<history::turn_fact> facts)
      -> boost::asio::awaitable<bool>;

  // Removes those of the programs that are still outlived, from memory and from
  // what a restart loads. Returns the number of removed facts.
  auto RemoveOutlived(const std::vector<history::program_name>& programs)
      -> std::size_t;

  // Calls the handler once all facts in memory are on disk, from within this
  // call when they already are. Writes only facts that the queue of the log
  // had no room for.
  auto CallWhenDurable(std::function<void()> handler) -> void;

  // Writes to disk since which view this disk holds every fact. Zero means that
  // facts may be missing, and holds for the replica at once. Another view holds
  // for it once the record and all facts in memory are on disk.
  auto PersistComplete(history::view_number since, append_handler done) -> void;

  // Counters and gauges in the Prometheus text format.
  [[nodiscard]] auto RenderMetrics() const -> std::string;

  [[nodiscard]] auto counters() -> journal_counters& { return counters_; }

 private:
  auto LoadRecords() -> record_load;
  // Finds out which disk this is. One that is new or lacks records gets a new
  // identity, so that others treat it as a new disk, to which they copy what it
  // lacks. Returns false when the identity can't be read or created.
  auto SettleIdentity(const log_load_result& load) -> bool;
  auto CreateIdentity(const std::vector<std::string>& previous) -> bool;
  // Adopts the view that was in the copy of the platform's store on disk.
  auto AdoptPersistedView() -> void;
  auto LogLoad(const record_load& load) const -> void;
  auto MakeChannelHandlers(const std::shared_ptr<net::frame_channel>& channel)
      -> net::channel_handlers;
  // Whether there is memory for one more turn. Logs when the memory for first
  // turns is used up and when it is not any more.
  auto HasMemoryFor(const history::begin_request& request) -> bool;
  // Stores the endpoint loads attached to a request, and attaches those that it
  // asks for to the reply.
  auto ExchangeLoads(const history::message_body& request,
                     history::message_body& reply) -> void;
  // Grants parts of this member's shares of request limits, or rejects a
  // request from an older view.
  auto GrantQuota(const history::quota_request& request,
                  history::view_number view) -> history::message_body;
  // Forwards facts to another member and replies when it has stored them.
  auto ServeForward(std::weak_ptr<net::frame_channel> channel,
                    std::uint64_t id,
                    history::view_number view,
                    history::forward_request request)
      -> boost::asio::awaitable<void>;
  auto OnFrame(const std::weak_ptr<net::frame_channel>& channel,
               std::string_view frame) -> void;
  // Sends an encoded reply once all facts in memory are on disk. Returns false
  // when too many replies wait for that.
  auto SendWhenDurable(const std::weak_ptr<net::frame_channel>& channel,
                       std::string frame) -> bool;
  // Writes to disk that the facts of the programs in the records so far have
  // been removed.
  auto RecordRemoval(std::vector<history::program_name> programs) -> void;
  auto ExpireFacts() -> boost::asio::awaitable<void>;
  auto RewriteOldSegments() -> boost::asio::awaitable<void>;
  // Queues facts that found no room in the log before, as far as there is some
  // now. Returns whether none is left.
  auto RetryFacts() -> bool;
  // Whether a request of this size, in bytes, can be written. Refused requests
  // leave no trace in memory, so that memory has no more than the disk for
  // long.
  auto HasRoomOnDisk(std::size_t bytes) -> bool;

  boost::asio::io_context& context_;
  durable_folder folder_;
  std::string listen_address_;
  std::string seed_address_;
  facts_limits max_facts_bytes_;
  bool was_full_ = false;
  history::member self_;
  history::fact_replica replica_;
  // Not kept on disk, because it fills again within a second of a restart.
  history::load_change_feed loads_;
  history::limit_registry limits_{SystemSeed()};
  history::quota_registry quotas_{Now()};
  disk_log log_;
  store_mirror mirror_;
  kv::revision persisted_mirror_revision_ = 0;
  instant mirror_persisted_at_{};
  // For the frames of all channels.
  std::shared_ptr<byte_budget> frame_memory_;
  net::channel_server server_;
  // Serves the same requests at the seed address, which is in the settings of
  // other VMs.
  net::channel_server seed_server_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<view_manager> view_manager_;
  program_expiry expiry_;
  fact_copier copier_;
  journal_counters counters_;
  // Facts in memory that were rejected by the full queue of the log. Nothing
  // else is written before them.
  std::deque<history::turn_fact> facts_to_retry_;
  // Size of the replies that wait for the disk.
  std::size_t waiting_reply_bytes_ = 0;
  // The view since which the replica is complete by the newest record of that,
  // which may not be on disk yet.
  std::optional<history::view_number> recorded_complete_;
  // Number of times that the replica was set to be incomplete.
  std::uint64_t incomplete_count_ = 0;
  // Segments with the wall-clock time at which each was started, in
  // milliseconds since 1970.
  std::vector<std::pair<std::int64_t, segment_number>> segments_;
  // The last segment that the load found each fact in, until old segments are
  // rewritten first.
  std::unordered_map<history::fact_hash, segment_number> loaded_from_;
  bool is_stopped_ = false;
};

}  // namespace daisywind::journal

#endif  // DAISYWIND_JOURNAL_JOURNAL_NODE_H_
