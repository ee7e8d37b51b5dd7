#include "link/http_client.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "link/address.h"
#include "link/reply_head.h"
#include "link/socket_peek.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr size_t kMaxIdlePerAddress = 256;
constexpr uint64_t kMaxReplyBytes = uint64_t{64} * 1024 * 1024;

auto Await(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

}  // namespace

asio::awaitable<ConnectionResult> OpenConnection(
    std::string address,
    std::chrono::milliseconds timeout) {
  const auto endpoint = ParseTcpAddress(address);
  if (!endpoint) {
    co_return ConnectFailed{address};
  }
  auto connection =
      std::make_unique<HttpConnection>(co_await asio::this_coro::executor);
  error_code error;
  connection->stream.expires_after(timeout);
  co_await connection->stream.async_connect(*endpoint, Await(error));
  if (error) {
    co_return ConnectFailed{address};
  }
  connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  co_return connection;
}

asio::awaitable<error_code> ReadFinalHead(HttpConnection& connection,
                                          uint64_t max_body_bytes,
                                          std::optional<ReplyParser>& parser) {
  for (int heads = 0; heads <= kMaxInterimReplies; ++heads) {
    parser.emplace();
    parser->body_limit(max_body_bytes);
    error_code error;
    co_await http::async_read_header(connection.stream, connection.buffer,
                                     *parser, Await(error));
    if (error) {
      co_return error;
    }
    const ReplyHeadKind kind = ClassifyReplyHead(parser->get());
    if (kind == ReplyHeadKind::kFinal) {
      co_return error_code();
    }
    if (kind == ReplyHeadKind::kInvalid) {
      break;
    }
  }
  co_return http::error::bad_status;
}

asio::awaitable<HttpResult> SendHttpRequest(std::string address,
                                            HttpRequestMessage request,
                                            std::chrono::milliseconds timeout) {
  auto opened = co_await OpenConnection(address, timeout);
  if (auto* failed = std::get_if<ConnectFailed>(&opened)) {
    co_return *failed;
  }
  auto& connection = *std::get<std::unique_ptr<HttpConnection>>(opened);
  error_code error;
  connection.stream.expires_after(timeout);
  request.keep_alive(false);
  request.prepare_payload();
  co_await http::async_write(connection.stream, request, Await(error));
  if (error) {
    co_return ReplyLost{error == beast::error::timeout};
  }
  std::optional<ReplyParser> parser;
  error = co_await ReadFinalHead(connection, kMaxReplyBytes, parser);
  if (!error) {
    co_await http::async_read(connection.stream, connection.buffer, *parser,
                              Await(error));
  }
  if (error) {
    co_return ReplyLost{error == beast::error::timeout,
                        parser->get().body().size()};
  }
  co_return parser->release();
}

// The stream's timer spans all operations until it is set again, and Beast's
// composed operations would let it span the whole message.
asio::awaitable<HttpResult> SendHttpRequest(std::string address,
                                            HttpRequestMessage request,
                                            TransferTimeouts timeouts) {
  auto opened = co_await OpenConnection(address, timeouts.silence);
  if (auto* failed = std::get_if<ConnectFailed>(&opened)) {
    co_return *failed;
  }
  auto& connection = *std::get<std::unique_ptr<HttpConnection>>(opened);
  error_code error;
  request.keep_alive(false);
  request.prepare_payload();
  http::request_serializer<http::string_body> serializer(request);
  while (!error && !serializer.is_done()) {
    connection.stream.expires_after(timeouts.silence);
    co_await http::async_write_some(connection.stream, serializer,
                                    Await(error));
  }
  std::optional<ReplyParser> parser;
  if (!error) {
    connection.stream.expires_after(timeouts.first_byte);
    error = co_await ReadFinalHead(connection, kMaxReplyBytes, parser);
  }
  if (error) {
    co_return ReplyLost{error == beast::error::timeout};
  }
  parser->eager(true);
  while (!error && !parser->is_done()) {
    connection.stream.expires_after(timeouts.silence);
    co_await http::async_read_some(connection.stream, connection.buffer,
                                   *parser, Await(error));
  }
  if (error) {
    co_return ReplyLost{error == beast::error::timeout,
                        parser->get().body().size()};
  }
  co_return parser->release();
}

std::unique_ptr<HttpConnection> ConnectionPool::Take(
    const std::string& address,
    const asio::any_io_executor& executor) {
  const std::lock_guard lock(m_mutex);
  auto& idle = m_idle[{&executor.context(), address}];
  while (!idle.empty()) {
    std::unique_ptr<HttpConnection> connection = std::move(idle.back());
    idle.pop_back();
    if (PeekSocket(connection->stream.socket()) == SocketPeek::kNothing) {
      connection->is_reused = true;
      return connection;
    }
  }
  return nullptr;
}

void ConnectionPool::Put(const std::string& address,
                         std::unique_ptr<HttpConnection> connection) {
  const std::lock_guard lock(m_mutex);
  auto* context = &connection->stream.get_executor().context();
  auto& idle = m_idle[{context, address}];
  if (idle.size() < kMaxIdlePerAddress) {
    connection->stream.expires_never();
    idle.push_back(std::move(connection));
  }
}

}  // namespace pomeloring
