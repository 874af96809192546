#include <algorithm>
#include <array>

#include "standin/engine_role.h"
#include "standin/kv_role.h"
#include "standin/role.h"
#include "standin/service_role.h"
#include "standin/vms_role.h"
#include "standin/weights_role.h"

namespace daisywind::standin {
namespace {

using role_factory = std::unique_ptr<role> (*)(boost::asio::io_context&,
                                               const stand_in_options&);

template <class Role>
auto Make(boost::asio::io_context& context, const stand_in_options& options)
    -> std::unique_ptr<role> {
  return std::make_unique<Role>(context, options);
}

struct role_entry {
  std::string_view name;
  role_factory make;
};

constexpr auto kRoles = std::to_array<role_entry>({
    {"kv", Make<kv_role>},
    {"engine", Make<engine_role>},
    {"service", Make<service_role>},
    {"weights", Make<weights_role>},
    {"vms", Make<vms_role>},
});

}  // namespace

auto MakeRole(std::string_view name,
              boost::asio::io_context& context,
              const stand_in_options& options) -> std::unique_ptr<role> {
  const auto* found =
      std::find_if(kRoles.begin(), kRoles.end(),
                   [&](const role_entry& entry) { return entry.name == name; });
  return found == kRoles.end() ? nullptr : found->make(context, options);
}

}  // namespace daisywind::standin
