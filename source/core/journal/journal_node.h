// One VM that holds facts: its disk, its server and its seat in the view.
#ifndef DAISYWIND_JOURNAL_JOURNAL_NODE_H_
#define DAISYWIND_JOURNAL_JOURNAL_NODE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/settings.h"
#include "history/fact_replica.h"
#include "history/messages.h"
#include "history/view.h"
#include "journal/disk_log.h"
#include "journal/store_mirror.h"
#include "kv/store.h"
#include "net/frame_channel.h"

namespace daisywind::journal {

class view_manager;
struct view_manager_options;

// Counters of one journal.
struct journal_counters {
  std::uint64_t requests = 0;
  std::uint64_t stale_requests = 0;
  std::uint64_t refused_writes = 0;
  std::uint64_t facts_pulled = 0;
  std::uint64_t facts_forgotten = 0;
};

// Holds facts on this VM's disk and answers requests about them. Everything but
// the disk's writer runs on the context's thread.
class journal_node {
 public:
  journal_node(boost::asio::io_context& context,
               const settings& values,
               kv::store& store,
               view_manager_options seat);
  journal_node(const journal_node&) = delete;
  auto operator=(const journal_node&) -> journal_node& = delete;
  ~journal_node();

  // Reads the disk and starts serving. Returns false when the disk can't be
  // used or the address can't be had.
  auto Start() -> bool;

  // Stops accepting requests.
  auto Stop() -> void;

  [[nodiscard]] auto state() -> history::fact_replica& { return replica_; }
  [[nodiscard]] auto self() const -> const history::member& { return self_; }
  [[nodiscard]] auto mirror() -> store_mirror& { return mirror_; }

  // Puts the copy of the store on the disk if it has changed for a while.
  auto PersistMirror() -> void;

  // Puts facts on the disk; the handler hears whether that succeeded.
  auto Persist(std::vector<history::turn_fact> facts, append_handler done)
      -> void;

  // Records since which view this disk holds everything; zero that it may not.
  auto PersistComplete(history::view_number since, append_handler done) -> void;

  // Counters and gauges as text.
  [[nodiscard]] auto RenderMetrics() const -> std::string;

  [[nodiscard]] auto counters() -> journal_counters& { return counters_; }

 private:
  auto LoadIdentity() -> bool;
  auto LoadRecords() -> void;
  auto Serve(const std::shared_ptr<net::frame_channel>& channel)
      -> net::channel_handlers;
  // Takes in the loads of endpoints that come with a request, and adds those
  // that it asks for to the reply.
  auto ExchangeLoads(const history::message_body& request,
                     history::message_body& reply) -> void;
  auto OnFrame(const std::weak_ptr<net::frame_channel>& channel,
               std::string_view frame) -> void;
  auto ForgetOldFacts() -> boost::asio::awaitable<void>;
  auto RewriteOldSegments() -> void;

  boost::asio::io_context& context_;
  std::string folder_;
  std::string listen_address_;
  std::string seed_address_;
  std::int64_t retention_ms_;
  history::member self_;
  history::fact_replica replica_;
  // Not on the disk: after a restart it fills again within a second.
  history::load_change_feed loads_;
  disk_log log_;
  store_mirror mirror_;
  kv::revision persisted_mirror_ = 0;
  instant mirror_persisted_at_{};
  net::channel_server server_;
  // The same, at the address that other VMs know from their settings.
  net::channel_server seed_server_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<view_manager> view_manager_;
  journal_counters counters_;
  // Facts in memory that the disk's queue had no room for.
  std::vector<history::turn_fact> owed_;
  // Segments by the wall-clock time at which they were begun.
  std::vector<std::pair<std::int64_t, segment_number>> segments_;
  bool is_stopped_ = false;
};

}  // namespace daisywind::journal

#endif  // DAISYWIND_JOURNAL_JOURNAL_NODE_H_
