#include "configuration/patch.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include "configuration/document.h"

namespace daisywind::configuration {
namespace {

using token_list = std::vector<std::string>;

auto Fail(std::string path, std::string reason) -> leaf::error_id {
  return leaf::new_error(document_error{std::move(path), std::move(reason)});
}

auto View(const json::string& text) -> std::string_view {
  return {text.data(), text.size()};
}

// Unescapes one reference token (RFC 6901). Empty when an escape is invalid.
auto Unescape(std::string_view token) -> std::optional<std::string> {
  auto text = std::string{};
  for (auto i = std::size_t{0}; i < token.size(); ++i) {
    if (token[i] != '~') {
      text += token[i];
      continue;
    }
    i += 1;
    if (i == token.size() || (token[i] != '0' && token[i] != '1')) {
      return std::nullopt;
    }
    text += token[i] == '0' ? '~' : '/';
  }
  return text;
}

auto ParsePointer(std::string_view pointer) -> std::optional<token_list> {
  auto tokens = token_list{};
  if (pointer.empty()) {
    return tokens;
  }
  if (pointer.front() != '/') {
    return std::nullopt;
  }
  auto begin = std::size_t{1};
  while (true) {
    const auto end = std::min(pointer.find('/', begin), pointer.size());
    auto token = Unescape(pointer.substr(begin, end - begin));
    if (!token) {
      return std::nullopt;
    }
    tokens.push_back(std::move(*token));
    if (end == pointer.size()) {
      return tokens;
    }
    begin = end + 1;
  }
}

auto ParseIndex(std::string_view token) -> std::optional<std::size_t> {
  if (token.empty() || (token.size() > 1 && token.front() == '0')) {
    return std::nullopt;
  }
  auto index = std::size_t{0};
  const auto* const end = token.data() + token.size();
  const auto [stop, error] = std::from_chars(token.data(), end, index);
  if (error != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return index;
}

// The object member or array element that a token refers to, or null.
auto FindChild(json::value& from, const std::string& token) -> json::value* {
  if (auto* object = from.if_object()) {
    return object->if_contains(token);
  }
  auto* array = from.if_array();
  const auto index = ParseIndex(token);
  if (array == nullptr || !index || *index >= array->size()) {
    return nullptr;
  }
  return &(*array)[*index];
}

auto Find(json::value& root, const token_list& tokens, std::size_t depth)
    -> json::value* {
  auto* value = &root;
  for (auto i = std::size_t{0}; i < depth && value != nullptr; ++i) {
    value = FindChild(*value, tokens[i]);
  }
  return value;
}

auto Find(json::value& root, const token_list& tokens) -> json::value* {
  return Find(root, tokens, tokens.size());
}

auto InsertAt(json::array& array, const std::string& token, json::value value)
    -> bool {
  const auto index =
      token == "-" ? std::optional(array.size()) : ParseIndex(token);
  if (!index || *index > array.size()) {
    return false;
  }
  array.insert(array.begin() + static_cast<std::ptrdiff_t>(*index),
               std::move(value));
  return true;
}

auto Add(json::value& root, const token_list& tokens, json::value value)
    -> bool {
  if (tokens.empty()) {
    root = std::move(value);
    return true;
  }
  auto* parent = Find(root, tokens, tokens.size() - 1);
  if (parent == nullptr) {
    return false;
  }
  if (auto* object = parent->if_object()) {
    (*object)[tokens.back()] = std::move(value);
    return true;
  }
  auto* array = parent->if_array();
  return array != nullptr && InsertAt(*array, tokens.back(), std::move(value));
}

auto Remove(json::value& root, const token_list& tokens) -> bool {
  if (tokens.empty() || Find(root, tokens) == nullptr) {
    return false;
  }
  auto* parent = Find(root, tokens, tokens.size() - 1);
  if (auto* object = parent->if_object()) {
    object->erase(tokens.back());
    return true;
  }
  auto& array = parent->get_array();
  const auto index = ParseIndex(tokens.back()).value_or(0);
  array.erase(array.begin() + static_cast<std::ptrdiff_t>(index));
  return true;
}

// One operation of a JSON Patch, and its JSON pointer within the patch.
struct patch_operation {
  const json::object* object = nullptr;
  std::string path;
};

auto PointerMember(const patch_operation& from, std::string_view name)
    -> leaf::result<token_list> {
  const auto* member = from.object->if_contains({name.data(), name.size()});
  if (member == nullptr || !member->is_string()) {
    return Fail(AppendPointer(from.path, name), "is missing or not a string");
  }
  auto tokens = ParsePointer(View(member->get_string()));
  if (!tokens) {
    return Fail(AppendPointer(from.path, name), "must be a JSON pointer");
  }
  return std::move(*tokens);
}

auto PathText(const patch_operation& from, std::string_view name)
    -> std::string {
  return StringOr(*from.object, name, "");
}

auto ValueMember(const patch_operation& from)
    -> leaf::result<const json::value*> {
  const auto* member = from.object->if_contains("value");
  if (member == nullptr) {
    return Fail(from.path + "/value", "is missing");
  }
  return member;
}

auto ApplyAdd(json::value& root, const patch_operation& from)
    -> leaf::result<void> {
  BOOST_LEAF_AUTO(path, PointerMember(from, "path"));
  BOOST_LEAF_AUTO(value, ValueMember(from));
  if (!Add(root, path, *value)) {
    return Fail(
        PathText(from, "path"),
        "cannot be added: the parent does not exist or the index is invalid");
  }
  return {};
}

auto ApplyRemove(json::value& root, const patch_operation& from)
    -> leaf::result<void> {
  BOOST_LEAF_AUTO(path, PointerMember(from, "path"));
  if (!Remove(root, path)) {
    return Fail(PathText(from, "path"), "does not exist");
  }
  return {};
}

auto ApplyReplace(json::value& root, const patch_operation& from)
    -> leaf::result<void> {
  BOOST_LEAF_AUTO(path, PointerMember(from, "path"));
  BOOST_LEAF_AUTO(value, ValueMember(from));
  auto* target = Find(root, path);
  if (target == nullptr) {
    return Fail(PathText(from, "path"), "does not exist");
  }
  *target = *value;
  return {};
}

// Equality as RFC 6902 defines it: numbers are compared by value, so 1 equals
// 1.0.
auto HasSameValue(const json::value& a, const json::value& b) -> bool {
  if (a.is_number() && b.is_number() && (a.is_double() || b.is_double())) {
    return a.to_number<double>() == b.to_number<double>();
  }
  if (a.is_array() && b.is_array()) {
    return std::equal(a.get_array().begin(), a.get_array().end(),
                      b.get_array().begin(), b.get_array().end(), HasSameValue);
  }
  if (!a.is_object() || !b.is_object() ||
      a.get_object().size() != b.get_object().size()) {
    return a == b;
  }
  return std::all_of(
      a.get_object().begin(), a.get_object().end(), [&](const auto& entry) {
        const auto* other = b.get_object().if_contains(entry.key());
        return other != nullptr && HasSameValue(entry.value(), *other);
      });
}

auto ApplyTest(json::value& root, const patch_operation& from)
    -> leaf::result<void> {
  BOOST_LEAF_AUTO(path, PointerMember(from, "path"));
  BOOST_LEAF_AUTO(value, ValueMember(from));
  const auto* target = Find(root, path);
  if (target == nullptr || !HasSameValue(*target, *value)) {
    return Fail(PathText(from, "path"),
                "does not have the value expected by the test operation");
  }
  return {};
}

auto ApplyCopy(json::value& root, const patch_operation& from)
    -> leaf::result<void> {
  BOOST_LEAF_AUTO(source, PointerMember(from, "from"));
  BOOST_LEAF_AUTO(path, PointerMember(from, "path"));
  const auto* found = Find(root, source);
  if (found == nullptr) {
    return Fail(PathText(from, "from"), "does not exist");
  }
  auto copy = *found;
  if (!Add(root, path, std::move(copy))) {
    return Fail(
        PathText(from, "path"),
        "cannot be added: the parent does not exist or the index is invalid");
  }
  return {};
}

auto ApplyMove(json::value& root, const patch_operation& from)
    -> leaf::result<void> {
  BOOST_LEAF_AUTO(source, PointerMember(from, "from"));
  BOOST_LEAF_AUTO(path, PointerMember(from, "path"));
  const auto is_inside = path.size() > source.size() &&
                         std::equal(source.begin(), source.end(), path.begin());
  if (is_inside) {
    return Fail(PathText(from, "path"), "is inside the value to be moved");
  }
  const auto* found = Find(root, source);
  if (found == nullptr) {
    return Fail(PathText(from, "from"), "does not exist");
  }
  if (source == path) {
    return {};
  }
  auto value = *found;
  if (!Remove(root, source) || !Add(root, path, std::move(value))) {
    return Fail(
        PathText(from, "path"),
        "cannot be added: the parent does not exist or the index is invalid");
  }
  return {};
}

using apply_function = leaf::result<void> (*)(json::value&,
                                              const patch_operation&);

struct operation_entry {
  std::string_view name;
  apply_function apply;
};

constexpr operation_entry kOperations[] = {
    {"add", ApplyAdd},   {"remove", ApplyRemove}, {"replace", ApplyReplace},
    {"test", ApplyTest}, {"copy", ApplyCopy},     {"move", ApplyMove},
};

auto ApplyOperation(json::value& root, const patch_operation& from)
    -> leaf::result<void> {
  const auto name = StringOr(*from.object, "op", "");
  for (const auto& entry : kOperations) {
    if (entry.name == name) {
      return entry.apply(root, from);
    }
  }
  return Fail(from.path + "/op",
              "must be one of add, remove, replace, move, copy, test");
}

auto Merge(json::value& target, const json::value& patch) -> void {
  const auto* changes = patch.if_object();
  if (changes == nullptr) {
    target = patch;
    return;
  }
  if (!target.is_object()) {
    target = json::object{};
  }
  auto& object = target.get_object();
  for (const auto& entry : *changes) {
    if (entry.value().is_null()) {
      object.erase(entry.key());
    } else {
      Merge(object[entry.key()], entry.value());
    }
  }
}

auto CollectPaths(const json::value& a,
                  const json::value& b,
                  const std::string& path,
                  std::vector<std::string>& paths) -> void {
  const auto* left = a.if_object();
  const auto* right = b.if_object();
  if (left == nullptr || right == nullptr) {
    if (a != b) {
      paths.push_back(path);
    }
    return;
  }
  for (const auto& entry : *left) {
    const auto member = AppendPointer(path, entry.key());
    const auto* other = right->if_contains(entry.key());
    if (other == nullptr) {
      paths.push_back(member);
    } else {
      CollectPaths(entry.value(), *other, member, paths);
    }
  }
  for (const auto& entry : *right) {
    if (!left->contains(entry.key())) {
      paths.push_back(AppendPointer(path, entry.key()));
    }
  }
}

}  // namespace

auto ApplyJsonPatch(const json::value& from, const json::value& patch)
    -> leaf::result<json::value> {
  const auto* operations = patch.if_array();
  if (operations == nullptr) {
    return Fail("", "a JSON Patch must be an array");
  }
  auto value = from;
  for (auto i = std::size_t{0}; i < operations->size(); ++i) {
    const auto path = "/" + std::to_string(i);
    const auto* object = (*operations)[i].if_object();
    if (object == nullptr) {
      return Fail(path, "a JSON Patch operation must be an object");
    }
    BOOST_LEAF_CHECK(ApplyOperation(value, patch_operation{object, path}));
  }
  return value;
}

auto ApplyMergePatch(const json::value& from, const json::value& patch)
    -> json::value {
  auto value = from;
  Merge(value, patch);
  return value;
}

auto ApplyPatch(const json::value& from,
                patch_kind kind,
                const json::value& patch) -> leaf::result<json::value> {
  if (kind == patch_kind::kJsonPatch) {
    return ApplyJsonPatch(from, patch);
  }
  return ApplyMergePatch(from, patch);
}

auto MergePatchBetween(const json::value& from, const json::value& to)
    -> json::value {
  const auto* before = from.if_object();
  const auto* after = to.if_object();
  if (before == nullptr || after == nullptr) {
    return to;
  }
  auto patch = json::object{};
  for (const auto& entry : *before) {
    if (!after->contains(entry.key())) {
      patch[entry.key()] = nullptr;
    }
  }
  for (const auto& entry : *after) {
    const auto* old_value = before->if_contains(entry.key());
    if (old_value == nullptr) {
      patch[entry.key()] = entry.value();
    } else if (*old_value != entry.value()) {
      patch[entry.key()] = MergePatchBetween(*old_value, entry.value());
    }
  }
  return patch;
}

auto DifferingPaths(const json::value& a,
                    const json::value& b,
                    std::size_t limit) -> std::vector<std::string> {
  auto paths = std::vector<std::string>{};
  CollectPaths(a, b, "", paths);
  std::sort(paths.begin(), paths.end());
  if (paths.size() > limit) {
    paths.resize(limit);
  }
  return paths;
}

}  // namespace daisywind::configuration
