// Defines CrowdSite: a gateway process with little memory in front of one
// upstream, and the crowd of clients that it is exposed to.

#ifndef POMELORING_TEST_CROWDS_CROWD_SITE_H_
#define POMELORING_TEST_CROWDS_CROWD_SITE_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <string>
#include <thread>

#include "support/process.h"

namespace pomeloring::test {

// What each client of a crowd does; it then leaves its connection open.
struct CrowdClient {
  std::string head;
  std::string piece;  // Sent `pieces` times after the head.
  size_t pieces = 0;
  bool reads = true;  // Whether it reads what the gateway sends.
};

struct CrowdSiteOptions {
  // Whether the settings tell the gateway its memory, or only the kernel does.
  bool sets_memory = true;
  uint64_t max_files = 0;  // Descriptors that it may open; 0: as inherited.
};

class CrowdSite {
 public:
  // The memory of the gateway, and the bound of its peak.
  static constexpr uint64_t kMemoryMb = 64;

  explicit CrowdSite(const CrowdSiteOptions& options);
  ~CrowdSite();
  CrowdSite(const CrowdSite&) = delete;
  CrowdSite& operator=(const CrowdSite&) = delete;

  std::string CallerAddress() const { return m_ip + ":7202"; }
  std::string DirectoryAddress() const { return m_ip + ":7203"; }
  std::string ReadyAddress() const { return m_ip + ":7204"; }
  std::string MetricsAddress() const { return m_ip + ":7206"; }

  // Connects `count` clients to `address`, and returns once each has sent all,
  // has been cut off, or makes no progress. They stay connected.
  void Gather(const std::string& address, size_t count, CrowdClient client);
  // Checks beside the crowd that the gateway lives, that its peak of memory
  // and its open descriptors are within their bounds, and that an ordinary
  // request is served.
  void CheckServes(size_t max_descriptors);

 private:
  boost::asio::awaitable<void> Send(boost::asio::ip::tcp::socket& socket,
                                    const CrowdClient& client);
  boost::asio::awaitable<void> AcceptUpstream();
  boost::asio::awaitable<void> ServeUpstream(
      boost::asio::ip::tcp::socket socket);
  void PutIntoStore(const std::string& topic,
                    const std::string& key,
                    const std::string& value);

  const std::string m_ip;
  boost::asio::io_context m_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_work{m_context.get_executor()};
  boost::asio::ip::tcp::acceptor m_upstream;
  std::list<boost::asio::ip::tcp::socket> m_clients;
  std::list<CrowdClient> m_kinds;
  std::atomic<size_t> m_sending{0};
  std::atomic<size_t> m_sent_bytes{0};
  std::unique_ptr<Process> m_store;
  std::unique_ptr<Process> m_gateway;
  std::thread m_thread;
};

}  // namespace pomeloring::test

#endif  // POMELORING_TEST_CROWDS_CROWD_SITE_H_
