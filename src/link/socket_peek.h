// Defines PeekSocket() and IsHalfClosed(): what has arrived on a connection,
// and its state, without reading from it.

#ifndef POMELORING_LINK_SOCKET_PEEK_H_
#define POMELORING_LINK_SOCKET_PEEK_H_

#include <boost/asio/ip/tcp.hpp>

namespace pomeloring {

enum class SocketPeek {
  kNothing,
  kBytes,
  kClosed,  // By the other side, or the connection is broken.
};

// Does not wait. Makes the socket non-blocking.
SocketPeek PeekSocket(boost::asio::ip::tcp::socket& socket);

// Whether the other side has closed its half of the connection, and the
// connection has not been reset or timed out since. Unlike a socket's error,
// the state is not consumed by a call that reports it.
bool IsHalfClosed(boost::asio::ip::tcp::socket& socket);

}  // namespace pomeloring

#endif  // POMELORING_LINK_SOCKET_PEEK_H_
