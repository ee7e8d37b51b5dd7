#include "support/prompt_sensitive_engine.h"

#include <fmt/format.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "support/gateway_site.h"

namespace pomeloring::test {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int kEvents = 3;

}  // namespace

PromptSensitiveEngine::PromptSensitiveEngine(std::string fatal_part)
    : m_fatal_part(std::move(fatal_part)),
      m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0}),
      m_address(
          fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port())),
      m_thread([this] { Serve(); }) {}

PromptSensitiveEngine::~PromptSensitiveEngine() {
  m_is_stopping = true;
  error_code ignored;
  tcp::socket wakes_accept(m_context);
  wakes_accept.connect(m_acceptor.local_endpoint(ignored), ignored);
  m_thread.join();
}

void PromptSensitiveEngine::Serve() {
  while (true) {
    error_code error;
    tcp::socket socket(m_context);
    m_acceptor.accept(socket, error);
    if (error || m_is_stopping) {
      return;
    }
    if (!Reply(socket)) {
      m_acceptor.close(error);
      socket.set_option(asio::socket_base::linger(true, 0), error);
      return;
    }
  }
}

bool PromptSensitiveEngine::Reply(tcp::socket& socket) {
  std::string request;
  error_code error;
  asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
  if (error) {
    return true;
  }
  std::string reply = StreamHead();
  const bool is_fatal = request.find(m_fatal_part) != std::string::npos;
  if (is_fatal) {
    ++m_fatal_requests;
  } else {
    for (int id = 1; id <= kEvents; ++id) {
      reply += StreamEvent(id);
    }
    reply += kStreamEnd;
  }
  asio::write(socket, asio::buffer(reply), error);
  return !is_fatal;
}

}  // namespace pomeloring::test
