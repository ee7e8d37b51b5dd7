// Defines ScriptedServer: a peer on loopback that answers each connection with
// given bytes, cut, silent or wrong.

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

struct Script {
  std::string reply;
  bool stays_open = false;              // Says no more, and does not close.
  bool closes_without_reading = false;  // Reads nothing.
};

class ScriptedServer {
 public:
  // One script a connection, in their order; then no more are accepted.
  explicit ScriptedServer(std::vector<Script> scripts);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  std::string Address() const;
  // The heads and bodies of the requests that came.
  std::vector<std::string> Requests() const;
  // Whether the peer closes the first connection that stays open in time.
  bool IsClosedWithin(std::chrono::milliseconds limit);

 private:
  void Serve();
  void Answer(boost::asio::ip::tcp::socket socket, const Script& script);

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

// An address on loopback at which nothing listens.
std::string ClosedAddress();

// Runs a coroutine to its end and returns what it returned.
template <typename Result>
Result RunCoroutine(
    const std::function<boost::asio::awaitable<Result>()>& task);

// Returns a reply with its length.
std::string HttpReplyText(unsigned status,
                          const std::string& body,
                          const std::string& headers = {});

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
