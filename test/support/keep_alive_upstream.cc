#include "support/keep_alive_upstream.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace pomeloring::test {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

auto Await(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

// Returns the value of a field, or nothing.
std::string FieldOf(const std::string& head, const std::string& name) {
  const std::string line = "\r\n" + name + ": ";
  const size_t at = head.find(line);
  if (at == std::string::npos) {
    return {};
  }
  const size_t begin = at + line.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

asio::awaitable<bool> WriteAfter(tcp::socket& socket,
                                 std::chrono::milliseconds delay,
                                 std::string bytes) {
  error_code error;
  if (delay.count() > 0) {
    asio::steady_timer timer(socket.get_executor(), delay);
    co_await timer.async_wait(Await(error));
  }
  co_await asio::async_write(socket, asio::buffer(bytes), Await(error));
  co_return !error;
}

}  // namespace

KeepAliveUpstream::KeepAliveUpstream(
    std::function<KeptReply(const ReceivedRequest&)> reply_to)
    : m_reply_to(std::move(reply_to)),
      m_acceptor(m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      m_address(
          fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port())) {
  asio::co_spawn(m_context, Accept(), asio::detached);
  m_thread = std::thread([this] { m_context.run(); });
}

KeepAliveUpstream::~KeepAliveUpstream() {
  m_context.stop();
  m_thread.join();
}

asio::awaitable<void> KeepAliveUpstream::Accept() {
  while (true) {
    error_code error;
    tcp::socket socket(m_context);
    co_await m_acceptor.async_accept(socket, Await(error));
    if (error) {
      co_return;
    }
    socket.set_option(tcp::no_delay(true), error);
    asio::co_spawn(m_context, Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> KeepAliveUpstream::Serve(tcp::socket socket) {
  std::string bytes;
  ReceivedRequest request;
  while (true) {
    error_code error;
    const size_t head_size = co_await asio::async_read_until(
        socket, asio::dynamic_buffer(bytes), "\r\n\r\n", Await(error));
    if (error) {
      co_return;
    }
    request.head = bytes.substr(0, head_size);
    request.id = FieldOf(request.head, "X-Request-Id");
    const std::string length = FieldOf(request.head, "Content-Length");
    const size_t size = head_size + (length.empty() ? 0 : std::stoul(length));
    if (bytes.size() < size) {
      co_await asio::async_read(socket, asio::dynamic_buffer(bytes),
                                asio::transfer_exactly(size - bytes.size()),
                                Await(error));
    }
    bytes.erase(0, size);
    const KeptReply reply = m_reply_to(request);
    const std::chrono::milliseconds at_once{0};
    const bool is_open =
        co_await WriteAfter(socket, at_once, reply.undue) &&
        co_await WriteAfter(socket, reply.delay, reply.reply) &&
        co_await WriteAfter(socket, reply.late_delay, reply.late);
    if (!is_open || reply.closes) {
      co_return;
    }
    request.earlier_replies.push_back(reply.reply);
  }
}

std::string KeptReplyText(unsigned status,
                          const std::string& id,
                          const std::string& fields,
                          const std::string& body) {
  return fmt::format(
      "HTTP/1.1 {} x\r\nX-Request-Id: {}\r\n{}Content-Length: {}\r\n\r\n{}",
      status, id, fields, body.size(), body);
}

}  // namespace pomeloring::test
