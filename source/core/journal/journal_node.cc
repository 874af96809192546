#include "journal/journal_node.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <limits>
#include <unordered_set>
#include <utility>

#include "common/logging.h"
#include "common/process_clock.h"
#include "common/random.h"
#include "history_wire/codec.h"
#include "history_wire/view_json.h"
#include "journal/journal_settings.h"
#include "journal/view_manager.h"
#include "net/acceptor.h"
#include "net/message_limits.h"

namespace daisywind::journal {
namespace {

namespace asio = boost::asio;

// An empty file stores the identity of the disk in its name, after this prefix.
constexpr auto kIdentityPrefix = std::string_view("disk-");
constexpr auto kMaxChannels = std::size_t{4096};
// Minimum time between two writes of the store mirror to disk, so that changes
// of the platform's store are written in batches.
constexpr auto kMirrorWriteInterval = duration(1s);
// Size of the facts in one record while old segments are rewritten, in bytes.
constexpr auto kRewriteBytes = std::size_t{1} << 20U;
// Maximum size of a record beyond that of the request that it stores, in bytes.
constexpr auto kRecordOverheadBytes = std::size_t{4} * 1024;
// Maximum size of the replies that wait for the disk, in bytes, unless it is
// only one: as much as the largest frame.
constexpr auto kMaxWaitingReplyBytes = std::size_t{16} << 20U;
// Estimated memory for a reply that waits, in addition to its frame, in bytes.
constexpr auto kWaitingReplyOverheadBytes = std::size_t{256};
// Pause before a write is tried again that the queue of the log had no room
// for.
constexpr auto kQueueFullPause = std::chrono::milliseconds(50);

// Why a disk gets a new identity; an empty text if it keeps the one it has. A
// disk that was a member of a view has at least one record.
auto ReasonForNewIdentity(std::size_t identities, const log_load_result& load)
    -> std::string_view {
  if (identities == 0) {
    return load.records == 0 ? "disk is empty" : "identity is missing";
  }
  if (identities > 1) {
    return "several identities";
  }
  if (load.records == 0) {
    return "all records are missing";
  }
  return load.missing_segments > 0 ? "segments are missing" : "";
}

// The rest of the memory is for the queue of the log, frames under way, a
// segment that is read, and the copy of the platform's store.
auto FactsLimits(std::int64_t limit_mb) -> facts_limits {
  constexpr auto kCopiesPercent = std::size_t{55};
  constexpr auto kFirstTurnsPercent = std::size_t{65};
  constexpr auto kLaterTurnsPercent = std::size_t{75};
  constexpr auto kNone = std::numeric_limits<std::size_t>::max();
  const auto percent = (static_cast<std::size_t>(limit_mb) << 20U) / 100;
  return limit_mb == 0 ? facts_limits{kNone, kNone, kNone}
                       : facts_limits{percent * kCopiesPercent,
                                      percent * kFirstTurnsPercent,
                                      percent * kLaterTurnsPercent};
}

// A record without facts: since which view the replica is complete, and the
// programs removed from it.
auto EncodeState(history::view_number complete_since,
                 std::vector<history::program_name> removed) -> std::string {
  auto record = history::disk_record{};
  record.complete_in_view = complete_since;
  record.removed = std::move(removed);
  return history::EncodeRecord(record);
}

auto ChannelOptions(std::shared_ptr<byte_budget> memory)
    -> net::channel_options {
  auto options = net::channel_options{};
  options.memory = std::move(memory);
  return options;
}

auto SendReply(const std::weak_ptr<net::frame_channel>& channel,
               std::uint64_t id,
               history::view_number view,
               history::message_body body) -> void {
  if (const auto open = channel.lock()) {
    open->Send(history::EncodeMessage({id, view, std::move(body)}));
  }
}

auto ToHex(std::uint64_t value) -> std::string {
  constexpr auto kDigits = std::string_view("0123456789abcdef");
  auto text = std::string{};
  for (auto shift = 60; shift >= 0; shift -= 4) {
    text += kDigits[(value >> static_cast<unsigned>(shift)) & 0xFU];
  }
  return text;
}

}  // namespace

journal_node::journal_node(asio::io_context& context,
                           const settings& values,
                           kv::store& store,
                           const view_manager_options& view_options,
                           program_expiry_options expiry_options,
                           file_system& files)
    : context_(context),
      folder_(files, values.Get(kDataFolder)),
      listen_address_(values.Get(kListenAddress)),
      seed_address_(values.Get(kSeedAddress)),
      max_facts_bytes_(FactsLimits(values.Get(kMemoryLimitMb))),
      self_{vm_id(values.Get(kVm)),
            {},
            values.Get(kAdvertisedAddress).empty()
                ? listen_address_
                : values.Get(kAdvertisedAddress),
            failure_domain_id(values.Get(kFailureDomain)),
            region_id(values.Get(kRegion))},
      replica_(values.Get(kRetentionMs)),
      log_(context, values.Get(kDataFolder), {}, files),
      frame_memory_(std::make_shared<byte_budget>(MessageMemory(values))),
      server_(context,
              kMaxChannels,
              ChannelOptions(frame_memory_),
              [this](const std::shared_ptr<net::frame_channel>& channel) {
                return MakeChannelHandlers(channel);
              }),
      seed_server_(context,
                   kMaxChannels,
                   ChannelOptions(frame_memory_),
                   [this](const std::shared_ptr<net::frame_channel>& channel) {
                     return MakeChannelHandlers(channel);
                   }),
      timer_(context),
      view_manager_(
          std::make_unique<view_manager>(context, *this, store, view_options)),
      expiry_(context, *this, view_options.tolerated_losses, expiry_options),
      copier_(context,
              *this,
              {view_options.tolerated_losses + 1,
               3 * view_options.request_timeout}) {}

journal_node::~journal_node() = default;

auto journal_node::Start() -> bool {
  const auto address = net::ParseSocketAddress(listen_address_);
  const auto seed = net::ParseSocketAddress(seed_address_);
  // Requests are served only once the records are loaded, which takes long.
  if (!address || !net::CanListen(*address) ||
      (seed && !net::CanListen(*seed))) {
    return false;
  }
  if (!folder_.Make()) {
    Log(log_events::kDiskWriteFailed,
        {{"reason", "data folder could not be created or synced"}});
    return false;
  }
  const auto load = LoadRecords();
  if (!load.log.is_readable) {
    Log(log_events::kDiskUnreadable);
    return false;
  }
  if (!SettleIdentity(load.log)) {
    Log(log_events::kDiskWriteFailed,
        {{"reason", "disk identity could not be read or created"}});
    return false;
  }
  LogLoad(load);
  RecordRemoval({});
  if (server_.Listen(*address) == 0 ||
      (seed && seed_server_.Listen(*seed) == 0)) {
    return false;
  }
  view_manager_->Start();
  asio::co_spawn(context_, ExpireFacts(), asio::detached);
  return true;
}

auto journal_node::Stop() -> void {
  is_stopped_ = true;
  timer_.cancel();
  view_manager_->Stop();
  server_.Close();
  seed_server_.Close();
}

auto journal_node::SettleIdentity(const log_load_result& load) -> bool {
  const auto names = folder_.List();
  if (!names) {
    return false;
  }
  auto identities = std::vector<std::string>{};
  for (const auto& name : *names) {
    if (name.starts_with(kIdentityPrefix)) {
      identities.push_back(name.substr(kIdentityPrefix.size()));
    }
  }
  const auto reason = ReasonForNewIdentity(identities.size(), load);
  if (reason.empty()) {
    self_.disk = history::disk_id(identities.front());
  } else if (!CreateIdentity(identities)) {
    return false;
  }
  // Only after the new identity: a crash in between must not leave the old one
  // with a log that looks whole.
  if (!log_.AcceptMissing()) {
    return false;
  }
  if (!reason.empty()) {
    Log(log_events::kDiskIdentityCreated,
        {{"disk", std::string_view(self_.disk.value)},
         {"reason", reason},
         {"previous_identities", static_cast<std::int64_t>(identities.size())},
         {"records", static_cast<std::int64_t>(load.records)},
         {"missing_segments",
          static_cast<std::int64_t>(load.missing_segments)}});
  }
  return true;
}

auto journal_node::CreateIdentity(const std::vector<std::string>& previous)
    -> bool {
  replica_.SetComplete(0);
  const auto prefix = std::string(kIdentityPrefix);
  const auto identity = ToHex(SystemSeed());
  // The records so far may say that the replica is complete.
  const auto write_state = [&] { return log_.WriteFirst(EncodeState(0, {})); };
  const auto create = [&] { return folder_.CreateEmpty(prefix + identity); };
  // Until both are durable, a start after a crash must find either no identity
  // or several.
  const auto is_created =
      previous.empty() ? write_state() && create() : create() && write_state();
  if (!is_created) {
    return false;
  }
  self_.disk = history::disk_id(identity);
  for (const auto& old : previous) {
    if (!folder_.Remove(prefix + old)) {
      return false;
    }
  }
  return previous.empty() || folder_.Sync();
}

auto journal_node::LoadRecords() -> record_load {
  const auto began = Now();
  const auto began_ms = UnixMs();
  auto load = record_load{};
  // Time of the newest fact so far.
  auto newest_ms = std::int64_t{0};
  load.log = log_.Load([&](segment_number segment, std::string_view bytes) {
    if (segments_.empty() || segments_.back().second != segment) {
      segments_.emplace_back(newest_ms, segment);
    }
    const auto record = history::DecodeRecord(bytes);
    if (!record) {
      ++load.unreadable_records;
      return;
    }
    replica_.Restore(record->facts);
    for (const auto& fact : record->facts) {
      loaded_from_[history::FactHash(fact)] = segment;
      newest_ms = std::max(newest_ms, std::min(fact.recorded_ms, began_ms));
    }
    if (record->removed) {
      replica_.Remove(*record->removed);
    }
    if (record->store) {
      mirror_.Restore(*record->store);
      return;
    }
    // A record without facts says whether the replica is complete.
    if (record->facts.empty()) {
      replica_.SetComplete(record->complete_in_view);
    }
  });
  if (!load.log.is_readable) {
    return load;
  }
  AdoptPersistedView();
  segments_.emplace_back(UnixMs(), log_.CurrentSegment());
  persisted_mirror_revision_ = mirror_.revision_at();
  load.took = Now() - began;
  return load;
}

// Until the store answers, requests of earlier views are rejected as before the
// restart, and their senders learn the view.
auto journal_node::AdoptPersistedView() -> void {
  const auto copy = mirror_.CopyIfNewer(0);
  if (!copy) {
    return;
  }
  for (const auto& item : copy->items) {
    if (item.key == history::kViewKey) {
      replica_.Adopt(history::ParseView(item.value).value_or(history::view{}));
    }
  }
}

auto journal_node::LogLoad(const record_load& load) const -> void {
  const auto& log = load.log;
  Log(log_events::kDiskLoaded,
      {{"disk", std::string_view(self_.disk.value)},
       {"records", static_cast<std::int64_t>(log.records)},
       {"bytes", static_cast<std::int64_t>(log.bytes)},
       {"damaged_segments", static_cast<std::int64_t>(log.damaged_segments)},
       {"missing_segments", static_cast<std::int64_t>(log.missing_segments)},
       {"returned_segments", static_cast<std::int64_t>(log.returned_segments)},
       {"unreadable_records", load.unreadable_records},
       {"facts", static_cast<std::int64_t>(replica_.facts().size())},
       {"complete", replica_.IsComplete()},
       {"took_us", load.took.count()}});
}

auto journal_node::MakeChannelHandlers(
    const std::shared_ptr<net::frame_channel>& channel)
    -> net::channel_handlers {
  auto handlers = net::channel_handlers{};
  handlers.on_frame = [this, weak = std::weak_ptr(channel)](
                          std::string_view frame) { OnFrame(weak, frame); };
  return handlers;
}

auto journal_node::OnFrame(const std::weak_ptr<net::frame_channel>& channel,
                           std::string_view frame) -> void {
  auto request = history::DecodeMessage(frame);
  if (!request) {
    Log(log_events::kFrameRejected,
        {{"reason", "frame is not a valid history message"}});
    if (const auto open = channel.lock()) {
      open->Close();
    }
    return;
  }
  ++counters_.requests;
  const auto reply_now = [&](history::message_body body) {
    SendReply(channel, request->id, replica_.current().number, std::move(body));
  };
  if (const auto* wanted = std::get_if<history::copy_request>(&request->body)) {
    const auto store_age = view_manager_->StoreAge(Now());
    auto served = *wanted;
    // A VM that follows the store does not use a copy of unknown age.
    served.wants_revision |= served.wants_changes && !store_age;
    auto reply = mirror_.ReplyTo(served);
    reply.store_age = store_age;
    reply.proof_age = view_manager_->ProofAge(Now());
    reply_now(std::move(reply));
    return;
  }
  if (const auto* limits =
          std::get_if<history::limits_request>(&request->body)) {
    reply_now(limits_.Handle(*limits, Now()));
    return;
  }
  if (const auto* quota = std::get_if<history::quota_request>(&request->body)) {
    reply_now(GrantQuota(*quota, request->view));
    return;
  }
  if (auto* forward = std::get_if<history::forward_request>(&request->body)) {
    asio::co_spawn(
        context_,
        ServeForward(channel, request->id, request->view, std::move(*forward)),
        asio::detached);
    return;
  }
  const auto* begin = std::get_if<history::begin_request>(&request->body);
  if (begin != nullptr && !HasMemoryFor(*begin)) {
    ++counters_.refused_reservations;
    reply_now(history::record_reply{false});
    return;
  }
  const auto* record = std::get_if<history::record_request>(&request->body);
  const auto are_copies = record != nullptr && record->are_copies;
  if (are_copies && replica_.facts().bytes() >= max_facts_bytes_.copies) {
    ++counters_.refused_copies;
    reply_now(history::record_reply{false});
    return;
  }
  const auto is_write = begin != nullptr || record != nullptr;
  if (is_write && !HasRoomOnDisk(frame.size())) {
    ++counters_.refused_writes;
    reply_now(history::record_reply{false});
    return;
  }
  auto effect = replica_.Handle(*request, UnixMs());
  if (!effect.reply) {
    return;
  }
  ExchangeLoads(request->body, *effect.reply);
  if (std::holds_alternative<history::stale_view>(*effect.reply)) {
    ++counters_.stale_requests;
  }
  const auto send =
      [channel, id = request->id,
       view = replica_.current().number](history::message_body body) {
        SendReply(channel, id, view, std::move(body));
      };
  // These need not wait for the disk. A pull asks for what was listed, and the
  // member that asks stores it before it counts. An unsynced fact only makes
  // others keep a program longer, and what they keep is not recorded.
  const auto is_sent_at_once =
      std::holds_alternative<history::pull_request>(request->body) ||
      std::holds_alternative<history::lifetimes_request>(request->body) ||
      std::holds_alternative<history::adopt_request>(request->body) ||
      std::holds_alternative<history::stale_view>(*effect.reply);
  if (is_sent_at_once) {
    send(std::move(*effect.reply));
    return;
  }
  // What these show counts as a copy, or is shown to a caller.
  const auto is_read =
      std::holds_alternative<history::read_request>(request->body) ||
      std::holds_alternative<history::list_request>(request->body);
  if (is_read) {
    auto reply = history::EncodeMessage(
        {request->id, replica_.current().number, std::move(*effect.reply)});
    if (!SendWhenDurable(channel, std::move(reply))) {
      ++counters_.refused_reads;
      send(history::record_reply{false});
    }
    return;
  }
  // Facts that were already in memory may not be on disk yet, so a request that
  // records nothing new also waits for a sync.
  Persist(std::move(effect.to_persist),
          [this, send, body = std::move(*effect.reply)](bool is_durable) {
            if (is_durable) {
              send(body);
              return;
            }
            ++counters_.refused_writes;
            send(history::record_reply{false});
          });
}

auto journal_node::GrantQuota(const history::quota_request& request,
                              history::view_number view)
    -> history::message_body {
  const auto& current = replica_.current();
  if (view < current.number) {
    ++counters_.stale_requests;
    return history::stale_view{current};
  }
  // In a newer view another VM may have this member's share.
  const auto is_member =
      view == current.number &&
      std::any_of(
          current.members.begin(), current.members.end(),
          [&](const auto& member) { return member.disk == self_.disk; });
  return quotas_.Handle(request, is_member ? current.members.size() : 0, Now());
}

auto journal_node::SendWhenDurable(
    const std::weak_ptr<net::frame_channel>& channel,
    std::string frame) -> bool {
  const auto bytes = frame.size() + kWaitingReplyOverheadBytes;
  if (waiting_reply_bytes_ > 0 &&
      waiting_reply_bytes_ + bytes > kMaxWaitingReplyBytes) {
    return false;
  }
  waiting_reply_bytes_ += bytes;
  CallWhenDurable([this, channel, bytes, frame = std::move(frame)] {
    waiting_reply_bytes_ -= bytes;
    if (const auto open = channel.lock()) {
      open->Send(frame);
    }
  });
  return true;
}

auto journal_node::ServeForward(std::weak_ptr<net::frame_channel> channel,
                                std::uint64_t id,
                                history::view_number view,
                                history::forward_request request)
    -> asio::awaitable<void> {
  const auto reply =
      co_await copier_.Forward(view, std::move(request), /*are_copies=*/true);
  SendReply(channel, id, view, reply);
}

auto journal_node::HasMemoryFor(const history::begin_request& request) -> bool {
  const auto bytes = replica_.facts().bytes();
  const auto is_full = bytes >= max_facts_bytes_.first_turns;
  if (is_full != was_full_) {
    was_full_ = is_full;
    Log(log_events::kMemoryFull,
        {{"is_full", is_full},
         {"facts", static_cast<std::int64_t>(replica_.facts().size())},
         {"bytes", static_cast<std::int64_t>(bytes)}});
  }
  // A turn of a route that stores none names no parent.
  const auto is_first =
      request.parent.empty() && !replica_.facts().HasProgram(request.program);
  const auto max_bytes =
      is_first ? max_facts_bytes_.first_turns : max_facts_bytes_.later_turns;
  return bytes < max_bytes;
}

auto journal_node::ExchangeLoads(const history::message_body& request,
                                 history::message_body& reply) -> void {
  const auto* begin = std::get_if<history::begin_request>(&request);
  if (begin == nullptr) {
    return;
  }
  const auto now = Now();
  for (const auto& sample : begin->loads) {
    loads_.Put(sample, now);
  }
  auto* begun = std::get_if<history::begin_reply>(&reply);
  if (begun != nullptr && begin->loads_known) {
    auto changes = loads_.ChangesSince(*begin->loads_known, now);
    begun->loads = std::move(changes.samples);
    begun->loads_up_to = changes.up_to;
  }
}

auto journal_node::Persist(std::vector<history::turn_fact> facts,
                           append_handler done) -> void {
  if (!RetryFacts()) {
    facts_to_retry_.insert(facts_to_retry_.end(),
                           std::make_move_iterator(facts.begin()),
                           std::make_move_iterator(facts.end()));
    done(false);
    return;
  }
  // An empty batch is written as well, because its sync covers all records that
  // were queued before it.
  if (facts.empty()) {
    facts.emplace_back();
  }
  const auto record = history::EncodeRecord({facts, 0, std::nullopt});
  log_.Append(record, [this, facts = std::move(facts),
                       done = std::move(done)](bool is_durable) {
    if (!is_durable) {
      facts_to_retry_.insert(facts_to_retry_.end(), facts.begin(), facts.end());
    }
    done(is_durable);
  });
}

auto journal_node::CallWhenDurable(std::function<void()> handler) -> void {
  if (RetryFacts()) {
    log_.CallWhenSynced(std::move(handler));
    return;
  }
  // There is room for more facts once those in the queue are on disk.
  log_.CallWhenSynced([this, handler = std::move(handler)]() mutable {
    CallWhenDurable(std::move(handler));
  });
}

auto journal_node::RetryFacts() -> bool {
  while (!facts_to_retry_.empty()) {
    const auto record =
        history::EncodeRecord({{facts_to_retry_.front()}, 0, std::nullopt});
    if (!log_.HasRoom(record.size())) {
      return false;
    }
    log_.Append(record, [](bool) {});
    facts_to_retry_.pop_front();
  }
  return true;
}

auto journal_node::HasRoomOnDisk(std::size_t bytes) -> bool {
  return RetryFacts() && log_.HasRoom(bytes + kRecordOverheadBytes);
}

auto journal_node::PersistAndWait(std::vector<history::turn_fact> facts)
    -> asio::awaitable<bool> {
  struct wait_state {
    explicit wait_state(asio::io_context& io)
        : wake(io, asio::steady_timer::time_point::max()) {}

    asio::steady_timer wake;
    std::optional<bool> is_durable;
  };
  while (!is_stopped_) {
    const auto shared = std::make_shared<wait_state>(context_);
    Persist(std::exchange(facts, {}), [shared](bool is_durable) {
      shared->is_durable = is_durable;
      shared->wake.cancel();
    });
    while (!shared->is_durable) {
      co_await shared->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (*shared->is_durable) {
      co_return true;
    }
    shared->wake.expires_after(kQueueFullPause);
    co_await shared->wake.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return false;
}

auto journal_node::PersistComplete(history::view_number since,
                                   append_handler done) -> void {
  if (since == 0) {
    ++incomplete_count_;
    replica_.SetComplete(0);
    recorded_complete_ = 0;
    log_.Append(EncodeState(0, {}), std::move(done));
    return;
  }
  // The record comes after all facts in memory, some of which others leave to
  // this disk already.
  const auto record = EncodeState(since, {});
  if (!RetryFacts() || !log_.HasRoom(record.size())) {
    done(false);
    return;
  }
  recorded_complete_ = since;
  log_.Append(record, [this, since, count = incomplete_count_,
                       done = std::move(done)](bool is_durable) {
    if (is_durable && count == incomplete_count_) {
      replica_.SetComplete(since);
    }
    done(is_durable);
  });
}

auto journal_node::RemoveOutlived(
    const std::vector<history::program_name>& programs) -> std::size_t {
  const auto now = UnixMs();
  auto removed = programs;
  std::erase_if(removed, [&](const history::program_name& program) {
    return !replica_.IsOutlived(program, now);
  });
  if (removed.empty()) {
    return 0;
  }
  const auto facts = replica_.Remove(removed);
  counters_.facts_expired += facts;
  RecordRemoval(std::move(removed));
  return facts;
}

auto journal_node::RecordRemoval(std::vector<history::program_name> programs)
    -> void {
  // A removal that is not recorded is decided again after a restart.
  const auto since = recorded_complete_.value_or(replica_.complete_since());
  log_.Append(EncodeState(since, std::move(programs)), [](bool) {});
}

auto journal_node::PersistMirror() -> void {
  const auto now = Now();
  if (now - mirror_persisted_at_ < kMirrorWriteInterval) {
    return;
  }
  auto copy = mirror_.CopyIfNewer(persisted_mirror_revision_);
  if (!copy) {
    return;
  }
  mirror_persisted_at_ = now;
  persisted_mirror_revision_ = copy->revision_at;
  log_.Append(history::EncodeRecord({{}, 0, std::move(copy)}), [](bool) {});
}

auto journal_node::ExpireFacts() -> asio::awaitable<void> {
  co_await RewriteOldSegments();
  while (!is_stopped_) {
    timer_.expires_after(expiry_.options().interval);
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    if (is_stopped_) {
      co_return;
    }
    co_await expiry_.Sweep();
    if (!is_stopped_) {
      RetryFacts();
      co_await RewriteOldSegments();
    }
  }
}

// Rewrites the facts that are still needed to the current segment before it
// deletes the old segments that hold them. Their size is that of the replica,
// so they are written in parts.
auto journal_node::RewriteOldSegments() -> asio::awaitable<void> {
  const auto now = UnixMs();
  if (segments_.back().second != log_.CurrentSegment()) {
    segments_.emplace_back(now, log_.CurrentSegment());
  }
  // A fact of another VM may bear a time after that of its segment's end.
  const auto kept_ms =
      replica_.LongestLifetimeMs() + history::kRetentionSlackMs;
  // A segment ends when the next one begins.
  auto old_segments = std::size_t{0};
  while (old_segments + 1 < segments_.size() &&
         segments_[old_segments + 1].first < now - kept_ms) {
    ++old_segments;
  }
  const auto loaded_from = std::exchange(loaded_from_, {});
  if (old_segments == 0) {
    co_return;
  }
  const auto [ended_ms, first_kept] = segments_[old_segments];
  // Segments that are kept may hold such facts from a rewrite that a stop has
  // interrupted. A copy for each interruption would fill the disk.
  auto kept = std::unordered_set<history::fact_hash>{};
  for (const auto& [hash, segment] : loaded_from) {
    if (segment >= first_kept) {
      kept.insert(hash);
    }
  }
  auto needed = replica_.facts().RecordedBefore(
      ended_ms + history::kRetentionSlackMs, kept);
  RecordRemoval({});
  log_.Append(history::EncodeRecord({{}, 0, mirror_.CopyIfNewer(0)}),
              [](bool) {});
  auto is_durable = true;
  while (is_durable && !needed.empty()) {
    is_durable = co_await PersistAndWait(
        replica_.facts().TakeBatch(needed, kRewriteBytes));
  }
  // The records of the state and of the store are before this one.
  is_durable = is_durable && co_await PersistAndWait({});
  if (!is_durable) {
    co_return;
  }
  log_.RemoveBefore(first_kept, [](bool) {});
  segments_.erase(
      segments_.begin(),
      segments_.begin() + static_cast<std::ptrdiff_t>(old_segments));
}

auto journal_node::RenderMetrics() const -> std::string {
  auto text = std::string{};
  const auto add = [&](std::string_view name, std::uint64_t value) {
    text.append("daisywind_journal_").append(name).append(" ");
    text.append(std::to_string(value)).append("\n");
  };
  add("requests_total", counters_.requests);
  add("stale_requests_total", counters_.stale_requests);
  add("refused_writes_total", counters_.refused_writes);
  add("refused_reads_total", counters_.refused_reads);
  add("refused_reservations_total", counters_.refused_reservations);
  add("refused_copies_total", counters_.refused_copies);
  add("facts_pulled_total", counters_.facts_pulled);
  add("facts_forwarded_total", counters_.facts_forwarded);
  add("facts_forgotten_total", counters_.facts_expired);
  add("programs_kept_total", counters_.programs_kept);
  add("facts", replica_.facts().size());
  add("facts_bytes", replica_.facts().bytes());
  add("disk_queued_bytes", log_.QueuedBytes());
  add("disk_longest_sync_ms", log_.LongestSyncMs());
  add("view", replica_.current().number);
  add("complete", replica_.IsComplete() ? 1 : 0);
  add("frames_dropped_total", net::DroppedFrames());
  add("messages_too_large_total", net::OversizedMessages());
  add("log_lines_dropped_total", DroppedLogLines());
  return text;
}

}  // namespace daisywind::journal
