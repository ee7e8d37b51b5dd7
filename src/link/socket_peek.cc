#include "link/socket_peek.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>

namespace pomeloring {

using boost::asio::ip::tcp;

SocketPeek PeekSocket(tcp::socket& socket) {
  char byte = 0;
  boost::system::error_code error;
  socket.non_blocking(true, error);
  socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek,
                 error);
  if (!error) {
    return SocketPeek::kBytes;
  }
  return error == boost::asio::error::would_block ? SocketPeek::kNothing
                                                  : SocketPeek::kClosed;
}

bool IsHalfClosed(tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  return ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                      &size) == 0 &&
         info.tcpi_state == TCP_CLOSE_WAIT;
}

}  // namespace pomeloring
