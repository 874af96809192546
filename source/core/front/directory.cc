#include "front/directory.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>
#include <utility>

#include "common/log_values.h"
#include "common/logging.h"
#include "common/process_clock.h"
#include "history_wire/view_json.h"

namespace daisywind::front {
namespace {

// By directory::item_source.
constexpr auto kItemSourceNames =
    std::to_array<std::string_view>({"listing", "watch", "copy"});

}  // namespace

directory::directory(boost::asio::io_context& context,
                     kv::store& store,
                     const directory_codec& codec,
                     directory_options options,
                     directory_handlers handlers)
    : codec_(codec),
      options_(options),
      handlers_(std::move(handlers)),
      endpoints_(dispatch::endpoint_options{}),
      watch_(context,
             store,
             "",
             options.watch,
             {[this](const kv::listing& all) {
                OnSnapshot(all.items, item_source::kListing,
                           AreRemovalsUncertain(Now()));
                revision_ = std::max(revision_, all.revision_at);
              },
              [this](const kv::change_list& list) {
                OnChanges(list.changes);
                revision_ = std::max(revision_, list.next);
              },
              [this](bool is_reachable) {
                is_reachable_ = is_reachable;
                if (is_reachable) {
                  removals_uncertain_until_ =
                      Now() + options_.uncertain_after_reconnect;
                }
              }}) {}

auto directory::ImportCopy(const history::store_copy& copy) -> void {
  if (copy.revision_at <= revision_) {
    return;
  }
  Log(log_events::kStoreCopyTaken,
      {{"revision", copy.revision_at},
       {"before", revision_},
       {"items", static_cast<std::int64_t>(copy.items.size())}});
  revision_ = copy.revision_at;
  OnSnapshot(copy.items, item_source::kCopy, true);
}

auto directory::ImportProof(instant as_of) -> void {
  copy_as_of_ = std::max(copy_as_of_, std::optional(as_of));
}

auto directory::ProvenAt() const -> std::optional<instant> {
  return is_configuration_valid_ ? std::max(watch_.known_as_of(), copy_as_of_)
                                 : std::nullopt;
}

auto directory::Start() -> void {
  watch_.Start();
}

auto directory::Stop() -> void {
  watch_.Stop();
}

auto directory::Tick(instant now) -> void {
  for (const auto& id : endpoints_.Tick(now)) {
    Log(log_events::kEndpointChanged,
        {{"endpoint", std::string_view(id.value)}, {"state", "gone"}});
  }
}

auto directory::AreRemovalsUncertain(instant now) const -> bool {
  return now < removals_uncertain_until_;
}

auto directory::StoreAge(instant now) const -> std::optional<duration> {
  return watch_.Age(now);
}

auto directory::OnSnapshot(const std::vector<kv::key_value>& items,
                           item_source source,
                           bool is_removal_uncertain) -> void {
  const auto now = Now();
  auto present = std::set<endpoint_id>{};
  for (const auto& item : items) {
    OnItem(item, source, now);
    if (auto id = EndpointIdFromKey(item.key)) {
      present.insert(std::move(*id));
    }
  }
  auto missing = endpoints_.Ids();
  std::erase_if(missing,
                [&](const endpoint_id& id) { return present.contains(id); });
  const auto may_return = is_removal_uncertain || IsBulkRemoval(missing.size());
  for (const auto& id : missing) {
    RemoveEndpoint(id, may_return, now);
  }
}

auto directory::OnChanges(const std::vector<kv::key_change>& changes) -> void {
  const auto now = Now();
  const auto removed = static_cast<std::size_t>(std::count_if(
      changes.begin(), changes.end(), [&](const kv::key_change& change) {
        return change.is_removed && EndpointIdFromKey(change.item.key);
      }));
  const auto is_removal_uncertain =
      AreRemovalsUncertain(now) || IsBulkRemoval(removed);
  for (const auto& change : changes) {
    if (!change.is_removed) {
      OnItem(change.item, item_source::kWatch, now);
    } else if (const auto id = EndpointIdFromKey(change.item.key)) {
      RemoveEndpoint(*id, is_removal_uncertain, now);
    }
  }
}

auto directory::EndpointIdFromKey(const std::string& key) const
    -> std::optional<endpoint_id> {
  const auto prefix = codec_.endpoint_prefix();
  return key.starts_with(prefix)
             ? std::optional<endpoint_id>(key.substr(prefix.size()))
             : std::nullopt;
}

auto directory::IsBulkRemoval(std::size_t removed) const -> bool {
  constexpr auto kPercent = std::size_t{100};
  return removed >= options_.bulk_removal_count &&
         removed * kPercent >=
             options_.bulk_removal_percent * endpoints_.size();
}

auto directory::OnItem(const kv::key_value& item,
                       item_source source,
                       instant now) -> void {
  if (item.key == codec_.configuration_key()) {
    OnConfiguration(item, source);
  } else if (const auto id = EndpointIdFromKey(item.key)) {
    OnEndpoint(*id, item, now);
  } else if (item.key == history::kViewKey) {
    if (const auto newest = history::ParseView(item.value)) {
      handlers_.on_view(*newest);
    } else {
      Log(log_events::kEntryIgnored,
          {{"key", std::string_view(item.key)},
           {"reason", "not a valid view of the journals"}});
    }
  }
}

auto directory::OnConfiguration(const kv::key_value& item, item_source source)
    -> void {
  const auto newest = codec_.ReadConfiguration(item.value);
  is_configuration_valid_ = newest.has_value();
  if (!newest) {
    Log(log_events::kEntryIgnored, {{"key", std::string_view(item.key)},
                                    {"reason", "not a valid configuration"}});
    return;
  }
  const auto before = routes_.version();
  const auto is_newer = routes_.Install(*newest);
  Log(log_events::kConfigurationInForce,
      {{"version", static_cast<std::int64_t>(newest->version)},
       {"before", static_cast<std::int64_t>(before)},
       {"revision", item.mod_revision},
       {"routes", static_cast<std::int64_t>(newest->routes.size())},
       {"bytes", static_cast<std::int64_t>(item.value.size())},
       {"installed", is_newer},
       {"source", kItemSourceNames.at(static_cast<std::size_t>(source))},
       {"call_ms", source == item_source::kCopy
                       ? kNoTime
                       : Milliseconds(watch_.last_call_duration())}});
  if (is_newer) {
    handlers_.on_configuration();
  }
}

auto directory::OnEndpoint(const endpoint_id& id,
                           const kv::key_value& item,
                           instant now) -> void {
  const auto entry = codec_.ReadEndpoint(id, item.value);
  if (!entry) {
    Log(log_events::kEntryIgnored, {{"key", std::string_view(item.key)},
                                    {"reason", "not a valid endpoint entry"}});
    RemoveEndpoint(id, false, now);
    return;
  }
  const auto* existing = endpoints_.Find(id);
  const auto is_change = existing == nullptr || existing->entry != *entry;
  endpoints_.Put(*entry, now);
  if (is_change) {
    Log(log_events::kEndpointChanged,
        {{"endpoint", std::string_view(id.value)},
         {"service", std::string_view(entry->service.value)},
         {"address", std::string_view(entry->address)},
         {"state", entry->is_draining ? "draining" : "ready"},
         {"revision", item.mod_revision}});
  }
}

auto directory::RemoveEndpoint(const endpoint_id& id,
                               bool is_removal_uncertain,
                               instant now) -> void {
  if (endpoints_.Find(id) == nullptr) {
    return;
  }
  endpoints_.Remove(id, is_removal_uncertain, now);
  Log(log_events::kEndpointChanged,
      {{"endpoint", std::string_view(id.value)},
       {"state", is_removal_uncertain
                     ? "missing, in use until its grace period ends"
                     : "gone"}});
}

}  // namespace daisywind::front
