// Fakes of a model engine, as the migration system sees it, and of the weight
// store that the engine loads from.
#ifndef DAISYWIND_TESTING_FAKE_ENGINE_H_
#define DAISYWIND_TESTING_FAKE_ENGINE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"
#include "migration/events.h"
#include "migration/wanted_state.h"

namespace daisywind::testing {

// Limits the number of concurrent transfers over all engines to `slots`.
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

  // Handles an order as POST /v1/orders does.
  auto HandleOrder(const migration::send_order& order)
      -> migration::order_outcome;

  // Starts a request for a model that runs until `end`. With `holds_session` it
  // also adds a session. Returns false when the engine refuses the request.
  auto StartRequest(const model_id& model, instant end, bool holds_session)
      -> bool;

  // Ends the requests and transfers that are due at `now` and starts queued
  // transfers while the weight store has free slots.
  auto Tick(instant now) -> void;

  // Discards loaded models, requests, sessions and the fencing number, as a
  // process restart does.
  auto Restart() -> void;

  auto ReleaseSessions() -> void { sessions_ = 0; }

  // Sets the engine's initial state without an order.
  auto Preload(const migration::engine_order& state) -> void;

  [[nodiscard]] auto Report() const -> migration::engine_report;
  [[nodiscard]] auto Serves(const model_id& model) const -> bool;
  [[nodiscard]] auto IsEmpty() const -> bool;
  [[nodiscard]] auto checks_fencing() const -> bool { return checks_fencing_; }
  // Number of running requests aborted by an order to become empty.
  [[nodiscard]] auto aborted_requests() const -> std::uint64_t {
    return aborted_requests_;
  }

  bool is_reachable = true;

 private:
  // A queued or running transfer of a model or adapter. `end` is valid while it
  // is running.
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
  std::vector<instant> request_ends_;
  std::uint64_t sessions_ = 0;
  std::uint64_t aborted_requests_ = 0;
};

}  // namespace daisywind::testing

#endif  // DAISYWIND_TESTING_FAKE_ENGINE_H_
