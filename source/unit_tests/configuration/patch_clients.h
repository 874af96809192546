// Simulated operators that send patches in fault-injection tests.
#ifndef DAISYWIND_UNIT_TESTS_CONFIGURATION_PATCH_CLIENTS_H_
#define DAISYWIND_UNIT_TESTS_CONFIGURATION_PATCH_CLIENTS_H_

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <variant>

#include "common/random.h"
#include "fake_fleet.h"

namespace daisywind::configuration {

// A merge patch that sets the capacity of one endpoint of the sample document.
inline auto CapacityPatch(std::int64_t capacity) -> std::string {
  return R"({"endpoints":{"agent-1":{"capacity":)" + std::to_string(capacity) +
         "}}}";
}

// Sends patches, and resends each one with the same patch id until its outcome
// is known.
class patch_clients {
 public:
  patch_clients(fake_fleet& fleet, random_source& random, std::size_t nodes)
      : fleet_(&fleet), random_(&random), nodes_(nodes) {}

  auto Race(std::size_t racers) -> void {
    const auto base =
        fleet_->At(random_->UniformBelow(nodes_)).system->Number();
    for (auto i = std::size_t{0}; i < racers; ++i) {
      last_patch_ += 1;
      Send({"p" + std::to_string(last_patch_), base,
            static_cast<std::int64_t>(last_patch_)});
    }
  }

  // Processes the replies received so far, and resends patches whose outcome is
  // unknown.
  auto ResolveAnswered() -> void {
    for (const auto& [id, item] : std::exchange(pending_, {})) {
      if (fleet_->patch_replies.contains(id)) {
        Resolve(id, item);
      } else {
        pending_[id] = item;
      }
    }
  }

  auto RunUntilAllResolved() -> void {
    while (!pending_.empty()) {
      fleet_->Run(11s);
      for (const auto& [id, item] : std::exchange(pending_, {})) {
        Resolve(id, item);
      }
    }
  }

  [[nodiscard]] auto accepted() const
      -> const std::map<std::string, version_number>& {
    return accepted_;
  }
  [[nodiscard]] auto resends() const -> std::size_t { return resends_; }

 private:
  struct patch {
    std::string name;
    version_number base = 0;
    std::int64_t capacity = 0;
  };

  auto Send(const patch& item) -> void {
    const auto node = random_->UniformBelow(nodes_);
    const auto id =
        fleet_->Patch(node, item.base, item.name, CapacityPatch(item.capacity));
    pending_[id] = item;
  }

  // A patch without a reply was sent to a VM that has been killed.
  auto Resolve(request_id id, const patch& item) -> void {
    const auto found = fleet_->patch_replies.find(id);
    const auto is_unresolved =
        found == fleet_->patch_replies.end() ||
        std::holds_alternative<patch_unavailable>(found->second);
    if (is_unresolved) {
      resends_ += 1;
      Send(item);
    } else if (const auto* done = std::get_if<patch_accepted>(&found->second)) {
      accepted_[item.name] = done->number;
    }
  }

  fake_fleet* fleet_;
  random_source* random_;
  std::size_t nodes_;
  std::map<request_id, patch> pending_;
  std::map<std::string, version_number> accepted_;
  std::size_t last_patch_ = 0;
  std::size_t resends_ = 0;
};

// Version numbers of all patches in the service's history, keyed by patch id.
// Checks that the history has no gap and contains no patch twice.
auto CheckedHistory(fake_fleet& fleet) -> std::map<std::string, version_number>;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_UNIT_TESTS_CONFIGURATION_PATCH_CLIENTS_H_
