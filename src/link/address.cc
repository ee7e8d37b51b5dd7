#include "link/address.h"

#include <charconv>

namespace pomeloring {
namespace {

template <typename Endpoint>
std::optional<Endpoint> Parse(std::string_view address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  uint16_t port = 0;
  const char* begin = address.data() + colon + 1;
  const char* end = address.data() + address.size();
  const auto [rest, parse_error] = std::from_chars(begin, end, port);
  if (parse_error != std::errc{} || rest != end) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(
      std::string(address.substr(0, colon)), error);
  if (error) {
    return std::nullopt;
  }
  return Endpoint(ip, port);
}

}  // namespace

std::optional<boost::asio::ip::tcp::endpoint> ParseTcpAddress(
    std::string_view address) {
  return Parse<boost::asio::ip::tcp::endpoint>(address);
}

std::optional<boost::asio::ip::udp::endpoint> ParseUdpAddress(
    std::string_view address) {
  return Parse<boost::asio::ip::udp::endpoint>(address);
}

}  // namespace pomeloring
