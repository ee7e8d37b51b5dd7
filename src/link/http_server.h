// Defines HttpServer: accepts HTTP/1.1 connections, enforces HttpLimits and
// passes each request to a handler as an HttpExchange.

#ifndef POMELORING_LINK_HTTP_SERVER_H_
#define POMELORING_LINK_HTTP_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "link/io_threads.h"

namespace pomeloring {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpReply {
  unsigned status = 200;
  std::string content_type = "application/json";  // Empty: none is sent.
  std::vector<HttpHeader> headers;
  std::string body;
};

struct HttpLimits {
  uint32_t max_header_bytes = 16 * 1024;
  uint64_t max_body_bytes = uint64_t{4} * 1024 * 1024;
  std::chrono::seconds read_timeout{10};   // For one complete request.
  std::chrono::seconds idle_timeout{60};   // Between requests.
  std::chrono::seconds write_timeout{20};  // For each write.
};

// One request and its reply. A write returns false if it failed or timed out,
// usually because the peer has disconnected.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& Request() const = 0;
  virtual boost::asio::awaitable<bool> Respond(HttpReply reply) = 0;
  // For a reply of unknown length: BeginStream() once, any number of
  // WriteChunk(), EndStream() once.
  virtual boost::asio::awaitable<bool> BeginStream(HttpReply head) = 0;
  virtual boost::asio::awaitable<bool> WriteChunk(std::string_view chunk) = 0;
  virtual boost::asio::awaitable<bool> EndStream() = 0;
  // Closes the connection instead of ending the stream, so that a partial reply
  // can't be mistaken for a complete one.
  virtual void Abort() = 0;
  // Calls `on_disconnect` if the peer closes the connection before the handler
  // has returned, or at once if it has closed it. Watching ends at the first
  // byte of a pipelined request.
  virtual void WatchForDisconnect(std::function<void()> on_disconnect) = 0;
  // Returns whether sending the reply has begun.
  virtual bool HasBegun() const = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

// Makes the reply to a request that is malformed or exceeds a limit.
using ErrorReplyFactory = std::function<HttpReply(unsigned status)>;

struct ListenError {
  std::string address;
  std::string reason;
};

class HttpServer {
 public:
  virtual ~HttpServer() = default;
  // Stops accepting connections; open ones are still served.
  virtual void StopAccepting() = 0;
  // Closes idle connections now and the others after the reply in progress.
  virtual void CloseAfterReplies() = 0;
  // Returns the number of requests being handled.
  virtual size_t OpenExchanges() const = 0;
};

// Listens on `address` (IP:port) and distributes connections over `threads`
// round-robin; each connection stays on its thread.
std::variant<std::shared_ptr<HttpServer>, ListenError> StartHttpServer(
    IoThreads& threads,
    const std::string& address,
    HttpLimits limits,
    HttpHandler handler,
    ErrorReplyFactory make_error_reply);

}  // namespace pomeloring

#endif  // POMELORING_LINK_HTTP_SERVER_H_
