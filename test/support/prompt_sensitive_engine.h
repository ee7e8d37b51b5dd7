// Defines PromptSensitiveEngine: a loopback engine that exits as soon as it
// begins to reply to a prompt with a certain part.

#ifndef POMELORING_TEST_SUPPORT_PROMPT_SENSITIVE_ENGINE_H_
#define POMELORING_TEST_SUPPORT_PROMPT_SENSITIVE_ENGINE_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <thread>

namespace pomeloring::test {

class PromptSensitiveEngine {
 public:
  // Streams three events to any request whose header does not contain
  // `fatal_part`. To one that does, it sends the head of a stream, resets the
  // connection and refuses all later ones.
  explicit PromptSensitiveEngine(std::string fatal_part);
  ~PromptSensitiveEngine();
  PromptSensitiveEngine(const PromptSensitiveEngine&) = delete;
  PromptSensitiveEngine& operator=(const PromptSensitiveEngine&) = delete;

  const std::string& Address() const { return m_address; }
  // Requests with the part that have arrived.
  int FatalRequests() const { return m_fatal_requests; }

 private:
  void Serve();
  // Returns false if the engine exits.
  bool Reply(boost::asio::ip::tcp::socket& socket);

  const std::string m_fatal_part;
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  const std::string m_address;
  std::atomic<int> m_fatal_requests{0};
  std::atomic<bool> m_is_stopping{false};
  std::thread m_thread;
};

}  // namespace pomeloring::test

#endif  // POMELORING_TEST_SUPPORT_PROMPT_SENSITIVE_ENGINE_H_
