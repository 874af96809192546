#include "configuration/patch_processor.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <set>
#include <utility>

#include "configuration/check.h"

namespace daisywind::configuration {
namespace {

constexpr auto kPatchTimeout = duration(10s);
constexpr auto kInitialBackoff = duration(200ms);
constexpr auto kMaxBackoffDoublings = std::size_t{3};

auto IsAnswered(const kv_result& result) -> bool {
  return result.outcome == kv::outcome::kAnswered;
}

// JSON pointers of the values changed since a version, at most kMaxPaths.
auto PathsSince(version_number number, const history_state& state)
    -> std::vector<std::string> {
  auto paths = std::set<std::string>{};
  for (const auto& record : state.entries) {
    if (record.info.ref.number > number) {
      paths.insert(record.paths.begin(), record.paths.end());
    }
  }
  auto list = std::vector<std::string>(paths.begin(), paths.end());
  list.resize(std::min(list.size(), kMaxPaths));
  return list;
}

}  // namespace

auto patch_processor::Begin(const patch_requested& request, instant now)
    -> void {
  auto item = entry{};
  item.request = request;
  item.deadline = now + kPatchTimeout;
  if (!IsPatchId(request.patch_id)) {
    Reply(item, patch_invalid{{"",
                               "the patch id must consist of 1 to 128 letters, "
                               "digits, '.', '_' or '-'"}});
    return;
  }
  entries_.emplace(state_->NextId(), std::move(item));
}

auto patch_processor::Advance(instant now) -> void {
  for (auto& [id, item] : entries_) {
    if (item.next != step::kDone && now >= item.deadline) {
      ReplyTimedOut(item);
    }
    if (item.next != step::kDone && !item.is_waiting && now >= item.retry_at) {
      Proceed(id, item, now);
    }
  }
  std::erase_if(entries_, [](const auto& entry) {
    return entry.second.next == step::kDone;
  });
}

auto patch_processor::Proceed(entry_id id, entry& item, instant now) -> void {
  if (item.next == step::kLoad) {
    TryApply(item, now);
  }
  switch (item.next) {
    case step::kReadHead:
      Call(id, item, HeadRequest(item.request.patch_id),
           &patch_processor::HandleHead);
      break;
    case step::kWriteChunks:
      Call(id, item, item.writes[item.written], &patch_processor::HandleWrite);
      break;
    case step::kAccept:
      Call(id, item, AcceptRequest(item.base, item.head, item.record),
           &patch_processor::HandleAccept);
      break;
    case step::kReadHistory:
      Call(id, item, HistoryRequest(item.request.if_match + 1),
           &patch_processor::HandleHistory);
      break;
    case step::kLoad:
    case step::kDone:
      break;
  }
}

auto patch_processor::Call(entry_id id,
                           entry& item,
                           kv::txn_request request,
                           result_function handler) -> void {
  item.is_waiting = true;
  state_->CallService(
      std::move(request),
      [this, id, handler](const kv_result& result, instant now) {
        const auto found = entries_.find(id);
        if (found == entries_.end()) {
          return;
        }
        found->second.is_waiting = false;
        (this->*handler)(found->second, result, now);
      });
}

auto patch_processor::HandleHead(entry& item,
                                 const kv_result& result,
                                 instant now) -> void {
  if (!IsAnswered(result)) {
    Retry(item, now);
    return;
  }
  const auto read = ReadHeadState(result.response);
  if (read) {
    ProcessHead(item, *read, now);
  } else {
    Retry(item, now);
  }
}

auto patch_processor::HandleWrite(entry& item,
                                  const kv_result& result,
                                  instant now) -> void {
  if (!IsAnswered(result)) {
    Retry(item, now);
    return;
  }
  item.failures = 0;
  item.written += 1;
  if (item.written == item.writes.size()) {
    item.next = step::kAccept;
  }
}

auto patch_processor::HandleAccept(entry& item,
                                   const kv_result& result,
                                   instant now) -> void {
  if (!IsAnswered(result)) {
    const auto is_lost = result.outcome == kv::outcome::kUnknown;
    item.may_be_accepted = item.may_be_accepted || is_lost;
    Retry(item, now);
    return;
  }
  if (result.response.has_succeeded) {
    FinishAccepted(item);
    return;
  }
  const auto read = ReadHeadState(result.response);
  if (!read) {
    Retry(item, now);
    return;
  }
  // Revisions only increase, so the compares of earlier attempts fail as well.
  item.may_be_accepted = false;
  ProcessHead(item, *read, now);
}

auto patch_processor::HandleHistory(entry& item,
                                    const kv_result& result,
                                    instant now) -> void {
  if (!IsAnswered(result)) {
    Retry(item, now);
    return;
  }
  auto current = item.base.head->info.ref.number;
  const auto read = ReadHistoryState(result.response);
  if (!read) {
    Reply(item, patch_conflict{current, {}});
    return;
  }
  if (read->head) {
    current = std::max(current, read->head->info.ref.number);
  }
  Reply(item,
        patch_conflict{current, PathsSince(item.request.if_match, *read)});
}

auto patch_processor::ProcessHead(entry& item,
                                  const head_state& read,
                                  instant now) -> void {
  item.base = read;
  const auto& installed = state_->installed.head.info.ref;
  if (read.accepted) {
    Reply(item, patch_accepted{*read.accepted});
    return;
  }
  if (read.head ? read.head->info.ref < installed : installed.number > 0) {
    state_->NoteOutdatedHead(read);
    item.next = step::kReadHead;
    Retry(item, now);
    return;
  }
  if (!read.head) {
    Reply(item, patch_conflict{0, {}});
    return;
  }
  state_->LearnHead(*read.head, std::nullopt);
  if (read.head->info.ref.number != item.request.if_match) {
    item.next = step::kReadHistory;
    return;
  }
  item.load = loader_->Start(read.head->buckets, load_source::kServiceOnly,
                             std::nullopt);
  item.next = step::kLoad;
}

auto patch_processor::TryApply(entry& item, instant now) -> void {
  const auto status = loader_->StatusOf(item.load);
  if (status == load_status::kRunning) {
    return;
  }
  if (status == load_status::kMissing) {
    loader_->Finish(item.load);
    item.next = step::kReadHead;
    Retry(item, now);
    return;
  }
  leaf::try_handle_all(
      [&]() -> leaf::result<void> { return Apply(item, now); },
      [&](const document_error& error) { Reply(item, patch_invalid{error}); },
      [&] {
        Reply(item, patch_invalid{{"", "cannot be applied: unexpected error"}});
      });
  loader_->Finish(item.load);
}

auto patch_processor::Apply(entry& item, instant now) -> leaf::result<void> {
  const auto& base = *item.base.head;
  BOOST_LEAF_AUTO(before, ReadBase(base));
  BOOST_LEAF_AUTO(patch, ParseJson(item.request.text));
  BOOST_LEAF_AUTO(to, ApplyPatch(ToJson(before), item.request.kind, patch));
  BOOST_LEAF_AUTO(after, ReadDocument(to));
  BOOST_LEAF_CHECK(CheckDocument(after));
  const auto changes = ChangedEntries(before, after);
  BOOST_LEAF_AUTO(content, SplitChanged(base.buckets, state_->chunks, changes));
  item.head.info = {{base.info.ref.number + 1, RootDigestOf(content.buckets)},
                    item.request.patch_id,
                    item.request.author,
                    state_->UnixMs(now)};
  item.record = {item.head.info, PathsOf(changes),
                 DiffManifests(content.buckets, base.buckets)};
  item.head.buckets = std::move(content.buckets);
  item.writes = ChunkWriteRequests(content.chunks);
  item.chunks = std::move(content.chunks);
  item.written = 0;
  item.next = item.writes.empty() ? step::kAccept : step::kWriteChunks;
  return {};
}

auto patch_processor::ReadBase(const version_head& base) const
    -> leaf::result<document> {
  const auto& installed = state_->installed;
  if (installed.content != nullptr &&
      base.info.ref == installed.head.info.ref) {
    return *installed.content;
  }
  return Join(base.buckets, state_->chunks);
}

auto patch_processor::FinishAccepted(entry& item) -> void {
  for (auto& [name, text] : item.chunks) {
    state_->chunks.emplace(name, std::move(text));
  }
  state_->LearnHead(item.head, std::nullopt);
  Reply(item, patch_accepted{item.head.info.ref.number});
}

auto patch_processor::Retry(entry& item, instant now) -> void {
  const auto doublings = std::min(item.failures, kMaxBackoffDoublings);
  item.failures += 1;
  item.retry_at = now + state_->Jitter(kInitialBackoff * (1U << doublings));
}

auto patch_processor::Reply(entry& item, patch_result result) -> void {
  item.next = step::kDone;
  state_->commands.emplace_back(
      patch_reply{item.request.request, std::move(result)});
}

auto patch_processor::ReplyTimedOut(entry& item) -> void {
  if (item.next == step::kLoad) {
    loader_->Finish(item.load);
  }
  if (item.next == step::kReadHistory) {
    Reply(item, patch_conflict{item.base.head->info.ref.number, {}});
    return;
  }
  const auto is_in_flight = item.next == step::kAccept && item.is_waiting;
  Reply(item, patch_unavailable{item.may_be_accepted || is_in_flight});
}

}  // namespace daisywind::configuration
