// Defines PeerExchange: exchanges membership messages, digests and store
// updates with other gateways.

#ifndef POMELORING_GATEWAY_PEER_EXCHANGE_H_
#define POMELORING_GATEWAY_PEER_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/membership.h"
#include "daemon/log.h"
#include "gateway/store_feed.h"
#include "link/http_client.h"
#include "link/http_server.h"
#include "routing/digest_relay.h"
#include "routing/router.h"

namespace pomeloring {

struct PeerExchangeContext {
  boost::asio::io_context& context;
  Router& router;
  StoreFeed& feed;
  Log& log;
  GatewayMetrics& metrics;
  // Called many times a second; may be empty.
  std::function<void()> on_tick;
  // Receives datagrams of SendUsage(); may be empty.
  std::function<void(std::string_view bytes)> on_usage;
  // Appends origins to the platform's log: `by_peer` of peers that have chosen
  // this instance to do so. May be empty.
  std::function<void(std::span<const KeyedOrigin>, bool by_peer)>
      append_origins;
};

// Used from one thread.
class PeerExchange {
 public:
  PeerExchange(PeerExchangeContext context,
               Member self,
               std::vector<std::string> seeds);

  std::optional<ListenError> Listen();
  boost::asio::awaitable<void> Receive();
  boost::asio::awaitable<void> Tick();
  // Replies to a peer that fetches newer configuration or registrations.
  boost::asio::awaitable<void> ServeFetch(HttpExchange& exchange);

  // Sends the next digest without waiting for the idle interval.
  void RequestDigest() { m_digest_requested = true; }
  // Tells the holders of the streams where they began.
  void SendOrigins(std::span<const KeyedOrigin> streams);
  // Sends origins to an instance that appends them to the platform's log.
  void SendToAppender(const InstanceName& appender,
                      std::span<const KeyedOrigin> streams);
  // Asks the holders of a stream of `service`. The report merges their replies.
  // It is current if one of them is, or if all have replied and none reaches
  // the store.
  boost::asio::awaitable<StreamOriginReport> AskForOrigin(StreamKey key,
                                                          ServiceName service);
  // Sends counts of requests to the instance that collects them.
  void SendUsage(const InstanceName& receiver, std::string_view bytes);
  // The other instances that are alive and not leaving.
  std::vector<InstanceName> LivePeerNames() const;
  void AdvertiseLeaving();
  bool IsLeaving() const { return m_leaving; }
  void SetSeeds(std::vector<std::string> seeds);
  // Returns the members that serve callers. Includes this instance if it is
  // ready and not leaving.
  std::vector<Member> ServingMembers(Time now) const;
  // Returns the peers that are alive and not leaving.
  std::vector<PeerCandidate> PathCandidates() const;
  // Returns the members that are alive and not leaving, this one included.
  std::vector<RelayCandidate> LiveRelayCandidates() const;
  // Whether this process is known as an instance of the fleet.
  bool IsMember(const InstanceName& name, Incarnation incarnation) const;

 private:
  void ProcessOutput(const MembershipOutput& output);
  void SendTo(const std::string& address, std::string_view bytes);
  void SendDigests(Time now);
  // Returns whether a digest is due, and if so restarts the interval.
  bool BeginDigestIfDue(Time now);
  void BroadcastDigest(Time now);
  void SendDigestToRelay(const RelayCandidate& self, Time now);
  void SendDigestsAsRelay(Time now);
  void SendDigest(const InstanceName& receiver, const PeerDigest& digest);
  void HandleDigestBytes(std::string_view bytes);
  // Starts to fetch what the sender of `digest` has and this instance lacks.
  void FetchIfBehind(const PeerDigest& digest);
  boost::asio::awaitable<void> Fetch(Member peer,
                                     StoreTopic topic,
                                     std::string query);
  void LogFetchFailure(const Member& peer,
                       const HttpResult& result,
                       Duration elapsed);
  const Member* FindMember(const InstanceName& name) const;
  void SendOriginsTo(const InstanceName& receiver,
                     char tag,
                     std::span<const KeyedOrigin> streams);
  struct OriginInquiry;
  boost::asio::awaitable<void> AskHolder(
      std::string address,
      std::shared_ptr<OriginInquiry> inquiry);
  StreamOriginReport ReportOrigin(std::string_view target);

  PeerExchangeContext m_context;
  MembershipState m_members;
  boost::asio::ip::udp::socket m_socket;
  bool m_digest_requested = false;
  bool m_leaving = false;
  // Being fetched. Each on its own: registrations must not wait for a large
  // configuration.
  std::set<StoreTopic> m_fetching;
  Time m_last_digest_at;
  Time m_last_relayed_at;
  // Time that the last digests to the instances that this one relays for take
  // at the permitted fraction of its link.
  Duration m_relay_interval{0};
  std::vector<RelayCandidate> m_relays;
  InstanceName m_relay;  // Receives this instance's digests.
  Time m_own_relay_chosen_at;
  std::set<InstanceName> m_silent_relays;
  Time m_silent_relays_cleared_at;
  Time m_relay_set_chosen_at;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_PEER_EXCHANGE_H_
