// Defines HttpServer: accepts HTTP/1.1 connections within limits and hands each
// request to a handler as an HttpExchange.

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
  std::string content_type = "application/json";
  std::vector<HttpHeader> headers;
  std::string body;
};

struct HttpLimits {
  uint32_t max_header_bytes = 16 * 1024;
  uint64_t max_body_bytes = uint64_t{4} * 1024 * 1024;
  std::chrono::seconds read_timeout{10};  // For one whole request.
  std::chrono::seconds idle_timeout{60};  // Between requests.
  std::chrono::seconds write_timeout{20};
};

// One request and its reply. All calls return false once the peer is gone.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& Request() const = 0;
  virtual boost::asio::awaitable<bool> Respond(HttpReply reply) = 0;
  // A reply whose length is not known: begin, chunks, end.
  virtual boost::asio::awaitable<bool> BeginStream(HttpReply head) = 0;
  virtual boost::asio::awaitable<bool> WriteChunk(std::string_view chunk) = 0;
  virtual boost::asio::awaitable<bool> EndStream() = 0;
  // Closes the connection instead of ending a stream, so that a cut reply
  // can't look whole.
  virtual void Abort() = 0;
  // Calls `on_disconnect` when the peer closes while the reply is awaited.
  virtual void WatchForDisconnect(std::function<void()> on_disconnect) = 0;
  virtual bool HasBegun() const = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

// What a request that broke a limit gets, by status.
using ErrorReplyFactory = std::function<HttpReply(unsigned status)>;

struct ListenError {
  std::string address;
  std::string reason;
};

class HttpServer {
 public:
  virtual ~HttpServer() = default;
  // Takes no more connections, and closes each one after the reply under way.
  virtual void StopAccepting() = 0;
  virtual void CloseAfterReplies() = 0;
  virtual size_t OpenExchanges() const = 0;
};

// Listens on `address` (IP:port) and spreads the connections over `threads`;
// each connection stays on its own.
std::variant<std::shared_ptr<HttpServer>, ListenError> StartHttpServer(
    IoThreads& threads,
    const std::string& address,
    HttpLimits limits,
    HttpHandler handler,
    ErrorReplyFactory make_error_reply);

}  // namespace pomeloring

#endif  // POMELORING_LINK_HTTP_SERVER_H_
