#include "membership_wire/member_json.h"

#include "common/json.h"
#include "net/http_types.h"

namespace daisywind::membership {

auto MemberKey(const vm_id& vm) -> std::string {
  return std::string(kMemberPrefix) + vm.value;
}

auto RenderMember(const member& from) -> std::string {
  return json::serialize(
      json::object{{"vm", from.ref.vm.value},
                   {"run", from.ref.run},
                   {"address", from.address},
                   {"failure_domain", from.failure_domain.value},
                   {"region", from.region.value}});
}

auto ParseMember(const kv::key_value& item) -> std::optional<member> {
  auto error = json::error_code{};
  const auto value = json::parse({item.value.data(), item.value.size()}, error);
  const auto* object = error ? nullptr : value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto run = IntegerOr(*object, "run", 0);
  auto read = member{};
  read.ref.vm = vm_id(StringOr(*object, "vm", ""));
  read.address = StringOr(*object, "address", "");
  read.failure_domain =
      failure_domain_id(StringOr(*object, "failure_domain", ""));
  read.region = region_id(StringOr(*object, "region", ""));
  const auto address = net::ParseSocketAddress(read.address);
  if (run <= 0 || read.ref.vm.empty() || item.key != MemberKey(read.ref.vm) ||
      !address || !net::IsConnectable(*address)) {
    return std::nullopt;
  }
  read.ref.run = static_cast<incarnation>(run);
  return read;
}

}  // namespace daisywind::membership
