// Defines RequestWrite: a request that is written to an upstream or a peer
// while the reply is read.

#ifndef POMELORING_GATEWAY_REQUEST_WRITE_H_
#define POMELORING_GATEWAY_REQUEST_WRITE_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <memory>
#include <string>

#include "gateway/upstream_connection.h"
#include "memory/memory_budget.h"

namespace pomeloring {

// Neither complete nor failed while the write is in progress.
struct WriteOutcome {
  bool is_complete = false;
  boost::system::error_code error;  // Why it has failed.
};

struct RequestWrite {
  explicit RequestWrite(const boost::asio::any_io_executor& executor)
      : ended(executor, boost::asio::steady_timer::time_point::max()) {}
  WriteOutcome outcome;
  // Cancelled when the write has ended.
  boost::asio::steady_timer ended;
};

// Starts to write `bytes`; `hold` is released at the end.
std::shared_ptr<RequestWrite> StartRequestWrite(
    std::shared_ptr<UpstreamConnection> connection,
    std::string bytes,
    MemoryHold hold);

// Returns once the write is complete or has failed.
boost::asio::awaitable<void> AwaitWrite(std::shared_ptr<RequestWrite> write);

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_REQUEST_WRITE_H_
