#include "history_wire/parts.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

#include "common/deflate.h"

namespace daisywind::history {
namespace {

auto StringOrEmpty(const flatbuffers::String* from) -> std::string {
  return from == nullptr ? std::string{} : from->str();
}

// Value of failed_ms for an endpoint without a recent failure.
constexpr auto kNotFailed = std::numeric_limits<std::uint16_t>::max();

// Value of per_second for an endpoint without a rate limit.
constexpr auto kNoLimit = -1.0;

auto Milliseconds(duration value) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

}  // namespace

auto Convert(const turn_fact& from) -> std::unique_ptr<fbs::FactT> {
  auto to = std::make_unique<fbs::FactT>();
  to->program = from.program.value;
  to->turn = from.turn.value;
  to->reserved_tokens = from.reserved_tokens;
  to->has_settled = from.settled_tokens.has_value();
  to->settled_tokens = from.settled_tokens.value_or(0);
  to->recorded_ms = from.recorded_ms;
  to->retention_ms = from.retention_ms;
  if (from.content) {
    to->content = std::make_unique<fbs::ContentT>();
    to->content->parent = from.content->parent.value;
    to->content->input = from.content->input;
    to->content->output = from.content->output;
    to->content->endpoint = from.content->endpoint.value;
    to->content->prompt_tokens = from.content->prompt_tokens;
    to->content->organisation = from.content->organisation.value;
  }
  return to;
}

auto Convert(fbs::FactT& from) -> turn_fact {
  auto to = turn_fact{};
  to.program = program_name(std::move(from.program));
  to.turn = turn_id(std::move(from.turn));
  to.reserved_tokens = from.reserved_tokens;
  if (from.has_settled) {
    to.settled_tokens = from.settled_tokens;
  }
  to.recorded_ms = from.recorded_ms;
  to.retention_ms = from.retention_ms;
  if (from.content != nullptr) {
    to.content =
        turn_content{turn_id(std::move(from.content->parent)),
                     std::move(from.content->input),
                     std::move(from.content->output),
                     endpoint_id(std::move(from.content->endpoint)),
                     from.content->prompt_tokens,
                     organisation_id(std::move(from.content->organisation))};
  }
  return to;
}

auto ReadFact(const fbs::Fact& from) -> turn_fact {
  auto to = turn_fact{};
  to.program = program_name(StringOrEmpty(from.program()));
  to.turn = turn_id(StringOrEmpty(from.turn()));
  to.reserved_tokens = from.reserved_tokens();
  if (from.has_settled()) {
    to.settled_tokens = from.settled_tokens();
  }
  to.recorded_ms = from.recorded_ms();
  to.retention_ms = from.retention_ms();
  if (const auto* content = from.content()) {
    to.content =
        turn_content{turn_id(StringOrEmpty(content->parent())),
                     StringOrEmpty(content->input()),
                     StringOrEmpty(content->output()),
                     endpoint_id(StringOrEmpty(content->endpoint())),
                     content->prompt_tokens(),
                     organisation_id(StringOrEmpty(content->organisation()))};
  }
  return to;
}

auto ConvertAll(const std::vector<turn_fact>& from) -> fact_objects {
  auto to = fact_objects{};
  to.reserve(from.size());
  for (const auto& fact : from) {
    to.push_back(Convert(fact));
  }
  return to;
}

auto ConvertAll(fact_objects& from) -> std::vector<turn_fact> {
  auto to = std::vector<turn_fact>{};
  to.reserve(from.size());
  for (auto& fact : from) {
    to.push_back(Convert(*fact));
  }
  return to;
}

auto Convert(const view& from) -> std::unique_ptr<fbs::ViewT> {
  auto to = std::make_unique<fbs::ViewT>();
  to->number = from.number;
  for (const auto& item : from.members) {
    auto object = std::make_unique<fbs::MemberT>();
    object->vm = item.vm.value;
    object->disk = item.disk.value;
    object->address = item.address;
    object->failure_domain = item.failure_domain.value;
    object->region = item.region.value;
    to->members.push_back(std::move(object));
  }
  return to;
}

auto Convert(const fbs::ViewT& from) -> view {
  auto to = view{};
  to.number = from.number;
  for (const auto& item : from.members) {
    to.members.push_back({vm_id(item->vm), disk_id(item->disk), item->address,
                          failure_domain_id(item->failure_domain),
                          region_id(item->region)});
  }
  return to;
}

auto Convert(const store_copy& from) -> std::unique_ptr<fbs::StoreCopyT> {
  auto to = std::make_unique<fbs::StoreCopyT>();
  to->revision = from.revision_at;
  for (const auto& item : from.items) {
    auto object = std::make_unique<fbs::ItemT>();
    object->key = item.key;
    object->value = item.value;
    object->created = item.create_revision;
    object->changed = item.mod_revision;
    to->items.push_back(std::move(object));
  }
  return to;
}

auto Convert(const deflated_item& from) -> std::unique_ptr<fbs::ItemT> {
  auto to = std::make_unique<fbs::ItemT>();
  to->key = from.item.key;
  to->deflated.assign(from.item.value.begin(), from.item.value.end());
  to->size = from.size;
  to->created = from.item.create_revision;
  to->changed = from.item.mod_revision;
  return to;
}

auto InflateItems(fbs::StoreCopyT& copy) -> bool {
  constexpr auto kMaxBytes = std::uint64_t{16} << 20U;
  auto left = kMaxBytes;
  for (const auto& item : copy.items) {
    if (item->deflated.empty()) {
      continue;
    }
    if (item->size > left) {
      return false;
    }
    left -= item->size;
    const auto deflated =
        std::string(item->deflated.begin(), item->deflated.end());
    auto value = Inflate(deflated, item->size);
    if (!value) {
      return false;
    }
    item->value = std::move(*value);
  }
  return true;
}

auto Convert(const fbs::StoreCopyT& from) -> store_copy {
  auto to = store_copy{from.revision, {}};
  for (const auto& item : from.items) {
    to.items.push_back({item->key, item->value, item->created, item->changed});
  }
  return to;
}

auto Convert(const sender_state& from) -> std::unique_ptr<fbs::SenderT> {
  auto to = std::make_unique<fbs::SenderT>();
  to->vm = from.location.vm.value;
  to->failure_domain = from.location.failure_domain.value;
  to->region = from.location.region.value;
  to->relay_address = from.relay_address;
  to->is_cut_off = !from.reaches_endpoints;
  return to;
}

auto Convert(const fbs::SenderT& from) -> sender_state {
  return {{vm_id(from.vm), failure_domain_id(from.failure_domain),
           region_id(from.region)},
          from.relay_address,
          !from.is_cut_off};
}

auto Convert(const std::vector<rate_limit_sample>& from)
    -> std::vector<fbs::LimitSample> {
  constexpr auto kMaxAge =
      std::int64_t{std::numeric_limits<std::uint32_t>::max()};
  auto to = std::vector<fbs::LimitSample>{};
  to.reserve(from.size());
  for (const auto& item : from) {
    const auto age =
        std::clamp<std::int64_t>(Milliseconds(item.age), 0, kMaxAge);
    to.emplace_back(item.endpoint, item.per_second.value_or(kNoLimit),
                    static_cast<std::uint32_t>(age));
  }
  return to;
}

auto Convert(const std::vector<fbs::LimitSample>& from)
    -> std::vector<rate_limit_sample> {
  auto to = std::vector<rate_limit_sample>{};
  to.reserve(from.size());
  for (const auto& item : from) {
    // Not a number compares as no limit as well.
    const auto per_second = item.per_second() >= 0
                                ? std::optional(item.per_second())
                                : std::nullopt;
    to.push_back({item.endpoint(), per_second,
                  std::chrono::milliseconds(item.age_ms())});
  }
  return to;
}

auto Convert(const std::vector<load_sample>& from)
    -> std::vector<fbs::LoadSample> {
  constexpr auto kMaxValue = kNotFailed - 1;
  const auto clamp = [](auto value) {
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(
        static_cast<std::int64_t>(value), 0, kMaxValue));
  };
  auto to = std::vector<fbs::LoadSample>{};
  to.reserve(from.size());
  for (const auto& item : from) {
    to.emplace_back(
        item.endpoint, clamp(Milliseconds(item.age)), clamp(item.running),
        clamp(item.waiting),
        item.failed_age ? clamp(Milliseconds(*item.failed_age)) : kNotFailed);
  }
  return to;
}

auto Convert(const std::vector<fbs::LoadSample>& from)
    -> std::vector<load_sample> {
  auto to = std::vector<load_sample>{};
  to.reserve(from.size());
  for (const auto& item : from) {
    const auto failed_age =
        item.failed_ms() == kNotFailed
            ? std::nullopt
            : std::optional<duration>(
                  std::chrono::milliseconds(item.failed_ms()));
    to.push_back({item.endpoint(), item.running(), item.waiting(),
                  std::chrono::milliseconds(item.age_ms()), failed_age});
  }
  return to;
}

auto PacesOf(const std::vector<load_sample>& from)
    -> std::vector<std::uint16_t> {
  const auto has_pace = std::any_of(
      from.begin(), from.end(),
      [](const load_sample& sample) { return sample.pace_percent != 0; });
  auto paces = std::vector<std::uint16_t>{};
  if (!has_pace) {
    return paces;
  }
  constexpr auto kMaxPace =
      std::uint32_t{std::numeric_limits<std::uint16_t>::max()};
  paces.reserve(from.size());
  for (const auto& sample : from) {
    paces.push_back(
        static_cast<std::uint16_t>(std::min(sample.pace_percent, kMaxPace)));
  }
  return paces;
}

auto WithPaces(std::vector<load_sample> samples,
               const std::vector<std::uint16_t>& paces)
    -> std::vector<load_sample> {
  for (auto i = std::size_t{0}; i < std::min(samples.size(), paces.size());
       ++i) {
    samples[i].pace_percent = paces[i];
  }
  return samples;
}

}  // namespace daisywind::history
