// The reconciler's lease in the key-value service.
#ifndef DAISYWIND_GATEWAY_RECONCILER_LEASE_H_
#define DAISYWIND_GATEWAY_RECONCILER_LEASE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

#include "common/ids.h"
#include "common/time.h"
#include "kv/client.h"
#include "migration/events.h"

namespace daisywind::gateway {

// Holds at most one lease and the reconciler key attached to it. The fencing
// token is the revision at which the key was created, so that it increases with
// each holder.
class reconciler_lease {
 public:
  reconciler_lease(kv::client& client, const vm_ref& self);

  // Creates the key under a new lease, unless another VM holds it.
  auto Acquire(duration time_to_live)
      -> boost::asio::awaitable<migration::event>;

  // Renews the lease that belongs to the fencing token.
  auto Renew(std::uint64_t fence, duration time_to_live)
      -> boost::asio::awaitable<migration::event>;

  // Revokes the lease, which deletes the key.
  auto Release() -> boost::asio::awaitable<void>;

 private:
  auto MakeLeaseGranted(std::uint64_t fence,
                        instant requested_at,
                        duration time_to_live) -> migration::event;

  kv::client& client_;
  std::string holder_;
  kv::lease_id lease_ = 0;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_RECONCILER_LEASE_H_
