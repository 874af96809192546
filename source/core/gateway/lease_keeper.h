// The reconciler's lease in the key-value service.
#ifndef DAISYWIND_GATEWAY_LEASE_KEEPER_H_
#define DAISYWIND_GATEWAY_LEASE_KEEPER_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

#include "common/ids.h"
#include "common/time.h"
#include "kv/client.h"
#include "migration/events.h"

namespace daisywind::gateway {

// Holds at most one lease and the key under it. The fencing number is the
// revision at which the key was created, so that it grows with each holder.
class lease_keeper {
 public:
  lease_keeper(kv::client& client, const vm_ref& self);

  // Creates the key under a new lease, unless another VM holds it.
  auto Acquire(duration time_to_live)
      -> boost::asio::awaitable<migration::event>;

  // Renews the lease that belongs to the fencing number.
  auto Renew(std::uint64_t fence, duration time_to_live)
      -> boost::asio::awaitable<migration::event>;

  // Ends the lease.
  auto Release() -> boost::asio::awaitable<void>;

 private:
  auto Granted(std::uint64_t fence, instant asked, duration time_to_live)
      -> migration::event;

  kv::client& client_;
  std::string holder_;
  kv::lease_id lease_ = 0;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_LEASE_KEEPER_H_
