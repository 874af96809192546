#include "common/deflate.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/error.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <utility>

namespace daisywind {

namespace zlib = boost::beast::zlib;

auto Deflate(std::string_view bytes) -> std::string {
  auto stream = zlib::deflate_stream{};
  auto deflated = std::string(stream.upper_bound(bytes.size()), '\0');
  auto params = zlib::z_params{};
  params.next_in = bytes.data();
  params.avail_in = bytes.size();
  params.next_out = deflated.data();
  params.avail_out = deflated.size();
  // There is room for all, so the only error is the end of the stream.
  auto error = boost::system::error_code{};
  stream.write(params, zlib::Flush::finish, error);
  deflated.resize(params.total_out);
  return deflated;
}

auto Inflate(std::string_view deflated, std::size_t size)
    -> std::optional<std::string> {
  auto stream = zlib::inflate_stream{};
  auto bytes = std::string(size, '\0');
  auto params = zlib::z_params{};
  params.next_in = deflated.data();
  params.avail_in = deflated.size();
  params.next_out = bytes.data();
  params.avail_out = bytes.size();
  auto error = boost::system::error_code{};
  stream.write(params, zlib::Flush::finish, error);
  const auto is_whole = error == zlib::error::end_of_stream &&
                        params.avail_in == 0 && params.total_out == size;
  return is_whole ? std::optional<std::string>(std::move(bytes)) : std::nullopt;
}

}  // namespace daisywind
