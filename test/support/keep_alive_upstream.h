// Defines KeepAliveUpstream: an upstream that keeps its connections open, and
// may write replies that are not due.

#ifndef POMELORING_TEST_SUPPORT_KEEP_ALIVE_UPSTREAM_H_
#define POMELORING_TEST_SUPPORT_KEEP_ALIVE_UPSTREAM_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace pomeloring::test {

// One request, as its upstream received it.
struct ReceivedRequest {
  std::string id;
  std::string head;
  // The replies that were due on its connection before, the oldest first.
  std::vector<std::string> earlier_replies;
};

// What the upstream writes, in this order.
struct KeptReply {
  std::string undue;  // At once: copies of earlier replies, or other bytes.
  std::chrono::milliseconds delay{0};
  std::string reply;
  std::chrono::milliseconds late_delay{0};
  std::string late;  // After the reply, also without another request.
  bool closes = false;
};

class KeepAliveUpstream {
 public:
  // `reply_to` runs on the upstream's own thread.
  explicit KeepAliveUpstream(
      std::function<KeptReply(const ReceivedRequest&)> reply_to);
  ~KeepAliveUpstream();
  KeepAliveUpstream(const KeepAliveUpstream&) = delete;
  KeepAliveUpstream& operator=(const KeepAliveUpstream&) = delete;

  const std::string& Address() const { return m_address; }

 private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);

  const std::function<KeptReply(const ReceivedRequest&)> m_reply_to;
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  const std::string m_address;
  std::thread m_thread;
};

// Formats a reply that leaves its connection open. `fields` are lines that end
// in CRLF.
std::string KeptReplyText(unsigned status,
                          const std::string& id,
                          const std::string& fields,
                          const std::string& body = {});

}  // namespace pomeloring::test

#endif  // POMELORING_TEST_SUPPORT_KEEP_ALIVE_UPSTREAM_H_
