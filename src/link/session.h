// Defines SessionTable: where the actions on a request reach the coroutine that
// serves its caller.

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

struct CallerDisconnected {};
using SessionEvent = std::variant<StartUpstream,
                                  CancelUpstream,
                                  FinishRequest,
                                  ForwardRequest,
                                  CallerDisconnected>;

using Mailbox = boost::asio::experimental::concurrent_channel<
    void(boost::system::error_code, SessionEvent)>;

class SessionTable {
 public:
  std::shared_ptr<Mailbox> Open(const RequestId& request,
                                const boost::asio::any_io_executor& executor);
  void Close(const RequestId& request);
  void Post(const RequestId& request, SessionEvent event);

 private:
  struct Shard {
    std::mutex mutex;
    std::unordered_map<RequestId, std::shared_ptr<Mailbox>> mailboxes;
  };
  Shard& ShardOf(const RequestId& request);
  std::array<Shard, 16> m_shards;
};

// Carries out actions of the core.
using ActionSink = std::function<void(Actions)>;

}  // namespace pomeloring

#endif  // POMELORING_LINK_SESSION_H_
