#include "configuration/query_processor.h"

#include <iterator>
#include <utility>

#include "configuration/storage.h"

namespace daisywind::configuration {
namespace {

constexpr auto kQueryTimeout = duration(5s);

}  // namespace

auto query_processor::HandleVersion(const version_requested& request,
                                    instant now) -> void {
  const auto& installed = state_->installed;
  if (request.number == installed.head.info.ref.number) {
    const auto outcome = installed.content == nullptr ? query_outcome::kNotFound
                                                      : query_outcome::kFound;
    Reply(request, outcome, installed.content);
    return;
  }
  const auto id = state_->NextId();
  entries_.emplace(id, entry{request, now + kQueryTimeout, std::nullopt, 0});
  state_->CallService(HistoryRequest(request.number + 1),
                      [this, id](const kv_result& result, instant /*at*/) {
                        HandleHistoryResult(id, result);
                      });
}

auto query_processor::HandleHistory(const history_requested& request) -> void {
  const auto newest = state_->installed.head.info.ref.number;
  const auto first = newest > request.limit ? newest - request.limit + 1 : 1;
  state_->CallService(HistoryRequest(first),
                      [this, request](const kv_result& result, instant /*at*/) {
                        ReplyHistory(request, result);
                      });
}

auto query_processor::Advance(instant now) -> void {
  for (auto i = entries_.begin(); i != entries_.end();) {
    const auto is_answered = Proceed(i->second, now);
    i = is_answered ? entries_.erase(i) : std::next(i);
  }
}

auto query_processor::HandleHistoryResult(entry_id id, const kv_result& result)
    -> void {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  auto& item = found->second;
  if (result.outcome != kv::outcome::kAnswered) {
    Reply(item.request, query_outcome::kUnavailable, nullptr);
    entries_.erase(found);
    return;
  }
  const auto read = ReadHistoryState(result.response);
  item.buckets = read ? ManifestAt(item.request.number, *read) : std::nullopt;
  if (!item.buckets) {
    Reply(item.request, query_outcome::kNotFound, nullptr);
    entries_.erase(found);
    return;
  }
  item.load =
      loader_->Start(*item.buckets, load_source::kServiceOnly, std::nullopt);
}

auto query_processor::ReplyHistory(const history_requested& request,
                                   const kv_result& result) -> void {
  auto reply = history_reply{request.request, query_outcome::kUnavailable, {}};
  if (result.outcome == kv::outcome::kAnswered) {
    auto read = ReadHistoryState(result.response);
    reply.outcome = read ? query_outcome::kFound : query_outcome::kNotFound;
    reply.entries = read ? std::move(read->entries) : decltype(reply.entries){};
  }
  if (reply.entries.size() > request.limit) {
    const auto surplus = reply.entries.size() - request.limit;
    reply.entries.erase(
        reply.entries.begin(),
        reply.entries.begin() + static_cast<std::ptrdiff_t>(surplus));
  }
  state_->commands.emplace_back(std::move(reply));
}

auto query_processor::Proceed(entry& item, instant now) -> bool {
  const auto status =
      item.buckets ? loader_->StatusOf(item.load) : load_status::kRunning;
  if (status == load_status::kRunning && now < item.deadline) {
    return false;
  }
  auto content = status == load_status::kDone
                     ? JoinDocument(*item.buckets)
                     : std::shared_ptr<const document>();
  const auto absent = status == load_status::kRunning
                          ? query_outcome::kUnavailable
                          : query_outcome::kNotFound;
  const auto outcome = content == nullptr ? absent : query_outcome::kFound;
  Reply(item.request, outcome, std::move(content));
  loader_->Finish(item.load);
  return true;
}

auto query_processor::JoinDocument(const manifest& buckets) const
    -> std::shared_ptr<const document> {
  auto content = Join(buckets, state_->chunks);
  if (!content) {
    return nullptr;
  }
  return std::make_shared<const document>(std::move(*content));
}

auto query_processor::Reply(const version_requested& request,
                            query_outcome outcome,
                            std::shared_ptr<const document> content) -> void {
  state_->commands.emplace_back(version_reply{
      request.request, outcome, request.number, std::move(content)});
}

}  // namespace daisywind::configuration
