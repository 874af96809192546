#include "configuration/garbage_collector.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "common/digest.h"

namespace daisywind::configuration {
namespace {

constexpr auto kRunInterval = duration(3600s);
// Keys removed by one transaction, which also compares the revision of each key
// whose revision is known.
constexpr auto kKeysPerTxn = std::size_t{60};
constexpr auto kMaxTxnsPerRun = std::size_t{64};
constexpr auto kScoreSeed = std::uint64_t{1};

auto ScoreOf(const member& item) -> std::uint64_t {
  return PlacementHash(item.vm.vm.value, kScoreSeed);
}

auto SplitIntoBatches(const key_revisions& keys) -> std::vector<key_revisions> {
  auto batches = std::vector<key_revisions>{};
  for (const auto& entry : keys) {
    if (batches.empty() || batches.back().size() == kKeysPerTxn) {
      batches.emplace_back();
    }
    batches.back().insert(entry);
  }
  batches.resize(std::min(batches.size(), kMaxTxnsPerRun));
  return batches;
}

}  // namespace

auto garbage_collector::Advance(instant now) -> void {
  if (!next_run_at_) {
    next_run_at_ = now + state_->Jitter(kRunInterval);
  }
  if (is_running_ || now < *next_run_at_) {
    return;
  }
  next_run_at_ = now + state_->Jitter(kRunInterval);
  if (IsCollector()) {
    ReadState(now);
  } else {
    unused_.clear();
  }
}

auto garbage_collector::IsCollector() const -> bool {
  const auto first = std::max_element(
      state_->members.begin(), state_->members.end(),
      [](const member& a, const member& b) { return ScoreOf(a) < ScoreOf(b); });
  return first != state_->members.end() && first->vm == state_->self.vm;
}

auto garbage_collector::ReadState(instant /*now*/) -> void {
  is_running_ = true;
  state_->CallService(
      CollectionRequest(),
      [this](const kv_result& result, instant /*at*/) { HandleRead(result); });
}

auto garbage_collector::HandleRead(const kv_result& result) -> void {
  is_running_ = false;
  if (result.outcome != kv::outcome::kAnswered) {
    return;
  }
  auto read = ReadCollection(result.response);
  if (!read || !read->head.head) {
    return;
  }
  base_ = std::move(*read);
  const auto kept = state_->options.history_kept;
  auto unused = UnusedChunks(base_, kept);
  auto keys = key_revisions{};
  std::set_intersection(unused.begin(), unused.end(), unused_.begin(),
                        unused_.end(), std::inserter(keys, keys.end()));
  unused_ = std::move(unused);
  keys.merge(OutdatedHistoryKeys(base_, kept));
  for (auto& key : OutdatedPatchKeys(base_, kept)) {
    keys.emplace(std::move(key), 0);
  }
  batches_ = SplitIntoBatches(keys);
  RemoveNext();
}

auto garbage_collector::RemoveNext() -> void {
  if (batches_.empty()) {
    return;
  }
  is_running_ = true;
  state_->CallService(RemoveRequest(base_.head, batches_.back()),
                      [this](const kv_result& result, instant /*at*/) {
                        HandleRemoved(result);
                      });
  batches_.pop_back();
}

auto garbage_collector::HandleRemoved(const kv_result& result) -> void {
  is_running_ = false;
  const auto is_removed =
      result.outcome == kv::outcome::kAnswered && result.response.has_succeeded;
  if (!is_removed) {
    // The next run starts from a new read.
    batches_.clear();
    return;
  }
  base_.head.collection_revision = result.response.revision_at;
  RemoveNext();
}

}  // namespace daisywind::configuration
