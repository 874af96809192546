// Event stream of one watch of the key-value service.
#ifndef DAISYWIND_KV_WATCH_STREAM_H_
#define DAISYWIND_KV_WATCH_STREAM_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kv/etcd_json.h"
#include "net/http_client.h"

namespace daisywind::kv {

// Reads the messages of a watch. Destroying it ends the watch.
class watch_stream {
 public:
  // Maximum size of a message, in bytes.
  static constexpr std::size_t kMaxMessageBytes = std::size_t{4} * 1024 * 1024;

  explicit watch_stream(std::unique_ptr<net::http_body_stream> body);

  // Returns the next changes, or nothing when the watch has ended. No change is
  // missed if the next watch starts at the revision after the last change.
  auto Next()
      -> boost::asio::awaitable<std::optional<std::vector<watch_change>>>;

  // Ends the watch. A pending Next returns nothing.
  auto Cancel() -> void;

 private:
  auto TakeLine() -> std::optional<std::string>;

  std::unique_ptr<net::http_body_stream> body_;
  std::string pending_;
};

}  // namespace daisywind::kv

#endif  // DAISYWIND_KV_WATCH_STREAM_H_
