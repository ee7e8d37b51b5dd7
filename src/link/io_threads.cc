#include "link/io_threads.h"

namespace pomeloring {

IoThreads::IoThreads(size_t count) {
  for (size_t i = 0; i < count; ++i) {
    m_contexts.push_back(std::make_unique<boost::asio::io_context>(1));
    m_guards.emplace_back(m_contexts.back()->get_executor());
  }
}

IoThreads::~IoThreads() {
  Stop();
}

boost::asio::io_context& IoThreads::Next() {
  return *m_contexts[m_next.fetch_add(1) % m_contexts.size()];
}

void IoThreads::Start() {
  for (auto& context : m_contexts) {
    m_threads.emplace_back([&context] { context->run(); });
  }
}

void IoThreads::Stop() {
  m_guards.clear();
  for (auto& context : m_contexts) {
    context->stop();
  }
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
}

}  // namespace pomeloring
