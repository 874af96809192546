// A model engine as the migration system sees it, and the weight store that it
// loads from.
#ifndef DAISYWIND_TESTING_FAKE_ENGINE_H_
#define DAISYWIND_TESTING_FAKE_ENGINE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"
#include "migration/events.h"
#include "migration/wanted_state.h"

namespace daisywind::testing {

// Bounds the transfers that run at once.
struct fake_weight_store {
  bool is_up = true;
  std::uint32_t slots = 2;
  std::uint32_t used = 0;
  duration transfer_time = 5s;
};

class fake_engine {
 public:
  fake_engine(bool checks_fencing, fake_weight_store& store)
      : checks_fencing_(checks_fencing), store_(&store) {}

  // Takes an order as POST /v1/orders does.
  auto TakeOrder(const migration::send_order& order)
      -> migration::order_outcome;

  // Takes a request for a model. Returns false when it is refused.
  auto TakeWork(const model_id& model, instant end, bool holds_memory) -> bool;

  // Ends work and transfers that are due and starts transfers.
  auto Tick(instant now) -> void;

  // Loses everything but the address, as a restart does.
  auto Restart() -> void;

  auto ReleaseSessions() -> void { sessions_ = 0; }

  // Puts the engine in a state without an order, at the start of a test.
  auto Preload(const migration::engine_order& state) -> void;

  [[nodiscard]] auto Report() const -> migration::engine_report;
  [[nodiscard]] auto Serves(const model_id& model) const -> bool;
  [[nodiscard]] auto IsEmpty() const -> bool;
  [[nodiscard]] auto checks_fencing() const -> bool { return checks_fencing_; }
  // Requests that an order to be empty has cut off.
  [[nodiscard]] auto cut_requests() const -> std::uint64_t {
    return cut_requests_;
  }

  bool is_reachable = true;

 private:
  // One model or adapter to load.
  struct transfer {
    std::string name;
    std::string version;
    bool is_adapter = false;
    bool is_running = false;
    instant end{};
  };

  auto Queue(const std::string& name,
             const std::string& version,
             bool is_adapter) -> void;
  auto StopTransfersExcept(const migration::engine_order& order) -> void;

  bool checks_fencing_;
  fake_weight_store* store_;
  migration::engine_order state_{{}, {}, migration::endpoint_role::kEmpty};
  version_number version_ = 0;
  std::uint64_t fence_ = 0;
  std::vector<transfer> transfers_;
  std::vector<instant> running_;
  std::uint64_t sessions_ = 0;
  std::uint64_t cut_requests_ = 0;
};

}  // namespace daisywind::testing

#endif  // DAISYWIND_TESTING_FAKE_ENGINE_H_
