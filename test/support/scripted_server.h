// Defines ScriptedServer: a loopback server that replies to each connection
// with prescribed bytes, which may be truncated, malformed or missing.

#ifndef POMELORING_TEST_SUPPORT_SCRIPTED_SERVER_H_
#define POMELORING_TEST_SUPPORT_SCRIPTED_SERVER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace pomeloring::test {

// What happens to a connection whose request is answered before its body is
// read.
enum class EarlyEnd {
  kNone,        // The request is read whole.
  kReset,       // A reset.
  kUnread,      // Closed with unread bytes: the kernel sends a reset.
  kClosed,      // The server's side is closed, and the body is read.
  kHalfClosed,  // The server's side is closed, and the body is left unread.
  kClosedThenReset,  // The server's side is closed, a reset follows at once.
};

struct Script {
  std::string reply;
  bool stays_open = false;  // Keeps the connection open after the reply.
  bool closes_without_reading = false;  // Closes before reading the request.
  EarlyEnd early_end = EarlyEnd::kNone;
  // With an early end: the bytes of the body that are read between the reply
  // and the end, and the time after them. By default the peer reads the reply,
  // while it cannot write on.
  size_t read_before_end = 0;
  std::chrono::microseconds end_delay{100'000};
};

class ScriptedServer {
 public:
  // Uses one script per connection, in order; accepts no connections after the
  // last one.
  explicit ScriptedServer(std::vector<Script> scripts);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  std::string Address() const;
  // The received requests, each with its header and body.
  std::vector<std::string> Requests() const;
  // Waits up to `limit` for the peer to close the first connection that was
  // kept open, and returns whether it did.
  bool IsClosedWithin(std::chrono::milliseconds limit);

 private:
  void Serve();
  void SendReply(boost::asio::ip::tcp::socket socket, const Script& script);

  const std::vector<Script> m_scripts;
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::string m_address;
  std::atomic<bool> m_is_stopping{false};
  std::list<boost::asio::ip::tcp::socket> m_open_connections;
  mutable std::mutex m_mutex;
  std::vector<std::string> m_requests;
  std::thread m_thread;
};

// A loopback address whose port was free a moment ago. Any process may listen
// there by the time it is used.
std::string ClosedAddress();

// A loopback address that refuses connections until this process ends.
std::string RefusingAddress();

// Runs a coroutine to completion on a new I/O context and returns its result.
template <typename Result>
Result RunCoroutine(
    const std::function<boost::asio::awaitable<Result>()>& task);

// Formats a reply with a Content-Length. `headers` are lines that end in CRLF.
std::string HttpReplyText(unsigned status,
                          const std::string& body,
                          const std::string& headers = {});

// Header lines, each without its end, whose field name holds a byte that no
// name may have: blanks, control bytes, and others that are no token
// characters.
std::vector<std::string> LinesWithInvalidNames();

}  // namespace pomeloring::test

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

namespace pomeloring::test {

template <typename Result>
Result RunCoroutine(
    const std::function<boost::asio::awaitable<Result>()>& task) {
  boost::asio::io_context context(1);
  auto result = boost::asio::co_spawn(context, task(), boost::asio::use_future);
  context.run();
  return result.get();
}

}  // namespace pomeloring::test

#endif  // POMELORING_TEST_SUPPORT_SCRIPTED_SERVER_H_
