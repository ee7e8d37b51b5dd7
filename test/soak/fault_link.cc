#include "soak/fault_link.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "link/address.h"
#include "link/socket_peek.h"

namespace pomeloring::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

auto Await(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

void Reset(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

struct FaultLink::ConnectionPair {
  explicit ConnectionPair(tcp::socket from_client)
      : client(std::move(from_client)), server(client.get_executor()) {}
  tcp::socket client;
  tcp::socket server;
};

FaultLink::FaultLink(asio::io_context& context,
                     const std::string& listen_at,
                     const std::string& target)
    : m_context(context),
      m_address(listen_at),
      m_acceptor(context),
      m_target(target) {
  Listen();
}

void FaultLink::StopListening() {
  error_code ignored;
  m_acceptor.close(ignored);
}

void FaultLink::Listen() {
  const tcp::endpoint endpoint = *ParseTcpAddress(m_address);
  m_acceptor.open(endpoint.protocol());
  m_acceptor.set_option(asio::socket_base::reuse_address(true));
  m_acceptor.bind(endpoint);
  m_acceptor.listen();
  asio::co_spawn(m_context, Accept(), asio::detached);
}

void FaultLink::ResetAll() {
  m_has_dropped_traffic = true;
  for (const auto& weak : m_connections) {
    if (const auto pair = weak.lock()) {
      Reset(pair->client);
      Reset(pair->server);
    }
  }
  m_connections.clear();
}

asio::awaitable<void> FaultLink::Accept() {
  while (true) {
    error_code error;
    tcp::socket socket(m_context);
    co_await m_acceptor.async_accept(socket, Await(error));
    if (error) {
      co_return;
    }
    if (state.is_cut) {
      m_has_dropped_traffic = true;
      Reset(socket);
      continue;
    }
    socket.set_option(tcp::no_delay(true), error);
    auto pair = std::make_shared<ConnectionPair>(std::move(socket));
    m_connections.remove_if([](const auto& weak) { return weak.expired(); });
    m_connections.push_back(pair);
    asio::co_spawn(m_context, Serve(std::move(pair)), asio::detached);
  }
}

asio::awaitable<void> FaultLink::Serve(std::shared_ptr<ConnectionPair> pair) {
  error_code error;
  co_await pair->server.async_connect(*ParseTcpAddress(m_target), Await(error));
  if (error) {
    Reset(pair->client);
    co_return;
  }
  pair->server.set_option(tcp::no_delay(true), error);
  asio::co_spawn(m_context, CopyBytes(pair, true), asio::detached);
  co_await CopyBytes(pair, false);
}

asio::awaitable<void> FaultLink::Transmit(size_t size, bool forward) {
  if (state.bytes_per_s == 0) {
    co_return;
  }
  auto& free_at = m_free_at[forward ? 0 : 1];
  free_at = std::max(free_at, std::chrono::steady_clock::now()) +
            std::chrono::microseconds(size * 1'000'000 / state.bytes_per_s);
  asio::steady_timer timer(m_context, free_at);
  error_code ignored;
  co_await timer.async_wait(Await(ignored));
}

asio::awaitable<void> FaultLink::CopyBytes(std::shared_ptr<ConnectionPair> pair,
                                           bool forward) {
  tcp::socket& from = forward ? pair->client : pair->server;
  tcp::socket& to = forward ? pair->server : pair->client;
  std::array<char, 16384> buffer;
  while (true) {
    error_code error;
    const size_t size =
        co_await from.async_read_some(asio::buffer(buffer), Await(error));
    if (error) {
      error_code ignored;
      // A write of the other direction may have taken the error of a reset.
      if (error == asio::error::eof && IsHalfClosed(from)) {
        to.shutdown(tcp::socket::shutdown_send, ignored);
      } else {
        Reset(to);
      }
      co_return;
    }
    if (state.delay.count() > 0) {
      asio::steady_timer timer(m_context, state.delay);
      co_await timer.async_wait(Await(error));
    }
    co_await Transmit(size, forward);
    if (forward ? state.is_silent_forward : state.is_silent_backward) {
      // Stay silent until the connection ends: forwarding again would join the
      // bytes before and after the gap into a corrupt stream.
      m_has_dropped_traffic = true;
      while (!error) {
        co_await from.async_read_some(asio::buffer(buffer), Await(error));
      }
      co_return;
    }
    state.bytes_carried += forward ? 0 : size;
    co_await asio::async_write(to, asio::buffer(buffer, size), Await(error));
    if (error) {
      Reset(from);
      co_return;
    }
  }
}

}  // namespace pomeloring::soak
