// A fake of the key-value service that grants the reconciler's lease.
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
  // Each call takes effect if the VM can reach the service. Acquire and Renew
  // return the event that the VM receives, which reports an unknown outcome
  // when the request or its response is lost.
  auto Acquire(const std::string& vm, duration time_to_live, instant now)
      -> migration::event;
  auto Renew(const std::string& vm,
             const migration::renew_lease& item,
             instant now) -> migration::event;
  auto Release(const std::string& vm, std::uint64_t fence, instant now) -> void;

  // Whether the service is up and not cut off from the VM.
  [[nodiscard]] auto IsReachableFrom(const std::string& vm) const -> bool;

  // Fencing number of the current lease, or zero when the lease has expired.
  [[nodiscard]] auto CurrentFence(instant now) const -> std::uint64_t;

  // The VM that acquired the lease last; empty before the first grant.
  [[nodiscard]] auto holder() const -> const std::string& { return holder_; }

  bool is_up = true;
  bool drops_responses = false;
  duration delay = 2ms;
  // VMs that cannot reach the service.
  std::set<std::string> unreachable_from;

 private:
  std::uint64_t revision_ = 100;
  std::uint64_t fence_ = 0;
  std::string holder_;
  instant expires_at_{};
};

}  // namespace daisywind::testing

#endif  // DAISYWIND_TESTING_FAKE_LEASE_SERVICE_H_
