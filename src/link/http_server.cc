#include "link/http_server.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <set>

#include "link/address.h"
#include "link/http_client.h"
#include "link/sleep.h"
#include "link/socket_peek.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kFirstReadBytes = 4096;
constexpr std::chrono::milliseconds kAcceptRetryInterval{50};

auto Await(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

struct Connection {
  explicit Connection(tcp::socket socket)
      : stream(std::move(socket)), buffer(kMaxUnparsedBytes) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::atomic<bool> is_idle{true};
};

// Cancels a read that times out. The stream's own timeout would close the
// connection before the peer could be sent an error reply.
class ReadTimer {
 public:
  ReadTimer(const std::shared_ptr<Connection>& connection,
            std::chrono::seconds timeout)
      : m_timer(connection->stream.get_executor()) {
    m_timer.expires_after(timeout);
    m_timer.async_wait([connection, expired = m_expired](error_code error) {
      if (!error) {
        *expired = true;
        connection->stream.cancel();
      }
    });
  }

  bool HasExpired() const { return *m_expired; }

 private:
  asio::steady_timer m_timer;
  std::shared_ptr<bool> m_expired = std::make_shared<bool>(false);
};

class Exchange final : public HttpExchange {
 public:
  Exchange(std::shared_ptr<Connection> connection,
           HttpRequest request,
           const HttpLimits& limits,
           bool keep_alive)
      : m_connection(std::move(connection)),
        m_request(std::move(request)),
        m_limits(limits),
        m_keep_alive(keep_alive) {}

  const HttpRequest& Request() const override { return m_request; }
  bool HasBegun() const override { return m_begun; }
  bool ShouldKeepAlive() const { return m_keep_alive && !m_aborted && m_ended; }

  asio::awaitable<bool> Respond(HttpReply reply) override {
    m_begun = true;
    m_ended = true;
    http::response<http::string_body> response =
        MakeResponse<http::string_body>(reply);
    response.body() = std::move(reply.body);
    response.prepare_payload();
    error_code error;
    m_connection->stream.expires_after(m_limits.write_timeout);
    co_await http::async_write(m_connection->stream, response, Await(error));
    co_return !RecordError(error);
  }

  asio::awaitable<bool> BeginStream(HttpReply head) override {
    m_begun = true;
    http::response<http::empty_body> response =
        MakeResponse<http::empty_body>(head);
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    error_code error;
    m_connection->stream.expires_after(m_limits.write_timeout);
    co_await http::async_write_header(m_connection->stream, serializer,
                                      Await(error));
    co_return !RecordError(error);
  }

  asio::awaitable<bool> WriteChunk(std::string_view chunk) override {
    if (m_aborted) {
      co_return false;
    }
    error_code error;
    m_connection->stream.expires_after(m_limits.write_timeout);
    co_await asio::async_write(
        m_connection->stream,
        http::make_chunk(asio::buffer(chunk.data(), chunk.size())),
        Await(error));
    co_return !RecordError(error);
  }

  asio::awaitable<bool> EndStream() override {
    if (m_aborted) {
      co_return false;
    }
    m_ended = true;
    error_code error;
    m_connection->stream.expires_after(m_limits.write_timeout);
    co_await asio::async_write(m_connection->stream, http::make_chunk_last(),
                               Await(error));
    co_return !RecordError(error);
  }

  void Abort() override {
    m_aborted = true;
    error_code ignored;
    m_connection->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  }

  void WatchForDisconnect(std::function<void()> on_disconnect) override {
    if (PeekSocket(m_connection->stream.socket()) == SocketPeek::kClosed) {
      on_disconnect();
      return;
    }
    m_watching = true;
    m_connection->stream.socket().async_wait(
        tcp::socket::wait_read,
        [connection = m_connection, on_disconnect](error_code error) {
          // Readable bytes are a pipelined request, not a disconnect.
          if (!error &&
              PeekSocket(connection->stream.socket()) == SocketPeek::kClosed) {
            on_disconnect();
          }
        });
  }

  void StopWatching() {
    if (m_watching) {
      error_code ignored;
      m_connection->stream.socket().cancel(ignored);
    }
  }

 private:
  template <typename Body>
  http::response<Body> MakeResponse(const HttpReply& reply) const {
    http::response<Body> response{static_cast<http::status>(reply.status),
                                  m_request.version()};
    if (!reply.content_type.empty()) {
      response.set(http::field::content_type, reply.content_type);
    }
    for (const HttpHeader& header : reply.headers) {
      response.insert(header.name, header.value);
    }
    response.keep_alive(m_keep_alive);
    return response;
  }

  // Returns whether `error` is set. After an error, no further chunk is
  // written.
  bool RecordError(error_code error) {
    m_aborted |= static_cast<bool>(error);
    return static_cast<bool>(error);
  }

  std::shared_ptr<Connection> m_connection;
  const HttpRequest m_request;
  const HttpLimits& m_limits;
  const bool m_keep_alive;
  bool m_begun = false;
  bool m_ended = false;
  bool m_aborted = false;
  bool m_watching = false;
};

class Server final : public HttpServer,
                     public std::enable_shared_from_this<Server> {
 public:
  Server(IoThreads& threads,
         HttpLimits limits,
         HttpHandler handler,
         ErrorReplyFactory make_error_reply)
      : m_threads(threads),
        m_acceptor(threads.First()),
        m_limits(limits),
        m_handler(std::move(handler)),
        m_make_error_reply(std::move(make_error_reply)) {}

  std::optional<ListenError> Listen(const std::string& address) {
    const auto endpoint = ParseTcpAddress(address);
    if (!endpoint) {
      return ListenError{address, "not IP:port"};
    }
    error_code error;
    m_acceptor.open(endpoint->protocol(), error);
    m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    m_acceptor.bind(*endpoint, error);
    if (error) {
      return ListenError{address, error.message()};
    }
    m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
      return ListenError{address, error.message()};
    }
    asio::co_spawn(m_acceptor.get_executor(), AcceptLoop(shared_from_this()),
                   asio::detached);
    return std::nullopt;
  }

  void StopAccepting() override {
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
      error_code ignored;
      self->m_acceptor.close(ignored);
    });
  }

  void CloseAfterReplies() override {
    m_closing = true;
    const std::lock_guard lock(m_mutex);
    for (const auto& weak : m_connections) {
      if (const auto connection = weak.lock()) {
        asio::post(connection->stream.get_executor(), [connection] {
          if (connection->is_idle) {
            error_code ignored;
            connection->stream.socket().shutdown(tcp::socket::shutdown_both,
                                                 ignored);
          }
        });
      }
    }
  }

  size_t OpenExchanges() const override { return m_exchanges; }

 private:
  // `self` keeps the server alive while the coroutine runs.
  asio::awaitable<void> AcceptLoop(std::shared_ptr<Server> self) {
    while (m_acceptor.is_open()) {
      error_code error;
      tcp::socket socket(m_threads.Next());
      co_await m_acceptor.async_accept(socket, Await(error));
      if (error) {
        if (error == asio::error::operation_aborted ||
            error == asio::error::bad_descriptor) {
          co_return;
        }
        // Out of descriptors, the next call would fail at once again.
        co_await SleepFor(kAcceptRetryInterval);
        continue;
      }
      socket.set_option(tcp::no_delay(true), error);
      socket.non_blocking(true, error);
      auto connection = std::make_shared<Connection>(std::move(socket));
      {
        const std::lock_guard lock(m_mutex);
        m_connections.insert(connection);
        std::erase_if(m_connections,
                      [](const auto& weak) { return weak.expired(); });
      }
      const auto executor = connection->stream.get_executor();
      asio::co_spawn(executor, Serve(self, std::move(connection)),
                     asio::detached);
    }
  }

  // Returns the HTTP status to reply with, or 0 to close without a reply.
  static unsigned ErrorStatus(error_code error) {
    if (error == http::error::body_limit) {
      return 413;
    }
    if (error == http::error::header_limit) {
      return 431;
    }
    const bool is_malformed =
        error.category() ==
        make_error_code(http::error::bad_version).category();
    return is_malformed && error != http::error::end_of_stream &&
                   error != http::error::partial_message
               ? 400
               : 0;
  }

  asio::awaitable<void> RejectRequest(std::shared_ptr<Connection> connection,
                                      unsigned status) {
    Exchange exchange(connection, HttpRequest{}, m_limits, false);
    co_await exchange.Respond(m_make_error_reply(status));
    // The peer may still be sending. Closing with unread data would reset the
    // connection before the peer has read the reply, so discard some first.
    error_code ignored;
    connection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    char rest[4096];
    connection->stream.expires_after(std::chrono::seconds(1));
    for (int reads = 0; reads < 64 && !ignored; ++reads) {
      co_await connection->stream.async_read_some(asio::buffer(rest),
                                                  Await(ignored));
    }
  }

  asio::awaitable<void> Serve([[maybe_unused]] std::shared_ptr<Server> self,
                              std::shared_ptr<Connection> connection) {
    while (!m_closing) {
      error_code error;
      connection->is_idle = true;
      connection->stream.expires_after(m_limits.idle_timeout);
      if (connection->buffer.size() == 0) {
        const size_t read = co_await connection->stream.async_read_some(
            connection->buffer.prepare(kFirstReadBytes), Await(error));
        if (error) {
          co_return;
        }
        connection->buffer.commit(read);
      }
      connection->is_idle = false;
      http::request_parser<http::string_body> parser;
      parser.header_limit(m_limits.max_header_bytes);
      parser.body_limit(m_limits.max_body_bytes);
      connection->stream.expires_never();
      ReadTimer timer(connection, m_limits.read_timeout);
      co_await http::async_read(connection->stream, connection->buffer, parser,
                                Await(error));
      if (error) {
        const unsigned status = timer.HasExpired() ? 408 : ErrorStatus(error);
        if (status != 0) {
          co_await RejectRequest(connection, status);
        }
        co_return;
      }
      connection->stream.expires_never();
      const bool keep_alive = parser.get().keep_alive() && !m_closing;
      Exchange exchange(connection, parser.release(), m_limits, keep_alive);
      ++m_exchanges;
      co_await m_handler(exchange);
      --m_exchanges;
      exchange.StopWatching();
      if (!exchange.ShouldKeepAlive()) {
        connection->stream.socket().shutdown(tcp::socket::shutdown_send, error);
        co_return;
      }
    }
  }

  IoThreads& m_threads;
  tcp::acceptor m_acceptor;
  const HttpLimits m_limits;
  const HttpHandler m_handler;
  const ErrorReplyFactory m_make_error_reply;
  std::atomic<bool> m_closing{false};
  std::atomic<size_t> m_exchanges{0};
  std::mutex m_mutex;
  std::set<std::weak_ptr<Connection>, std::owner_less<>> m_connections;
};

}  // namespace

std::variant<std::shared_ptr<HttpServer>, ListenError> StartHttpServer(
    IoThreads& threads,
    const std::string& address,
    HttpLimits limits,
    HttpHandler handler,
    ErrorReplyFactory make_error_reply) {
  auto server = std::make_shared<Server>(threads, limits, std::move(handler),
                                         std::move(make_error_reply));
  if (auto error = server->Listen(address)) {
    return std::move(*error);
  }
  return server;
}

}  // namespace pomeloring
