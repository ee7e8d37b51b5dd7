// Callers that read slowly, or nothing, must neither fill an instance's memory
// nor keep it from serving the others; a process over its limit is killed with
// all its streams.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <thread>

#include "link/address.h"
#include "support/gateway_site.h"

namespace pomeloring::test {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::steady_clock;

constexpr size_t kEventBytes = 8000;
constexpr uint64_t kMemoryMb = 50;  // The buffers get the least limit, 8 MB.
constexpr uint64_t kLimit = uint64_t{8} * 1024 * 1024;
constexpr int kSmallBuffer = 8192;
// A reply that stays unread for longer is cut off.
constexpr std::chrono::milliseconds kMaxUnread{1800};
constexpr int kUpstreams = 8;

std::string EventChunk(int id) {
  const std::string event =
      fmt::format("id: {}\ndata: {}\n\n", id, std::string(kEventBytes, 'x'));
  return fmt::format("{:x}\r\n{}\r\n", event.size(), event);
}

// Serves streams of as many events as the last part of the path says, under
// any loopback address. With a negative number it does not reply.
class StreamServer {
 public:
  StreamServer()
      : m_acceptor(m_context, {asio::ip::address_v4::any(), 0}),
        m_port(m_acceptor.local_endpoint().port()) {
    asio::co_spawn(m_context, Accept(), asio::detached);
    m_thread = std::thread([this] { m_context.run(); });
  }
  ~StreamServer() {
    m_context.stop();
    m_thread.join();
  }
  StreamServer(const StreamServer&) = delete;
  StreamServer& operator=(const StreamServer&) = delete;

  std::vector<SiteUpstream> Upstreams(const std::string& service) const {
    std::vector<SiteUpstream> upstreams;
    for (int i = 1; i <= kUpstreams; ++i) {
      upstreams.push_back({fmt::format("u{}", i), service,
                           fmt::format("127.0.0.{}:{}", i, m_port)});
    }
    return upstreams;
  }

  // Of the bodies of requests without a reply, but for what came with a head.
  size_t DiscardedBytes() const { return m_discarded; }

 private:
  asio::awaitable<void> Accept() {
    while (true) {
      tcp::socket socket(m_context);
      co_await m_acceptor.async_accept(socket, asio::use_awaitable);
      asio::co_spawn(m_context, Serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(tcp::socket socket) {
    error_code error;
    socket.set_option(asio::socket_base::send_buffer_size(8 * kSmallBuffer),
                      error);
    std::string request;
    co_await asio::async_read_until(
        socket, asio::dynamic_buffer(request), "\r\n\r\n",
        asio::redirect_error(asio::use_awaitable, error));
    const size_t path_end = request.find(" HTTP/1.1");
    const size_t last_part = request.rfind('/', path_end) + 1;
    const int events =
        std::atoi(request.substr(last_part, path_end - last_part).c_str());
    std::array<char, 4096> discarded{};
    while (events < 0 && !error) {
      m_discarded += co_await socket.async_read_some(
          asio::buffer(discarded),
          asio::redirect_error(asio::use_awaitable, error));
    }
    co_await Write(socket, StreamHead());
    for (int id = 1; id <= events && socket.is_open(); ++id) {
      co_await Write(socket, EventChunk(id));
    }
    co_await Write(socket, kStreamEnd);
  }

  asio::awaitable<void> Write(tcp::socket& socket, std::string bytes) {
    asio::steady_timer cut(m_context, kMaxUnread);
    cut.async_wait([&socket](error_code error) {
      if (!error) {
        error_code ignored;
        socket.close(ignored);
      }
    });
    error_code error;
    co_await asio::async_write(
        socket, asio::buffer(bytes),
        asio::redirect_error(asio::use_awaitable, error));
    if (error && socket.is_open()) {
      socket.close(error);
    }
  }

  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  const unsigned m_port;
  std::atomic<size_t> m_discarded{0};
  std::thread m_thread;
};

class Caller {
 public:
  Caller(const GatewaySite& site, const std::string& request)
      : m_socket(m_context) {
    const tcp::endpoint endpoint = *ParseTcpAddress(site.Address());
    m_socket.open(endpoint.protocol());
    m_socket.set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
    m_socket.connect(endpoint);
    asio::write(m_socket, asio::buffer(request));
  }

  // Returns what arrives until the end of a stream or of the connection.
  std::string ReadAll() {
    std::string reply;
    error_code error;
    asio::read_until(m_socket, asio::dynamic_buffer(reply), "\r\n0\r\n\r\n",
                     error);
    return reply;
  }

 private:
  asio::io_context m_context;
  tcp::socket m_socket;
};

std::string PostHead(const std::string& path, size_t body_bytes) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: r1\r\n"
      "X-Key: key-1\r\nContent-Length: {}\r\n\r\n",
      path, body_bytes);
}

SiteOptions WithMemory() {
  SiteOptions options;
  options.memory_mb = kMemoryMb;
  return options;
}

uint64_t HeldBytesOf(const GatewaySite& site) {
  uint64_t held = 0;
  for (const char* kind : {"requests", "replies", "streams", "upstream-sends",
                           "peer-attempts", "configuration", "log-lines"}) {
    held += site.Metric(fmt::format("memory_held_bytes{{kind=\"{}\"}}", kind));
  }
  return held;
}

bool IsRefusal(const std::string& reply) {
  return reply.starts_with("HTTP/1.1 503") &&
         reply.find("\r\nRetry-After: ") != std::string::npos &&
         reply.find("memory-short") != std::string::npos;
}

// Waits up to 10 s.
bool WaitUntil(const std::function<bool()>& condition) {
  const auto deadline = steady_clock::now() + std::chrono::seconds(10);
  while (!condition() && steady_clock::now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return condition();
}

TEST_CASE("Callers that read nothing keep nobody else from being served") {
  const StreamServer server;
  const GatewaySite site(server.Upstreams("plain"), {}, WithMemory());
  // With the answer the configuration is known to be in force.
  CHECK(site.PostRequest("/check/1").starts_with("HTTP/1.1 200"));
  std::list<Caller> silent;
  for (int i = 0; i < 200; ++i) {
    silent.emplace_back(site, PostHead("/check/75", 0));
  }
  CHECK(WaitUntil([&] { return HeldBytesOf(site) > kLimit * 7 / 10; }));
  std::string last_event = EventChunk(4);
  for (int i = 0; i < 20; ++i) {
    CHECK(HeldBytesOf(site) <= kLimit);
    const std::string reply = Caller(site, PostHead("/check/4", 0)).ReadAll();
    CHECK(reply.ends_with(last_event + kStreamEnd));
  }
  CHECK(site.Metric("callers_dropped_total") == 0);
}

TEST_CASE("A request that would not fit is refused before its body is read") {
  const StreamServer server;
  const GatewaySite site(server.Upstreams("engines"), {}, WithMemory());
  CHECK(site.PostRequest("/draft/1").starts_with("HTTP/1.1 200"));
  const std::string small = PostHead("/draft/1", 0);
  // Whole, and running at an upstream that does not reply.
  size_t requests = 0;
  const auto hold = [&] {
    constexpr size_t kBytes = 3'900'000;
    auto caller = std::make_unique<Caller>(
        site, PostHead("/draft/-1", kBytes) + std::string(kBytes, 'x'));
    // The copy for the upstream is released with its last byte.
    ++requests;
    CHECK(WaitUntil([&] {
      return server.DiscardedBytes() >= requests * (kBytes - 100'000);
    }));
    CHECK(WaitUntil([&] { return HeldBytesOf(site) < kBytes + kBytes / 2; }));
    return caller;
  };
  // Their bodies never arrive, but are reserved; they are not large.
  std::list<Caller> small_bodies;
  const auto fill_to = [&](uint64_t level) {
    while (site.Metric("memory_level") < level && small_bodies.size() < 400) {
      small_bodies.emplace_back(site, PostHead("/draft/1", 16000));
    }
    CHECK(WaitUntil([&] { return site.Metric("memory_level") == level; }));
  };
  auto first = hold();
  fill_to(2);
  CHECK(IsRefusal(site.Send(PostHead("/draft/1", 20000))));
  CHECK(IsRefusal(
      site.Send(PostHead("/draft/1", 20000) + std::string(20000, 'x'))));
  // The length of a body in chunks is not known before it has arrived.
  CHECK(IsRefusal(site.Send(
      "POST /draft/1 HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: r1\r\n"
      "X-Key: key-1\r\nTransfer-Encoding: chunked\r\n\r\n4e20\r\n" +
      std::string(20000, 'x') + "\r\n0\r\n\r\n")));
  CHECK(site.Send(small).starts_with("HTTP/1.1 200"));
  first = nullptr;
  CHECK(WaitUntil([&] { return site.Metric("memory_level") == 0; }));
  small_bodies.clear();
  auto second = hold();
  fill_to(2);
  second = nullptr;
  CHECK(WaitUntil([&] { return site.Metric("memory_level") < 2; }));
  small_bodies.clear();
  const auto third = hold();
  fill_to(3);
  // The connection stays usable after a refusal of a request without a body.
  const std::string replies = site.Send(small + small);
  CHECK(IsRefusal(replies));
  CHECK(replies.find("HTTP/1.1 503", 1) != std::string::npos);
  CHECK(site.Metric("memory_refusals_total") >= 4);
}

TEST_CASE("A body that does not arrive makes room for others") {
  const StreamServer server;
  const GatewaySite site(server.Upstreams("plain"), {}, WithMemory());
  CHECK(site.PostRequest("/check/1").starts_with("HTTP/1.1 200"));
  constexpr size_t kMaxBody = size_t{4} * 1024 * 1024;
  // Its body never arrives, but is reserved.
  const Caller first(site, PostHead("/check/1", kMaxBody));
  CHECK(WaitUntil([&] { return HeldBytesOf(site) > kMaxBody; }));
  const std::string large(20000, 'x');
  CHECK(site.Send(PostHead("/check/1", large.size()) + large)
            .starts_with("HTTP/1.1 200"));
  CHECK(WaitUntil([&] { return site.Metric("uploads_ended_total") == 1; }));
  CHECK(site.Metric("memory_refusals_total") == 1);
}

TEST_CASE("Over the limit a caller that reads nothing is dropped after 5 s") {
  const StreamServer server;
  const GatewaySite site(server.Upstreams("plain"), {}, WithMemory());
  CHECK(site.PostRequest("/check/1").starts_with("HTTP/1.1 200"));
  std::list<Caller> silent;
  for (int i = 0; i < 6; ++i) {
    silent.emplace_back(site, PostHead("/check/125", 0));
  }
  constexpr size_t kMaxBody = size_t{4} * 1024 * 1024;
  CHECK(WaitUntil([&] { return HeldBytesOf(site) > kLimit - kMaxBody; }));
  const auto over_at = steady_clock::now();
  const Caller large(site, PostHead("/check/1", kMaxBody));
  CHECK(WaitUntil([&] { return site.Metric("memory_level") == 3; }));
  CHECK(WaitUntil([&] { return site.Metric("callers_dropped_total") > 0; }));
  CHECK(steady_clock::now() - over_at > std::chrono::seconds(2));
  CHECK(WaitUntil([&] { return HeldBytesOf(site) <= kLimit; }));
  CHECK(site.Metric("callers_dropped_total") < 6);
}

TEST_CASE("A caller that pauses gets its whole stream") {
  const StreamServer server;
  const GatewaySite site(server.Upstreams("engines"), {}, WithMemory());
  CHECK(site.PostRequest("/draft/1").starts_with("HTTP/1.1 200"));
  Caller caller(site, PostHead("/draft/110", 0));
  std::this_thread::sleep_for(kMaxUnread + std::chrono::milliseconds(900));
  const std::string reply = caller.ReadAll();
  CHECK(reply.starts_with("HTTP/1.1 200"));
  CHECK(reply.ends_with(EventChunk(110) + kStreamEnd));
  size_t events = 0;
  for (size_t at = reply.find("data: "); at != std::string::npos;
       at = reply.find("data: ", at + 1)) {
    ++events;
  }
  CHECK(events == 110);
}

}  // namespace
}  // namespace pomeloring::test
