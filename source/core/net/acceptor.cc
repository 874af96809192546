#include "net/acceptor.h"

#include <boost/asio.hpp>
#include <string_view>

#include "common/logging.h"

namespace daisywind::net {

namespace asio = boost::asio;

auto OpenAcceptor(asio::ip::tcp::acceptor& acceptor,
                  const socket_address& address) -> std::uint16_t {
  auto error = boost::system::error_code{};
  const auto ip = asio::ip::make_address(address.host, error);
  const auto listen_endpoint = asio::ip::tcp::endpoint(ip, address.port);
  if (!error) {
    acceptor.open(listen_endpoint.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(listen_endpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    auto ignored = boost::system::error_code{};
    acceptor.close(ignored);
    const auto text = ToString(address);
    const auto reason = error.message();
    Log(log_events::kListenFailed, {{"address", std::string_view(text)},
                                    {"reason", std::string_view(reason)}});
    return 0;
  }
  return acceptor.local_endpoint().port();
}

auto CanListen(const socket_address& address) -> bool {
  auto context = asio::io_context(1);
  auto acceptor = asio::ip::tcp::acceptor(context);
  return OpenAcceptor(acceptor, address) != 0;
}

}  // namespace daisywind::net
