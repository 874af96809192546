// The encoder and the decoder of single fields.
#ifndef DAISYWIND_PROGRAM_WIRE_WALKERS_H_
#define DAISYWIND_PROGRAM_WIRE_WALKERS_H_

#include <concepts>
#include <cstring>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "program_wire/field_lists.h"

namespace daisywind::program_wire {

// The wire table of each alternative of a union, in the order of the variant.
using update_tables = std::tuple<BranchStartedT,
                                 BranchJoinedT,
                                 IntentT,
                                 WithdrawalT,
                                 SettlementT,
                                 DoubtToldT,
                                 ProgramEndedT,
                                 HolderReleasedT>;
static_assert(std::tuple_size_v<update_tables> ==
              std::variant_size_v<program::state_update>);

using body_tables = std::tuple<ForwardCallT,
                               ForwardControlT,
                               ForwardAcceptedT,
                               ForwardPollT,
                               ForwardRedirectT,
                               ForwardCancelT,
                               CallPartT,
                               CallEndT,
                               CallProblemT,
                               ControlReplyT,
                               DoubtDeliveredT,
                               RecordUpdateT,
                               RecordAckT,
                               PrepareT,
                               PromiseT,
                               AcceptT,
                               AcceptedT,
                               BallotRefusedT,
                               InstallT,
                               InstallAckT,
                               LateSettlementT,
                               LateSettlementAckT,
                               LocateT,
                               LocateReplyT,
                               DiscardT>;
static_assert(std::tuple_size_v<body_tables> ==
              std::variant_size_v<program::message>);

// The highest value of an enumeration that crosses the wire.
constexpr auto LastOf(program::outcome /*type*/) -> program::outcome {
  return program::outcome::kDone;
}
constexpr auto LastOf(program::refusal_reason /*type*/)
    -> program::refusal_reason {
  return program::refusal_reason::kOverloaded;
}
constexpr auto LastOf(program::call_kind /*type*/) -> program::call_kind {
  return program::call_kind::kService;
}
constexpr auto LastOf(program::call_phase /*type*/) -> program::call_phase {
  return program::call_phase::kWithdrawn;
}
constexpr auto LastOf(program::control_action /*type*/)
    -> program::control_action {
  return program::control_action::kQuery;
}

// Splits a digest into two words and joins it again.
inline auto ToWords(const digest& item) -> Digest {
  auto words = std::array<std::uint64_t, 2>{};
  std::memcpy(words.data(), item.bytes.data(), kDigestBytes);
  return Digest{words[0], words[1]};
}

inline auto FromWords(const Digest& wire) -> digest {
  const auto words = std::array<std::uint64_t, 2>{wire.high(), wire.low()};
  auto item = digest{};
  std::memcpy(item.bytes.data(), words.data(), kDigestBytes);
  return item;
}

template <class T>
concept plain_number = std::is_arithmetic_v<T>;

template <class T>
concept plain_enum = std::is_enum_v<T>;

// Writes fields into wire tables.
struct encoder {
  template <plain_number T>
  auto operator()(T& item, T& wire) -> void {
    wire = item;
  }
  template <plain_enum T>
  auto operator()(T& item, std::uint8_t& wire) -> void {
    wire = static_cast<std::uint8_t>(item);
  }
  auto operator()(std::string& item, std::string& wire) -> void { wire = item; }
  template <class Tag>
  auto operator()(strong_name<Tag>& item, std::string& wire) -> void {
    wire = item.value;
  }
  auto operator()(program::payload& item, std::string& wire) -> void {
    wire = program::BytesOf(item);
  }
  auto operator()(duration& item, std::int64_t& wire) -> void {
    wire = item.count();
  }
  auto operator()(digest& item, std::unique_ptr<Digest>& wire) -> void {
    wire = std::make_unique<Digest>(ToWords(item));
  }
  auto operator()(program_id& item, std::unique_ptr<ProgramId>& wire) -> void {
    wire = std::make_unique<ProgramId>(item.high, item.low);
  }
  auto operator()(program::budget& item, std::unique_ptr<Budget>& wire)
      -> void {
    wire = std::make_unique<Budget>(item.tokens, item.calls, item.time.count());
  }
  auto operator()(std::vector<digest>& item, std::vector<Digest>& wire)
      -> void {
    for (const auto& value : item) {
      wire.push_back(ToWords(value));
    }
  }
  auto operator()(std::set<endpoint_id>& item, std::vector<std::string>& wire)
      -> void {
    for (const auto& value : item) {
      wire.push_back(value.value);
    }
  }
  template <class T, class W>
  auto operator()(T& item, std::unique_ptr<W>& wire) -> void {
    wire = std::make_unique<W>();
    Walk(*this, item, *wire);
  }
  template <class T, class W>
  auto operator()(std::optional<T>& item, std::unique_ptr<W>& wire) -> void {
    if (item) {
      (*this)(*item, wire);
    }
  }
  template <class T, class W>
  auto operator()(std::vector<T>& item, std::vector<std::unique_ptr<W>>& wire)
      -> void {
    for (auto& value : item) {
      (*this)(value, wire.emplace_back());
    }
  }
  template <class K, class T, class W>
  auto operator()(std::map<K, T>& item, std::vector<std::unique_ptr<W>>& wire)
      -> void {
    for (auto& [key, value] : item) {
      (*this)(value, wire.emplace_back());
    }
  }
  auto operator()(program::state_update& item, StateUpdateUnion& wire) -> void {
    Choose<update_tables>(item, wire);
  }
  auto operator()(std::optional<program::state_update>& item,
                  StateUpdateUnion& wire) -> void {
    if (item) {
      (*this)(*item, wire);
    }
  }
  auto operator()(program::message& item, BodyUnion& wire) -> void {
    Choose<body_tables>(item, wire);
  }

  template <class Tables, std::size_t I = 0, class Variant, class Union>
  auto Choose(Variant& item, Union& wire) -> void {
    if constexpr (I < std::variant_size_v<Variant>) {
      if (item.index() != I) {
        Choose<Tables, I + 1>(item, wire);
        return;
      }
      auto table = std::tuple_element_t<I, Tables>{};
      Walk(*this, std::get<I>(item), table);
      wire.Set(std::move(table));
    }
  }
};

// Reads fields from wire tables. `is_valid` turns false on a value that no
// encoder writes.
struct decoder {
  bool is_valid = true;

  template <plain_number T>
  auto operator()(T& item, T& wire) -> void {
    item = wire;
  }
  template <plain_enum T>
  auto operator()(T& item, std::uint8_t& wire) -> void {
    is_valid = is_valid && wire <= static_cast<std::uint8_t>(LastOf(T{}));
    item = static_cast<T>(wire);
  }
  auto operator()(std::string& item, std::string& wire) -> void { item = wire; }
  template <class Tag>
  auto operator()(strong_name<Tag>& item, std::string& wire) -> void {
    item.value = wire;
  }
  auto operator()(program::payload& item, std::string& wire) -> void {
    if (!wire.empty()) {
      item = program::MakePayload(std::move(wire));
    }
  }
  auto operator()(duration& item, std::int64_t& wire) -> void {
    item = duration{wire};
  }
  auto operator()(digest& item, std::unique_ptr<Digest>& wire) -> void {
    if (wire) {
      item = FromWords(*wire);
    }
  }
  auto operator()(program_id& item, std::unique_ptr<ProgramId>& wire) -> void {
    if (wire) {
      item = program_id{wire->high(), wire->low()};
    }
  }
  auto operator()(program::budget& item, std::unique_ptr<Budget>& wire)
      -> void {
    if (wire) {
      item = program::budget{wire->tokens(), wire->calls(),
                             duration{wire->time_us()}};
    }
  }
  auto operator()(std::vector<digest>& item, std::vector<Digest>& wire)
      -> void {
    for (const auto& value : wire) {
      item.push_back(FromWords(value));
    }
  }
  auto operator()(std::set<endpoint_id>& item, std::vector<std::string>& wire)
      -> void {
    for (auto& value : wire) {
      item.insert(endpoint_id{std::move(value)});
    }
  }
  template <class T, class W>
  auto operator()(T& item, std::unique_ptr<W>& wire) -> void {
    if (wire) {
      Walk(*this, item, *wire);
    }
  }
  template <class T, class W>
  auto operator()(std::optional<T>& item, std::unique_ptr<W>& wire) -> void {
    if (wire) {
      item.emplace();
      (*this)(*item, wire);
    }
  }
  template <class T, class W>
  auto operator()(std::vector<T>& item, std::vector<std::unique_ptr<W>>& wire)
      -> void {
    for (auto& value : wire) {
      (*this)(item.emplace_back(), value);
    }
  }
  template <class W>
  auto operator()(std::map<branch_id, program::branch_record>& item,
                  std::vector<std::unique_ptr<W>>& wire) -> void {
    for (auto& value : wire) {
      auto branch = program::branch_record{};
      (*this)(branch, value);
      const auto name = branch.name;
      item.emplace(name, std::move(branch));
    }
  }
  template <class W>
  auto operator()(std::map<program::turn_number, program::call_record>& item,
                  std::vector<std::unique_ptr<W>>& wire) -> void {
    for (auto& value : wire) {
      auto call = program::call_record{};
      (*this)(call, value);
      const auto turn = call.turn;
      item.emplace(turn, std::move(call));
    }
  }
  auto operator()(program::state_update& item, StateUpdateUnion& wire) -> void {
    Choose<update_tables>(item, wire);
  }
  auto operator()(std::optional<program::state_update>& item,
                  StateUpdateUnion& wire) -> void {
    if (wire.type != StateUpdate::NONE) {
      item.emplace();
      (*this)(*item, wire);
    }
  }
  auto operator()(program::message& item, BodyUnion& wire) -> void {
    Choose<body_tables>(item, wire);
  }

  // The tags of a union count from 1, in the order of the variant.
  template <class Tables, std::size_t I = 0, class Variant, class Union>
  auto Choose(Variant& item, Union& wire) -> void {
    if constexpr (I < std::variant_size_v<Variant>) {
      if (static_cast<std::size_t>(wire.type) != I + 1) {
        Choose<Tables, I + 1>(item, wire);
        return;
      }
      auto* table = static_cast<std::tuple_element_t<I, Tables>*>(wire.value);
      if (table == nullptr) {
        is_valid = false;
        return;
      }
      Walk(*this, item.template emplace<I>(), *table);
    } else {
      is_valid = false;
    }
  }
};

}  // namespace daisywind::program_wire

#endif  // DAISYWIND_PROGRAM_WIRE_WALKERS_H_
