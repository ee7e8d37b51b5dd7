// Defines IoThreads: threads with one event loop each, so that the state of a
// connection is only accessed by one thread.

#ifndef POMELORING_LINK_IO_THREADS_H_
#define POMELORING_LINK_IO_THREADS_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace pomeloring {

class IoThreads {
 public:
  explicit IoThreads(size_t count);
  ~IoThreads();

  boost::asio::io_context& First() { return *m_contexts.front(); }
  // Returns the event loops round-robin.
  boost::asio::io_context& Next();
  void Start();
  // Stops the loops and joins the threads. Must not be called on one of them.
  void Stop();

 private:
  using WorkGuard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;
  std::vector<std::unique_ptr<boost::asio::io_context>> m_contexts;
  std::vector<WorkGuard> m_guards;
  std::vector<std::thread> m_threads;
  std::atomic<size_t> m_next{0};
};

}  // namespace pomeloring

#endif  // POMELORING_LINK_IO_THREADS_H_
