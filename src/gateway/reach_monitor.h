// Defines ReachMonitor: finds out which upstreams this instance can connect to,
// and chooses peers for those that it can't.

#ifndef POMELORING_GATEWAY_REACH_MONITOR_H_
#define POMELORING_GATEWAY_REACH_MONITOR_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "gateway/gateway_context.h"

namespace pomeloring {

// Used from one thread.
class ReachMonitor {
 public:
  // `list_peers` returns the peers that are alive and stay.
  ReachMonitor(GatewayContext& gateway,
               std::function<std::vector<PeerCandidate>()> list_peers);

  // Records whether a connection to the upstream could be made. Logs it if the
  // path has been lost or regained by that.
  void RecordConnect(UpstreamState& upstream, ProbeResult result);
  // Opens connections to the upstreams whose paths have to be checked. To be
  // called many times a second.
  void StartChecks();
  // Returns a peer that may reach the upstream.
  std::optional<PeerCandidate> ChoosePeer(const UpstreamState& upstream);
  // Returns whether the upstream accepts connections from this instance. They
  // are refused only if this instance reaches another upstream.
  boost::asio::awaitable<ProbeResult> Probe(
      std::shared_ptr<UpstreamState> upstream);
  // The same; where this instance gets no connection, a peer decides.
  boost::asio::awaitable<ProbeResult> ProbeWithPeer(
      std::shared_ptr<UpstreamState> upstream);

 private:
  boost::asio::awaitable<void> Check(std::shared_ptr<UpstreamState> upstream);
  void LogChange(const UpstreamState& upstream, PathChange change) const;

  GatewayContext& m_gateway;
  const std::function<std::vector<PeerCandidate>()> m_list_peers;
  Time m_checks_started_at;
  uint64_t m_random;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_REACH_MONITOR_H_
