// Defines GatewayContext: the parts and state of a gateway that serving a
// request needs.

#ifndef POMELORING_GATEWAY_GATEWAY_CONTEXT_H_
#define POMELORING_GATEWAY_GATEWAY_CONTEXT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "daemon/log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/peer_codec.h"
#include "gateway/upstream_connection.h"
#include "gateway/wire_codec.h"
#include "memory/memory_budget.h"
#include "routing/router.h"

namespace pomeloring {

class ClientConnection;
class Exchange;

// Of a graceful shutdown.
struct StopSchedule {
  // From then on, only requests are taken that end before `ends_at`.
  Time takes_all_until;
  Time ends_at;  // What is still in progress is cut.
};

// Whether a request with `timeout` may be taken at `now`. One that may not run
// twice is never taken if it could be cut.
inline bool EndsBeforeStop(const StopSchedule& stop,
                           Duration timeout,
                           bool is_retryable,
                           Time now) {
  return now + timeout <= stop.ends_at ||
         (is_retryable && now < stop.takes_all_until);
}

struct GatewayContext {
  boost::asio::io_context& context;
  Router& router;
  UpstreamPool& pool;
  const WireCodec& codec;
  Log& log;
  GatewayMetrics& metrics;
  MemoryBudget& memory;
  // Set during a graceful shutdown.
  bool close_after_reply = false;  // Closes each connection after a reply.
  bool reject_requests = false;    // New requests get a 503.
  std::optional<StopSchedule> stop;
  size_t active_exchanges = 0;             // Requests in progress.
  std::set<Exchange*> admitted_exchanges;  // Those that may reach an upstream.
  std::set<ClientConnection*> callers;     // All open connections of callers.
  uint64_t memory_refusals = 0;            // Since the start.
  std::function<void()> on_load_change;    // Sends the change to peers.
  PeerPaths peer_paths;
  size_t active_peer_attempts = 0;  // Requests in progress for peers.
  // Chooses a peer that may reach the upstream; see peer_path.h.
  std::function<std::optional<PeerCandidate>(const UpstreamState&)> choose_peer;
  // Whether a process is known as an instance of the fleet.
  std::function<bool(const InstanceName&, Incarnation)> is_member;
  // Find out whether the upstream accepts connections; see ReachMonitor.
  using ProbeFunction = std::function<boost::asio::awaitable<ProbeResult>(
      std::shared_ptr<UpstreamState>)>;
  ProbeFunction probe;
  ProbeFunction probe_with_peer;
  // Records whether this instance could connect to an upstream.
  std::function<void(UpstreamState&, ProbeResult)> record_connect;
  // Tells peers where a stream began, and asks them.
  std::function<void(const KeyedOrigin&)> send_origin;
  std::function<boost::asio::awaitable<StreamOriginReport>(StreamKey,
                                                           ServiceName)>
      ask_for_origin;
  // Has the store confirm all registrations up to a time; see StoreFeed.
  std::function<boost::asio::awaitable<bool>(Time since, Duration max_wait)>
      confirm_upstreams;
  // Counts a request of an account that began to run `ago`. Null without the
  // duty "usage".
  std::function<void(const AccountName&, Duration ago)> count_usage;
  // Appends to the platform's log where a stream began. Empty without a log,
  // as the next.
  std::function<void(const KeyedOrigin&)> append_origin;
  // Reads the origins in the log if this instance has started recently and has
  // not read them, and waits up to the given time for that.
  std::function<boost::asio::awaitable<void>(Duration)> await_logged_origins;
  // See ShareLog::AppendOrigin() and ShareLog::Resolve().
  std::function<boost::asio::awaitable<bool>(const KeyedOrigin&,
                                             Duration max_wait)>
      log_origin;
  std::function<boost::asio::awaitable<
      std::variant<StreamOrigin, ShareRefusal>>(StreamKey,
                                                ServiceName,
                                                Time since,
                                                Duration max_wait)>
      resolve_by_shares;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_GATEWAY_CONTEXT_H_
