// Defines HttpConnection and ConnectionPool: outgoing HTTP/1.1 with a timeout
// for every step.

#ifndef POMELORING_LINK_HTTP_CLIENT_H_
#define POMELORING_LINK_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pomeloring {

using HttpRequestMessage =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponseMessage =
    boost::beast::http::response<boost::beast::http::string_body>;

// Limits the bytes of a message that have been received and not yet parsed. A
// header, and the head of a chunk, must fit.
inline constexpr size_t kMaxUnparsedBytes = size_t{128} * 1024;

struct HttpConnection {
  explicit HttpConnection(const boost::asio::any_io_executor& executor)
      : stream(executor), buffer(kMaxUnparsedBytes) {}
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  bool is_reused = false;
};

// No connection was established, so no byte of the request was sent.
struct ConnectFailed {
  std::string address;
};
// The request may have reached the peer, but no complete reply was received.
struct ReplyLost {
  bool timed_out = false;
  uint64_t received_bytes = 0;  // Of the reply's body.
};

using ConnectionResult =
    std::variant<std::unique_ptr<HttpConnection>, ConnectFailed>;
using HttpResult = std::variant<HttpResponseMessage, ConnectFailed, ReplyLost>;

boost::asio::awaitable<ConnectionResult> OpenConnection(
    std::string address,
    std::chrono::milliseconds timeout);

using ReplyParser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

// Reads heads up to a final one, after which `parser` can read the body, of up
// to `max_body_bytes`. Interim replies are skipped. Returns
// http::error::bad_status for a head that no reply may have (see
// ClassifyReplyHead()), and after more than kMaxInterimReplies. The timeout of
// the stream applies to all heads together.
boost::asio::awaitable<boost::system::error_code> ReadFinalHead(
    HttpConnection& connection,
    uint64_t max_body_bytes,
    std::optional<ReplyParser>& parser);

// Sends one request over a new connection and reads the complete reply.
// `timeout` applies to connecting, and again to the request with its reply: for
// messages of a bounded size.
boost::asio::awaitable<HttpResult> SendHttpRequest(
    std::string address,
    HttpRequestMessage request,
    std::chrono::milliseconds timeout);

// Limits for messages of any size: each applies to a pause, none to a whole
// transfer.
struct TransferTimeouts {
  // To connect, and between two pieces of the request or of the reply.
  std::chrono::milliseconds silence{0};
  // From the end of the request until the reply begins.
  std::chrono::milliseconds first_byte{0};
};

// As above, for messages of any size.
boost::asio::awaitable<HttpResult> SendHttpRequest(std::string address,
                                                   HttpRequestMessage request,
                                                   TransferTimeouts timeouts);

// Keeps idle connections by address and event loop; a connection is only reused
// on the loop that opened it. A connection whose reply was not read to its end
// must not be put back.
class ConnectionPool {
 public:
  // Returns an open idle connection, or null.
  std::unique_ptr<HttpConnection> Take(
      const std::string& address,
      const boost::asio::any_io_executor& executor);
  // Closes the connection if enough idle ones are kept for `address`.
  void Put(const std::string& address,
           std::unique_ptr<HttpConnection> connection);

 private:
  std::mutex m_mutex;
  using PoolKey = std::pair<boost::asio::execution_context*, std::string>;
  std::map<PoolKey, std::vector<std::unique_ptr<HttpConnection>>> m_idle;
};

}  // namespace pomeloring

#endif  // POMELORING_LINK_HTTP_CLIENT_H_
