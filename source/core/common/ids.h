// Identifiers shared by all libraries.
#ifndef DAISYWIND_COMMON_IDS_H_
#define DAISYWIND_COMMON_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace daisywind {

// A string identifier of one kind of entity. Identifiers of different kinds are
// distinct types.
template <class Tag>
struct strong_name {
  std::string value;

  strong_name() = default;
  explicit strong_name(std::string name) : value(std::move(name)) {}

  auto operator<=>(const strong_name&) const = default;
  [[nodiscard]] auto empty() const -> bool { return value.empty(); }
};

using vm_id = strong_name<struct vm_tag>;
using failure_domain_id = strong_name<struct failure_domain_tag>;
using region_id = strong_name<struct region_tag>;
using organisation_id = strong_name<struct organisation_tag>;
using class_id = strong_name<struct class_tag>;
using endpoint_id = strong_name<struct endpoint_tag>;
using model_id = strong_name<struct model_tag>;
using adapter_id = strong_name<struct adapter_tag>;
using branch_id = strong_name<struct branch_tag>;

// Distinguishes successive runs of a VM's process. A restarted process has lost
// its memory, so state recorded at an older incarnation no longer exists.
using incarnation = std::uint64_t;

// Version of the configuration. Zero means that none has been received yet.
using version_number = std::uint64_t;

// One incarnation of one VM's process.
struct vm_ref {
  vm_id vm;
  incarnation run = 0;

  auto operator<=>(const vm_ref&) const = default;
  [[nodiscard]] auto empty() const -> bool { return vm.empty(); }
};

// Random 128-bit identifier of a program.
struct program_id {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const program_id&) const = default;
};

// Formats a program identifier as 32 hexadecimal digits.
auto ToString(const program_id& id) -> std::string;

// Parses 32 hexadecimal digits. Returns nothing on any other text.
auto ParseProgramId(std::string_view text) -> std::optional<program_id>;

}  // namespace daisywind

template <class Tag>
struct std::hash<daisywind::strong_name<Tag>> {
  auto operator()(const daisywind::strong_name<Tag>& name) const
      -> std::size_t {
    return std::hash<std::string>{}(name.value);
  }
};

template <>
struct std::hash<daisywind::program_id> {
  auto operator()(const daisywind::program_id& id) const -> std::size_t {
    return static_cast<std::size_t>(id.high ^ id.low);
  }
};

#endif  // DAISYWIND_COMMON_IDS_H_
