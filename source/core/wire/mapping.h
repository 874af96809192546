// Mapping between value types and the types of the FlatBuffers object API. One
// overload of Fields lists the fields of a type for both directions.
#ifndef DAISYWIND_WIRE_MAPPING_H_
#define DAISYWIND_WIRE_MAPPING_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "common/digest.h"
#include "common/ids.h"
#include "common/time.h"

namespace daisywind::wire {

using byte_vector = std::vector<std::uint8_t>;

// Copies the fields of a value into a FlatBuffers object.
class wire_encoder {
 public:
  template <class T>
  using domain = const T;

  template <class T>
  auto Number(const T& from, T& to) -> void {
    to = from;
  }

  template <class Enum>
  auto Enumerator(Enum from, std::uint8_t& to, Enum /*last*/) -> void {
    to = static_cast<std::uint8_t>(from);
  }

  auto Time(const duration& from, std::int64_t& to) -> void {
    to = from.count();
  }

  auto Instant(const instant& from, std::int64_t& to) -> void {
    to = from.time_since_epoch().count();
  }

  auto Text(const std::string& from, std::string& to) -> void { to = from; }

  template <class Tag>
  auto Name(const strong_name<Tag>& from, std::string& to) -> void {
    to = from.value;
  }

  template <class Tag>
  auto Names(const std::set<strong_name<Tag>>& from,
             std::vector<std::string>& to) -> void {
    for (const auto& name : from) {
      to.push_back(name.value);
    }
  }

  auto Digest(const digest& from, byte_vector& to) -> void {
    to.assign(from.bytes.begin(), from.bytes.end());
  }

  auto Digests(const std::vector<digest>& from, byte_vector& to) -> void {
    for (const auto& item : from) {
      to.insert(to.end(), item.bytes.begin(), item.bytes.end());
    }
  }

  auto Bytes(const std::shared_ptr<const std::string>& from, byte_vector& to)
      -> void {
    if (from != nullptr) {
      to.assign(from->begin(), from->end());
    }
  }

  template <class From, class To>
  auto Object(const From& from, std::unique_ptr<To>& to) -> void {
    to = std::make_unique<To>();
    Fields(*this, from, *to);
  }

  template <class From, class To>
  auto OptionalObject(const std::optional<From>& from, std::unique_ptr<To>& to)
      -> void {
    if (from) {
      Object(*from, to);
    }
  }

  template <class From, class To>
  auto Objects(const std::vector<From>& from,
               std::vector<std::unique_ptr<To>>& to) -> void {
    for (const auto& item : from) {
      to.emplace_back();
      Object(item, to.back());
    }
  }

  // Copies the records of a map, each of which contains its key as a field.
  template <class Key, class From, class To>
  auto Table(const std::map<Key, From>& from,
             std::vector<std::unique_ptr<To>>& to,
             Key From::* /*key*/) -> void {
    for (const auto& [key, item] : from) {
      to.emplace_back();
      Object(item, to.back());
    }
  }
};

// Copies the fields of a decoded FlatBuffers object into a value and checks
// that all of them are valid.
class wire_decoder {
 public:
  template <class T>
  using domain = T;

  [[nodiscard]] auto IsValid() const -> bool { return is_valid_; }
  auto Fail() -> void { is_valid_ = false; }

  template <class T>
  auto Number(T& to, const T& from) -> void {
    to = from;
  }

  template <class Enum>
  auto Enumerator(Enum& to, std::uint8_t from, Enum last) -> void {
    is_valid_ = is_valid_ && from <= static_cast<std::uint8_t>(last);
    to = static_cast<Enum>(from);
  }

  auto Time(duration& to, std::int64_t from) -> void { to = duration(from); }

  auto Instant(instant& to, std::int64_t from) -> void {
    to = instant(duration(from));
  }

  auto Text(std::string& to, const std::string& from) -> void { to = from; }

  template <class Tag>
  auto Name(strong_name<Tag>& to, const std::string& from) -> void {
    to.value = from;
  }

  template <class Tag>
  auto Names(std::set<strong_name<Tag>>& to,
             const std::vector<std::string>& from) -> void {
    for (const auto& name : from) {
      to.insert(strong_name<Tag>(name));
    }
  }

  auto Digest(digest& to, const byte_vector& from) -> void {
    if (from.size() != kDigestBytes) {
      is_valid_ = false;
      return;
    }
    std::copy(from.begin(), from.end(), to.bytes.begin());
  }

  auto Digests(std::vector<digest>& to, const byte_vector& from) -> void {
    if (from.size() % kDigestBytes != 0) {
      is_valid_ = false;
      return;
    }
    to.resize(from.size() / kDigestBytes);
    auto at = from.begin();
    for (auto& item : to) {
      std::copy_n(at, kDigestBytes, item.bytes.begin());
      at += kDigestBytes;
    }
  }

  auto Bytes(std::shared_ptr<const std::string>& to, const byte_vector& from)
      -> void {
    if (!from.empty()) {
      to = std::make_shared<const std::string>(from.begin(), from.end());
    }
  }

  template <class To, class From>
  auto Object(To& to, const std::unique_ptr<From>& from) -> void {
    if (from == nullptr) {
      is_valid_ = false;
      return;
    }
    Fields(*this, to, *from);
  }

  template <class To, class From>
  auto OptionalObject(std::optional<To>& to, const std::unique_ptr<From>& from)
      -> void {
    if (from != nullptr) {
      Object(to.emplace(), from);
    }
  }

  template <class To, class From>
  auto Objects(std::vector<To>& to,
               const std::vector<std::unique_ptr<From>>& from) -> void {
    for (const auto& item : from) {
      Object(to.emplace_back(), item);
    }
  }

  template <class Key, class To, class From>
  auto Table(std::map<Key, To>& to,
             const std::vector<std::unique_ptr<From>>& from,
             Key To::*key) -> void {
    for (const auto& item : from) {
      auto record = To{};
      Object(record, item);
      const auto name = record.*key;
      to.emplace(name, std::move(record));
    }
  }

 private:
  bool is_valid_ = true;
};

// The value type as a parameter of Fields: constant when it is encoded.
template <class Direction, class T>
using domain_of = typename Direction::template domain<T>;

}  // namespace daisywind::wire

#endif  // DAISYWIND_WIRE_MAPPING_H_
