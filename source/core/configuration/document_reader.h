// Typed access to members of JSON objects. Errors contain the JSON pointer of
// the member.
#ifndef DAISYWIND_CONFIGURATION_DOCUMENT_READER_H_
#define DAISYWIND_CONFIGURATION_DOCUMENT_READER_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "common/ids.h"
#include "common/json.h"

namespace daisywind::configuration {

// Inclusive bounds of an integral member.
struct integer_bounds {
  std::int64_t minimum = 0;
  std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
};

// Reads one JSON object at a known path. All failures are document_error.
class object_reader {
 public:
  // Fails when the value is not an object.
  static auto Open(const json::value& value, std::string path)
      -> leaf::result<object_reader>;

  // Fails when the object has a member that is not in the list.
  auto AllowOnly(std::initializer_list<std::string_view> names) const
      -> leaf::result<void>;

  // Each of these reads a member. It fails when the member is absent and there
  // is no fallback, has the wrong type, or is out of range.
  auto String(std::string_view name,
              std::optional<std::string> fallback = std::nullopt) const
      -> leaf::result<std::string>;
  auto Integer(std::string_view name,
               integer_bounds bounds,
               std::optional<std::int64_t> fallback = std::nullopt) const
      -> leaf::result<std::int64_t>;
  // A number greater than or equal to zero.
  auto Number(std::string_view name,
              std::optional<double> fallback = std::nullopt) const
      -> leaf::result<double>;
  auto Bool(std::string_view name, bool fallback) const -> leaf::result<bool>;

  // Reads an array of distinct names. An absent member reads as empty.
  template <class Name>
  auto Names(std::string_view name) const -> leaf::result<std::set<Name>> {
    auto names = std::set<Name>{};
    BOOST_LEAF_AUTO(texts, NameTexts(name));
    for (const auto& text : texts) {
      names.insert(Name(text));
    }
    return names;
  }

  // Reads an object whose members are named entries. An absent member reads as
  // empty. `read` is called with each entry and its path.
  template <class Key, class Value, class Read>
  auto Entries(std::string_view name, Read read) const
      -> leaf::result<std::map<Key, Value>> {
    auto entries = std::map<Key, Value>{};
    const auto* member = Find(name);
    if (member == nullptr) {
      return entries;
    }
    BOOST_LEAF_AUTO(section, Open(*member, PathOf(name)));
    for (const auto& [key, value] : *section.object_) {
      BOOST_LEAF_CHECK(section.CheckName(key));
      BOOST_LEAF_AUTO(entry, read(value, section.PathOf(key)));
      entries.emplace(Key(std::string(key)), std::move(entry));
    }
    return entries;
  }

  // Reads an optional member. `read` is called with its value and its path.
  template <class Value, class Read>
  auto Optional(std::string_view name, Read read) const
      -> leaf::result<std::optional<Value>> {
    const auto* member = Find(name);
    if (member == nullptr) {
      return std::optional<Value>();
    }
    BOOST_LEAF_AUTO(value, read(*member, PathOf(name)));
    return std::optional<Value>(std::move(value));
  }

  // The JSON pointer of a member.
  [[nodiscard]] auto PathOf(std::string_view name) const -> std::string;

  // Creates a document_error at a member.
  [[nodiscard]] auto Fail(std::string_view name, std::string reason) const
      -> leaf::error_id;

 private:
  object_reader(const json::object& object, std::string path)
      : object_(&object), path_(std::move(path)) {}

  [[nodiscard]] auto Find(std::string_view name) const -> const json::value*;
  [[nodiscard]] auto CheckName(std::string_view name) const
      -> leaf::result<void>;
  [[nodiscard]] auto NameTexts(std::string_view name) const
      -> leaf::result<std::set<std::string>>;

  const json::object* object_;
  std::string path_;
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_DOCUMENT_READER_H_
