// Defines ClientConnection: one client's HTTP connection. A read is always
// pending, so that a disconnect is noticed while a request is in progress.

#ifndef POMELORING_GATEWAY_CLIENT_CONNECTION_H_
#define POMELORING_GATEWAY_CLIENT_CONNECTION_H_

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "routing/routing_config.h"

namespace pomeloring {

using ClientRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

// The client closed the connection or exceeded the idle timeout; no reply is
// sent.
struct ConnectionEnded {};
// The received bytes are not a request that can be served.
struct BadClientRequest {
  unsigned status = 400;
  std::string reason;
};

using ReadClientResult =
    std::variant<ClientRequest, ConnectionEnded, BadClientRequest>;

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  explicit ClientConnection(boost::asio::ip::tcp::socket socket);

  // Starts reading. Call exactly once.
  void Start();
  // Waits for the next request, and rejects one that exceeds `limits` or that
  // HTTP parsers may interpret differently.
  boost::asio::awaitable<ReadClientResult> ReadRequest(ClientLimits limits);
  // Writes all of `bytes`. Returns false if the client has disconnected.
  boost::asio::awaitable<bool> Write(std::string bytes);
  void Close();

  // Calls `on_disconnect` once when the client disconnects, or now if it has
  // done so already. Null removes the handler.
  void SetDisconnectHandler(std::function<void()> on_disconnect);
  bool IsDisconnected() const { return m_is_disconnected; }
  bool IsIdle() const { return m_idle; }

 private:
  void ReadMore();
  boost::asio::awaitable<bool> WaitForBytes(
      std::chrono::steady_clock::time_point deadline);

  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer m_data_arrived;
  boost::beast::flat_buffer m_buffer;
  std::array<char, 8192> m_chunk;
  std::function<void()> m_on_disconnect;
  bool m_read_pending = false;
  bool m_is_disconnected = false;
  bool m_idle = true;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_CLIENT_CONNECTION_H_
