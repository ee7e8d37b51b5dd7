// Defines UpstreamConnection and UpstreamPool: persistent connections to
// upstreams.

#ifndef POMELORING_GATEWAY_UPSTREAM_CONNECTION_H_
#define POMELORING_GATEWAY_UPSTREAM_CONNECTION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "gateway/carried_requests.h"
#include "link/http_client.h"

namespace pomeloring {

struct UpstreamConnection {
  explicit UpstreamConnection(const boost::asio::any_io_executor& executor)
      : socket(executor), buffer(kMaxUnparsedBytes) {}
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::string address;
  bool is_reused = false;  // Has carried a request before.
  CarriedRequests carried;
  std::chrono::steady_clock::time_point idle_since;
  std::chrono::milliseconds advertised_idle_timeout{0};  // 0: none.
  std::chrono::milliseconds idle_timeout{0};

  void Close();
};

struct UnreachableUpstream {
  std::string address;
  bool is_refused = false;  // No process listens there.
};
// This instance's share of the upstream's connections is in use.
struct ConnectionLimitReached {};

using UpstreamConnectResult = std::variant<std::shared_ptr<UpstreamConnection>,
                                           UnreachableUpstream,
                                           ConnectionLimitReached>;

// For how long from now a request could reuse an idle connection to an address;
// 0: there is none.
struct IdleTimes {
  std::chrono::milliseconds retryable{0};
  std::chrono::milliseconds unsafe{0};  // A request that must not be retried.
};

// What a request needs of a connection.
struct ConnectionNeeds {
  std::string address;
  std::string request_id;
  // Of connections to the address, in use and idle.
  size_t max_open = 1;
  // Reuses only connections that became idle a moment ago.
  bool fresh_only = false;
};

struct PoolSettings {
  // Keeps idle connections for longer, for requests that may be retried.
  bool keeps_idle_longer = false;
  // Called after a change of the idle connections to an address. May be null.
  std::function<void(const std::string& address, const IdleTimes&)>
      on_idle_change;
};

struct PoolCounts {
  uint64_t opened = 0;  // Connections, or attempts to open one.
  uint64_t reused = 0;  // Requests sent on an idle connection.
  // Idle connections closed here for their age, and those that the upstream
  // closed.
  uint64_t expired = 0;
  uint64_t closed_by_upstream = 0;
  // Closed after a request or a check, or failed to open.
  uint64_t not_reusable = 0;
};

// Used from one thread.
class UpstreamPool {
 public:
  explicit UpstreamPool(boost::asio::io_context& context,
                        PoolSettings settings = {})
      : m_context(context), m_settings(std::move(settings)) {}

  // Returns the most recently used idle connection that may carry the request,
  // or opens one.
  boost::asio::awaitable<UpstreamConnectResult> Connect(ConnectionNeeds needs);
  // Opens a connection, whether there are idle ones or not.
  boost::asio::awaitable<UpstreamConnectResult> Open(std::string address);
  // Returns a connection to the pool. No reply may be pending on it.
  void ReturnIdle(std::shared_ptr<UpstreamConnection> connection);
  // Whether an idle connection to `address` may carry the request.
  bool HasIdle(const std::string& address, std::string_view request_id) const;
  // Closes the idle connections to an address that may not work any more.
  void CloseIdleTo(const std::string& address);
  // Records that a connection from Connect() was closed.
  void RecordClosed(const std::string& address);
  // Closes the connections that have exceeded their idle timeout.
  void CloseIdle();
  const PoolCounts& Counts() const { return m_counts; }

 private:
  struct Host {
    std::vector<std::shared_ptr<UpstreamConnection>> idle;
    size_t open = 0;  // Idle ones and those in use.
  };
  // Whether the connection can't be used by any request any more. Counts why.
  bool IsUnusable(UpstreamConnection& connection);
  std::shared_ptr<UpstreamConnection> TakeIdle(Host& host,
                                               const ConnectionNeeds& needs);
  // Closes an idle connection to open another one instead.
  void CloseOldestIdle(Host& host);
  void ReportIdle(const std::string& address, const Host& host) const;

  boost::asio::io_context& m_context;
  const PoolSettings m_settings;
  std::map<std::string, Host> m_hosts;
  PoolCounts m_counts;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_UPSTREAM_CONNECTION_H_
