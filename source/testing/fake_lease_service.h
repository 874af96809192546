// The reconciler's lease as the key-value service keeps it.
#ifndef DAISYWIND_TESTING_FAKE_LEASE_SERVICE_H_
#define DAISYWIND_TESTING_FAKE_LEASE_SERVICE_H_

#include <cstdint>
#include <set>
#include <string>

#include "common/time.h"
#include "migration/events.h"

namespace daisywind::testing {

class fake_lease_service {
 public:
  // Each of these takes effect, as far as the service is reached, and returns
  // what the VM then hears.
  auto Acquire(const std::string& vm, duration time_to_live, instant now)
      -> migration::event;
  auto Renew(const std::string& vm,
             const migration::renew_lease& item,
             instant now) -> migration::event;
  auto Release(const std::string& vm, std::uint64_t fence, instant now) -> void;

  // Whether the VM reaches the service.
  [[nodiscard]] auto IsReached(const std::string& vm) const -> bool;

  // The fencing number of the lease in force, or zero.
  [[nodiscard]] auto FenceInForce(instant now) const -> std::uint64_t;

  // The VM that held the lease last.
  [[nodiscard]] auto holder() const -> const std::string& { return holder_; }

  bool is_up = true;
  bool loses_answers = false;
  duration delay = 2ms;
  // VMs that do not reach the service.
  std::set<std::string> cut_off;

 private:
  std::uint64_t revision_ = 100;
  std::uint64_t fence_ = 0;
  std::string holder_;
  instant until_{};
};

}  // namespace daisywind::testing

#endif  // DAISYWIND_TESTING_FAKE_LEASE_SERVICE_H_
