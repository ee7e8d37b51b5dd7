#include "gateway/reach_monitor.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http.hpp>

#include "gateway/peer_attempt.h"
#include "link/clock.h"
#include "link/http_client.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Visiting every upstream takes time.
constexpr Duration kCheckRoundInterval = milliseconds(50);
// For a peer that opens a connection.
constexpr milliseconds kPeerProbeTimeout{600};

ProbeResult ResultOf(const UpstreamConnectResult& opened) {
  if (std::holds_alternative<std::shared_ptr<UpstreamConnection>>(opened)) {
    return ProbeResult::kAccepted;
  }
  const auto* failed = std::get_if<UnreachableUpstream>(&opened);
  return failed != nullptr && failed->is_refused ? ProbeResult::kRefused
                                                 : ProbeResult::kUnknown;
}

}  // namespace

ReachMonitor::ReachMonitor(
    GatewayContext& gateway,
    std::function<std::vector<PeerCandidate>()> list_peers)
    : m_gateway(gateway),
      m_list_peers(std::move(list_peers)),
      m_random(StableHash(gateway.router.Settings().name.value,
                          gateway.router.Settings().random_seed)) {}

// The idle connections were opened before the loss, and most likely hang.
void ReachMonitor::RecordConnect(UpstreamState& upstream, ProbeResult result) {
  const PathChange change =
      m_gateway.router.RecordConnect(upstream, result, Now());
  if (change == PathChange::kNone) {
    return;
  }
  if (change == PathChange::kLost) {
    m_gateway.pool.CloseIdleTo(upstream.record.address);
  }
  LogChange(upstream, change);
  m_gateway.on_load_change();
}

void ReachMonitor::LogChange(const UpstreamState& upstream,
                             PathChange change) const {
  const bool is_lost = change == PathChange::kLost;
  CountEvent(m_gateway.metrics, is_lost ? "paths_lost" : "paths_regained");
  const ServiceName& service = upstream.record.service;
  const auto counts = m_gateway.router.CountReached();
  const auto count = counts.find(service);
  const ReachCount reach = count == counts.end() ? ReachCount() : count->second;
  const DirectPath& path = upstream.direct_path;
  m_gateway.log.Write(
      is_lost ? LogLevel::kWarning : LogLevel::kInfo,
      is_lost ? "path-lost" : "path-regained",
      {{"upstream", upstream.record.id.value},
       {"service", service.value},
       {"reached", std::to_string(reach.reached)},
       {"of", std::to_string(reach.known)},
       {"peer_reaches", upstream.has_peer_path ? "true" : "false"},
       {"lost_ms",
        fmt::format("{:.0f}", is_lost ? 0.0 : ToMillis(Now() - path.lost_at))},
       {"last_byte_ms",
        path.last_byte_at == Time{}
            ? std::string()
            : fmt::format("{:.0f}", ToMillis(Now() - path.last_byte_at))},
       {"required_connects", std::to_string(path.required_connects)}});
}

void ReachMonitor::StartChecks() {
  const Time now = Now();
  if (now - m_checks_started_at < kCheckRoundInterval) {
    return;
  }
  m_checks_started_at = now;
  ForgetRefusals(m_gateway.peer_paths, now);
  for (auto& upstream : m_gateway.router.UpstreamsToCheck(now)) {
    BeginCheck(upstream->direct_path, now);
    CountEvent(m_gateway.metrics, "path_checks");
    asio::co_spawn(m_gateway.context, Check(std::move(upstream)),
                   asio::detached);
  }
}

// Upstreams limit their connections, so that this one is not kept.
asio::awaitable<void> ReachMonitor::Check(
    std::shared_ptr<UpstreamState> upstream) {
  auto opened = co_await m_gateway.pool.Open(upstream->record.address);
  RecordConnect(*upstream, ResultOf(opened));
  EndCheck(upstream->direct_path);
  if (auto* connection =
          std::get_if<std::shared_ptr<UpstreamConnection>>(&opened)) {
    (*connection)->Close();
    m_gateway.pool.RecordClosed((*connection)->address);
  }
}

std::optional<PeerCandidate> ReachMonitor::ChoosePeer(
    const UpstreamState& upstream) {
  const Time now = Now();
  std::vector<PeerCandidate> candidates = m_list_peers();
  m_gateway.router.MarkLostPaths(candidates, upstream, now);
  return pomeloring::ChoosePeer(m_gateway.peer_paths, candidates,
                                m_gateway.router.Settings().failure_domain,
                                upstream.record.id, NextRandom(m_random), now);
}

// A partition may refuse connections on behalf of all upstreams. Whether it
// does, one to another upstream tells.
asio::awaitable<ProbeResult> ReachMonitor::Probe(
    std::shared_ptr<UpstreamState> upstream) {
  CountEvent(m_gateway.metrics, "exit_probes");
  auto opened = co_await m_gateway.pool.Open(upstream->record.address);
  ProbeResult result = ResultOf(opened);
  RecordConnect(*upstream, result);
  if (auto* connection =
          std::get_if<std::shared_ptr<UpstreamConnection>>(&opened)) {
    m_gateway.pool.ReturnIdle(std::move(*connection));
  }
  const auto other = m_gateway.router.LastHeardBeside(*upstream);
  if (result == ProbeResult::kRefused && other) {
    auto to_other = co_await m_gateway.pool.Open(other->record.address);
    RecordConnect(*other, ResultOf(to_other));
    if (auto* connection =
            std::get_if<std::shared_ptr<UpstreamConnection>>(&to_other)) {
      (*connection)->Close();
      m_gateway.pool.RecordClosed((*connection)->address);
    } else {
      result = ProbeResult::kUnknown;
    }
  }
  co_return result;
}

asio::awaitable<ProbeResult> ReachMonitor::ProbeWithPeer(
    std::shared_ptr<UpstreamState> upstream) {
  const ProbeResult own = co_await Probe(upstream);
  if (own == ProbeResult::kAccepted) {
    co_return own;
  }
  const auto peer = ChoosePeer(*upstream);
  if (!peer) {
    co_return own;
  }
  HttpRequestMessage request{http::verb::post, kPeerAttemptPath, 11};
  request.set(http::field::host, peer->address);
  const RouterSettings& self = m_gateway.router.Settings();
  request.body() = EncodePeerAttempt(
      {self.name, self.incarnation, upstream->record.id, {}, true, false, {}});
  request.prepare_payload();
  const auto result = co_await SendHttpRequest(
      peer->address, std::move(request), kPeerProbeTimeout);
  const auto* response = std::get_if<HttpResponseMessage>(&result);
  const auto outcome =
      response == nullptr
          ? std::nullopt
          : ParsePeerOutcome(std::string_view((*response)[kPeerOutcomeField]));
  if (outcome == PeerOutcome::kConnected) {
    co_return ProbeResult::kAccepted;
  }
  co_return outcome == PeerOutcome::kRefused ? ProbeResult::kRefused
                                             : ProbeResult::kUnknown;
}

}  // namespace pomeloring
