// Defines SessionTable: delivers the core's actions on a request to the
// coroutine that serves its caller.

#ifndef POMELORING_LINK_SESSION_H_
#define POMELORING_LINK_SESSION_H_

#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <variant>

#include "core/action.h"

namespace pomeloring {

// The caller closed its connection.
struct CallerDisconnected {};
using SessionEvent = std::variant<StartUpstreamAttempt,
                                  CancelUpstreamAttempt,
                                  FinishRequest,
                                  ForwardRequest,
                                  CallerDisconnected>;

// The events of one request that its coroutine has not handled yet.
using Mailbox = boost::asio::experimental::concurrent_channel<
    void(boost::system::error_code, SessionEvent)>;

class SessionTable {
 public:
  // Registers and returns a mailbox for `request`. It is read on `executor`.
  std::shared_ptr<Mailbox> Open(const RequestId& request,
                                const boost::asio::any_io_executor& executor);
  void Close(const RequestId& request);
  // Delivers `event`, or drops it if the request has no mailbox or its mailbox
  // is full.
  void Post(const RequestId& request, SessionEvent event);

 private:
  struct Shard {
    std::mutex mutex;
    std::unordered_map<RequestId, std::shared_ptr<Mailbox>> mailboxes;
  };
  Shard& ShardOf(const RequestId& request);
  std::array<Shard, 16> m_shards;
};

// Executes actions that the core returned.
using ActionSink = std::function<void(Actions)>;

}  // namespace pomeloring

#endif  // POMELORING_LINK_SESSION_H_
