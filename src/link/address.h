// Defines the parsing of socket addresses written as IP:port.

#ifndef POMELORING_LINK_ADDRESS_H_
#define POMELORING_LINK_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <string_view>

namespace pomeloring {

// Both return nothing unless `address` is a numeric IP address, a colon and a
// port.
std::optional<boost::asio::ip::tcp::endpoint> ParseTcpAddress(
    std::string_view address);
std::optional<boost::asio::ip::udp::endpoint> ParseUdpAddress(
    std::string_view address);

}  // namespace pomeloring

#endif  // POMELORING_LINK_ADDRESS_H_
