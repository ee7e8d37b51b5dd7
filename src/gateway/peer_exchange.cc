#include "gateway/peer_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <limits>

#include "link/address.h"
#include "link/clock.h"
#include "link/codec.h"
#include "link/http_client.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::udp;
using boost::system::error_code;

// The first byte of a datagram is its type.
constexpr char kMembershipTag = 'M';
constexpr char kDigestTag = 'D';
constexpr char kOriginsTag = 'S';
constexpr char kUsageTag = 'U';
constexpr char kOriginsToAppendTag = 'A';
constexpr size_t kMaxDatagramBytes = size_t{64} * 1024;
// A longer interval adds to the age of the loads that peers see; each wake-up
// costs CPU time.
constexpr milliseconds kTickInterval{20};
// While there are changes. Each digest repeats the state of its sender, except
// for unchanged loads, and crosses failure domains, so several changes share
// one; peers see loads this much later.
constexpr Duration kDigestInterval = milliseconds(40);
// Without changes, as a heartbeat.
constexpr Duration kIdleDigestInterval = milliseconds(400);
// Without a byte; the state may take any time to transfer.
constexpr milliseconds kFetchTimeout{600};
constexpr std::string_view kFetchPath = "/v1/peer/state";
constexpr std::string_view kOriginPath = "/v1/peer/stream";
constexpr std::string_view kStreamParameter = "stream";
constexpr std::string_view kServiceParameter = "service";
// Instances that hold the origin of a stream. More are asked for it than hold
// it: views of who is alive differ for a moment, most of all after a failure.
constexpr size_t kHolders = 3;
constexpr size_t kAskedHolders = 5;
// A caller waits for it. Peers reply within milliseconds.
constexpr milliseconds kAskTimeout{250};
// Limits the size of a datagram.
constexpr size_t kMaxOriginsPerDatagram = 100;
// Parameters of its query: the requester's configuration (its version, and the
// hash of its text) and registrations, and whether it asks for a configuration
// only.
constexpr std::string_view kConfigVersionParameter = "config_version";
constexpr std::string_view kTextHashParameter = "config_text_hash";
constexpr std::string_view kAsOfParameter = "upstreams_as_of";
constexpr std::string_view kConfigOnlyParameter = "config_only";
// Minimum between digests to the instances that this one relays for. Each holds
// the loads of all upstreams.
constexpr Duration kRelayInterval = milliseconds(80);
// Fraction of this instance's link that those digests may use.
constexpr double kRelayLinkFraction = 0.1;
constexpr size_t kBytesPerLoad = 45;  // Encoded, approximate.
constexpr double kBitsPerByte = 8;    // Mbit/s are bits per microsecond.
// Two missed idle digests of a relay.
constexpr Duration kRelayTimeout = milliseconds(900);
// A relay that timed out may have been paused or cut off for some seconds only.
constexpr Duration kRelayRetryInterval = seconds(10);
// Choosing relays visits every member; members change a few times a second at
// most.
constexpr Duration kChooseRelaysInterval = milliseconds(200);

auto Await(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

uint64_t QueryNumber(std::string_view target, std::string_view name) {
  const size_t at = target.find(fmt::format("{}=", name));
  uint64_t number = 0;
  if (at != std::string_view::npos) {
    const char* begin = target.data() + at + name.size() + 1;
    std::from_chars(begin, target.data() + target.size(), number);
  }
  return number;
}

std::string QueryText(std::string_view target, std::string_view name) {
  const size_t at = target.find(fmt::format("{}=", name));
  if (at == std::string_view::npos) {
    return {};
  }
  const std::string_view text = target.substr(at + name.size() + 1);
  return std::string(text.substr(0, text.find('&')));
}

std::string FailureReason(const HttpResult& result) {
  if (const auto* response = std::get_if<HttpResponseMessage>(&result)) {
    return fmt::format("status {}", response->result_int());
  }
  if (const auto* lost = std::get_if<ReplyLost>(&result)) {
    return lost->timed_out ? "timeout" : "connection lost";
  }
  return "no connection";
}

}  // namespace

PeerExchange::PeerExchange(PeerExchangeContext context,
                           Member self,
                           std::vector<std::string> seeds)
    : m_context(context), m_socket(context.context) {
  m_members.random = StableHash(self.name.value, self.incarnation.value);
  m_members.self = std::move(self);
  m_members.seeds = std::move(seeds);
}

std::optional<ListenError> PeerExchange::Listen() {
  const std::string& address = m_members.self.probe_address;
  const auto endpoint = ParseUdpAddress(address);
  if (!endpoint) {
    return ListenError{address, "not IP:port"};
  }
  error_code error;
  m_socket.open(endpoint->protocol(), error);
  m_socket.bind(*endpoint, error);
  if (error) {
    return ListenError{address, error.message()};
  }
  m_socket.non_blocking(true, error);
  return std::nullopt;
}

void PeerExchange::SetSeeds(std::vector<std::string> seeds) {
  m_members.seeds = std::move(seeds);
}

void PeerExchange::SendTo(const std::string& address, std::string_view bytes) {
  // A send error is treated like a lost datagram: later datagrams repeat its
  // content, at the latest the next full digest.
  if (const auto endpoint = ParseUdpAddress(address)) {
    error_code ignored;
    m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), *endpoint, 0,
                     ignored);
  }
}

void PeerExchange::ProcessOutput(const MembershipOutput& output) {
  for (const Datagram& datagram : output.datagrams) {
    SendTo(datagram.address,
           std::string(1, kMembershipTag) + EncodeDatagram(datagram.message));
  }
  for (const Member& member : output.changes) {
    m_context.log.Write(LogLevel::kInfo, "member-changed",
                        {{"member", member.name.value},
                         {"status", std::string(ToString(member.status))},
                         {"leaving", member.leaving ? "true" : "false"}});
  }
}

void PeerExchange::SendDigest(const InstanceName& receiver,
                              const PeerDigest& digest) {
  if (const Member* member = FindMember(receiver)) {
    for (const PeerDigest& piece : SplitDigest(digest)) {
      SendTo(member->probe_address,
             std::string(1, kDigestTag) + EncodeDigest(piece));
    }
  }
}

std::vector<RelayCandidate> PeerExchange::LiveRelayCandidates() const {
  std::vector<RelayCandidate> live;
  const auto add = [&live](const Member& member) {
    live.push_back({member.name, member.failure_domain, member.relay_capacity});
  };
  if (!m_leaving) {
    add(m_members.self);
  }
  for (const auto& [name, known] : m_members.members) {
    if (known.member.status == MemberStatus::kAlive && !known.member.leaving) {
      add(known.member);
    }
  }
  return live;
}

void PeerExchange::SendDigests(Time now) {
  if (m_relays.empty()) {
    BroadcastDigest(now);
    return;
  }
  const RelayCandidate self{m_members.self.name, m_members.self.failure_domain,
                            0};
  const bool is_relay =
      std::any_of(m_relays.begin(), m_relays.end(),
                  [&](const auto& relay) { return relay.name == self.name; });
  m_context.router.SetRelaying(is_relay);
  if (is_relay) {
    SendDigestsAsRelay(now);
  } else {
    SendDigestToRelay(self, now);
  }
}

void PeerExchange::BroadcastDigest(Time now) {
  m_context.router.SetRelaying(false);
  if (!BeginDigestIfDue(now)) {
    return;
  }
  const PeerDigest digest = m_context.router.BuildDigest(
      m_leaving, m_context.feed.IsReadingStore(now), now);
  for (const PeerDigest& piece : SplitDigest(digest)) {
    const std::string bytes = std::string(1, kDigestTag) + EncodeDigest(piece);
    for (const auto& [name, known] : m_members.members) {
      if (known.member.status == MemberStatus::kAlive ||
          known.member.status == MemberStatus::kSuspect) {
        SendTo(known.member.probe_address, bytes);
      }
    }
  }
}

bool PeerExchange::BeginDigestIfDue(Time now) {
  const bool has_changes =
      m_digest_requested || m_context.router.HasChangesToSend();
  if (now - m_last_digest_at <
      (has_changes ? kDigestInterval : kIdleDigestInterval)) {
    return false;
  }
  m_last_digest_at = now;
  m_digest_requested = false;
  return true;
}

// Sends the digest to this instance's relay. A relay that timed out is replaced
// by the next one, and may be chosen again after kRelayRetryInterval.
void PeerExchange::SendDigestToRelay(const RelayCandidate& self, Time now) {
  const auto& peers = m_context.router.Peers();
  const auto relay_peer = peers.find(m_relay);
  const Time last_contact =
      relay_peer == peers.end()
          ? m_own_relay_chosen_at
          : std::max(relay_peer->second.last_received, m_own_relay_chosen_at);
  const bool is_silent = now - last_contact >= kRelayTimeout;
  if (is_silent && !m_relay.value.empty()) {
    m_silent_relays.insert(m_relay);
  }
  if (now - m_silent_relays_cleared_at >= kRelayRetryInterval ||
      m_silent_relays.empty()) {
    m_silent_relays.clear();
    m_silent_relays_cleared_at = now;
  }
  const auto relay = ChooseRelayFor(self, m_relays, m_silent_relays);
  InstanceName previous;
  if (relay && *relay != m_relay) {
    previous = m_relay;
    m_last_digest_at = Time{};
    m_context.log.Write(LogLevel::kInfo, "relay-chosen",
                        {{"relay", relay->value},
                         {"before", m_relay.value},
                         {"before_silent", is_silent ? "true" : "false"},
                         {"relays", std::to_string(m_relays.size())}});
    m_relay = *relay;
    m_own_relay_chosen_at = now;
  }
  if (BeginDigestIfDue(now)) {
    const PeerDigest digest = m_context.router.BuildDigest(
        m_leaving, m_context.feed.IsReadingStore(now), now, m_relay);
    SendDigest(m_relay, digest);
    // Otherwise the previous relay would keep counting the loads that the new
    // one counts now.
    SendDigest(previous, digest);
  }
}

void PeerExchange::SendDigestsAsRelay(Time now) {
  const bool reads_store = m_context.feed.IsReadingStore(now);
  if (BeginDigestIfDue(now)) {
    const PeerDigest digest =
        m_context.router.BuildGroupDigest(m_leaving, reads_store, now);
    for (const RelayCandidate& relay : m_relays) {
      SendDigest(relay.name, digest);
    }
  }
  const Duration interval = m_context.router.HasChangesToRelay()
                                ? std::max(kRelayInterval, m_relay_interval)
                                : kIdleDigestInterval;
  if (now - m_last_relayed_at < interval) {
    return;
  }
  m_last_relayed_at = now;
  size_t sent_bytes = 0;
  for (const auto& [name, digest] :
       m_context.router.BuildRelayedDigests(m_leaving, reads_store, now)) {
    SendDigest(name, digest);
    sent_bytes += kBytesPerLoad * digest.loads.size();
  }
  const double bytes_per_us =
      kRelayLinkFraction * m_members.self.relay_capacity / kBitsPerByte;
  m_relay_interval = Duration{static_cast<int64_t>(
      static_cast<double>(sent_bytes) / std::max(bytes_per_us, 0.01))};
}

asio::awaitable<void> PeerExchange::Tick() {
  asio::steady_timer timer(m_context.context);
  while (true) {
    const Time now = Now();
    ProcessOutput(TickMembership(m_members, now));
    if (now - m_relay_set_chosen_at >= kChooseRelaysInterval) {
      m_relays = ChooseRelays(LiveRelayCandidates());
      m_relay_set_chosen_at = now;
    }
    if (m_context.on_tick) {
      m_context.on_tick();
    }
    if (const auto streams = m_context.router.TakeOriginsToSend();
        !streams.empty()) {
      SendOrigins(streams);
      if (m_context.append_origins) {
        m_context.append_origins(streams, false);
      }
    }
    SendDigests(now);
    error_code ignored;
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(Await(ignored));
  }
}

asio::awaitable<void> PeerExchange::Receive() {
  std::string buffer(kMaxDatagramBytes, '\0');
  while (true) {
    udp::endpoint from;
    error_code error;
    const size_t size = co_await m_socket.async_receive_from(
        asio::buffer(buffer), from, Await(error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error || size < 2) {
      continue;
    }
    const std::string_view payload =
        std::string_view(buffer).substr(1, size - 1);
    if (buffer[0] == kDigestTag) {
      HandleDigestBytes(payload);
    } else if (buffer[0] == kOriginsTag || buffer[0] == kOriginsToAppendTag) {
      if (const auto streams = DecodeOrigins(payload)) {
        m_context.router.ApplyOrigins(*streams, Now());
        if (buffer[0] == kOriginsToAppendTag && m_context.append_origins) {
          m_context.append_origins(*streams, true);
        }
      }
    } else if (buffer[0] == kUsageTag) {
      if (m_context.on_usage) {
        m_context.on_usage(payload);
      }
    } else if (const auto message = DecodeDatagram(payload);
               buffer[0] == kMembershipTag && message) {
      const std::string address =
          fmt::format("{}:{}", from.address().to_string(), from.port());
      ProcessOutput(
          HandleMembershipMessage(m_members, address, *message, Now()));
    }
  }
}

const Member* PeerExchange::FindMember(const InstanceName& name) const {
  const auto found = m_members.members.find(name);
  return found == m_members.members.end() ? nullptr : &found->second.member;
}

std::vector<InstanceName> PeerExchange::LivePeerNames() const {
  std::vector<InstanceName> names;
  for (const auto& [name, known] : m_members.members) {
    if (known.member.status == MemberStatus::kAlive && !known.member.leaving &&
        name != m_members.self.name) {
      names.push_back(name);
    }
  }
  return names;
}

void PeerExchange::SendOrigins(std::span<const KeyedOrigin> streams) {
  const std::vector<InstanceName> peers = LivePeerNames();
  std::map<InstanceName, std::vector<KeyedOrigin>> by_holder;
  for (const KeyedOrigin& stream : streams) {
    for (InstanceName& holder : ChooseHolders(stream.first, peers, kHolders)) {
      by_holder[std::move(holder)].push_back(stream);
    }
  }
  for (const auto& [holder, held] : by_holder) {
    SendOriginsTo(holder, kOriginsTag, held);
  }
}

void PeerExchange::SendToAppender(const InstanceName& appender,
                                  std::span<const KeyedOrigin> streams) {
  SendOriginsTo(appender, kOriginsToAppendTag, streams);
}

void PeerExchange::SendOriginsTo(const InstanceName& receiver,
                                 char tag,
                                 std::span<const KeyedOrigin> streams) {
  const Member* member = FindMember(receiver);
  for (size_t at = 0; member != nullptr && at < streams.size();
       at += kMaxOriginsPerDatagram) {
    const auto piece = streams.subspan(
        at, std::min(kMaxOriginsPerDatagram, streams.size() - at));
    SendTo(member->probe_address,
           fmt::format("{}{}", tag, EncodeOrigins(piece)));
  }
}

void PeerExchange::SendUsage(const InstanceName& receiver,
                             std::string_view bytes) {
  if (const Member* member = FindMember(receiver)) {
    SendTo(member->probe_address, fmt::format("{}{}", kUsageTag, bytes));
  }
}

// Of one question to several holders.
struct PeerExchange::OriginInquiry {
  OriginInquiry(asio::io_context& context, std::string asked, size_t holders)
      : answered(context, kAskTimeout),
        target(std::move(asked)),
        unanswered(holders) {}

  asio::steady_timer answered;  // Cancelled when no more answers are needed.
  const std::string target;
  size_t unanswered = 0;
  size_t replies = 0;
  StreamOriginReport report;
};

asio::awaitable<StreamOriginReport> PeerExchange::AskForOrigin(
    StreamKey key,
    ServiceName service) {
  const auto holders = ChooseHolders(key, LivePeerNames(), kAskedHolders);
  const auto inquiry = std::make_shared<OriginInquiry>(
      m_context.context,
      fmt::format("{}?{}={}&{}={}", kOriginPath, kStreamParameter, key,
                  kServiceParameter, service.value),
      holders.size());
  for (const InstanceName& holder : holders) {
    asio::co_spawn(m_context.context,
                   AskHolder(FindMember(holder)->link_address, inquiry),
                   asio::detached);
  }
  if (!holders.empty()) {
    error_code ignored;
    co_await inquiry->answered.async_wait(Await(ignored));
  }
  // While nobody reaches the store, no upstream can register.
  inquiry->report.is_current |=
      !holders.empty() && inquiry->replies == holders.size();
  co_return inquiry->report;
}

asio::awaitable<void> PeerExchange::AskHolder(
    std::string address,
    std::shared_ptr<OriginInquiry> inquiry) {
  HttpRequestMessage request{http::verb::get, inquiry->target, 11};
  request.set(http::field::host, address);
  const auto result =
      co_await SendHttpRequest(address, std::move(request), kAskTimeout);
  const auto* response = std::get_if<HttpResponseMessage>(&result);
  if (response != nullptr && response->result() == http::status::ok) {
    if (auto report = DecodeOriginReport(response->body())) {
      MergeReport(inquiry->report, std::move(*report));
      ++inquiry->replies;
    }
  }
  if (--inquiry->unanswered == 0 || inquiry->report.origin) {
    inquiry->answered.cancel();
  }
}

StreamOriginReport PeerExchange::ReportOrigin(std::string_view target) {
  const Time now = Now();
  StreamOriginReport report = pomeloring::ReportOrigin(
      m_context.router.Origins(), QueryNumber(target, kStreamParameter),
      {QueryText(target, kServiceParameter)}, now);
  report.is_current = m_context.feed.HasCurrentUpstreams(now);
  if (report.is_current && report.knows_all_versions) {
    report.complete_as_of = m_context.router.Upstreams().as_of;
  }
  return report;
}

void PeerExchange::HandleDigestBytes(std::string_view bytes) {
  const auto digest = DecodeDigest(bytes);
  if (!digest || !m_context.router.HandleDigest(*digest, Now())) {
    return;
  }
  FetchIfBehind(*digest);
}

void PeerExchange::FetchIfBehind(const PeerDigest& digest) {
  const Member* member = FindMember(digest.sender);
  if (member == nullptr) {
    return;
  }
  const auto start = [&](StoreTopic topic, std::string query) {
    m_fetching.insert(topic);
    asio::co_spawn(m_context.context, Fetch(*member, topic, std::move(query)),
                   asio::detached);
  };
  const Router& router = m_context.router;
  if (router.IsConfigBehind(digest) &&
      !m_fetching.contains(StoreTopic::kConfiguration)) {
    const auto config = router.Config();
    start(StoreTopic::kConfiguration,
          fmt::format("{}=1&{}={}&{}={}", kConfigOnlyParameter,
                      kConfigVersionParameter, config ? config->version : 0,
                      kTextHashParameter, m_context.feed.ConfigTextHash()));
  }
  if (router.AreUpstreamsBehind(digest) &&
      !m_fetching.contains(StoreTopic::kUpstreams)) {
    start(StoreTopic::kUpstreams,
          fmt::format("{}={}&{}={}", kConfigVersionParameter,
                      std::numeric_limits<uint64_t>::max(), kAsOfParameter,
                      router.UpstreamsKnownTo(digest).value));
  }
}

asio::awaitable<void> PeerExchange::Fetch(Member peer,
                                          StoreTopic topic,
                                          std::string query) {
  HttpRequestMessage request{http::verb::get,
                             fmt::format("{}?{}", kFetchPath, query), 11};
  request.set(http::field::host, peer.link_address);
  const Time started_at = Now();
  const auto result =
      co_await SendHttpRequest(peer.link_address, std::move(request),
                               TransferTimeouts{kFetchTimeout, kFetchTimeout});
  m_fetching.erase(topic);
  const auto* response = std::get_if<HttpResponseMessage>(&result);
  if (response == nullptr || response->result() != http::status::ok) {
    LogFetchFailure(peer, result, Now() - started_at);
    co_return;
  }
  if (const auto state = DecodeStoreUpdate(response->body())) {
    m_context.feed.ApplyPeerUpdate(peer.name, *state);
  }
}

void PeerExchange::LogFetchFailure(const Member& peer,
                                   const HttpResult& result,
                                   Duration elapsed) {
  CountEvent(m_context.metrics, "peer_fetch_failures");
  const auto* lost = std::get_if<ReplyLost>(&result);
  const auto config = m_context.router.Config();
  m_context.log.Write(
      LogLevel::kWarning, "peer-fetch-failed",
      {{"peer", peer.name.value},
       {"reason", FailureReason(result)},
       {"received_bytes", std::to_string(lost ? lost->received_bytes : 0)},
       {"elapsed_ms", std::to_string(elapsed.count() / 1000)},
       {"config_version", std::to_string(config ? config->version : 0)},
       {"newest_config_version",
        std::to_string(m_context.router.NewestKnownConfigVersion())}});
}

asio::awaitable<void> PeerExchange::ServeFetch(HttpExchange& exchange) {
  const std::string_view target = exchange.Request().target();
  HttpReply reply;
  reply.content_type = "application/x-protobuf";
  const std::string_view path = target.substr(0, target.find('?'));
  if (path == kOriginPath) {
    reply.body = EncodeOriginReport(ReportOrigin(target));
    co_await exchange.Respond(std::move(reply));
    co_return;
  }
  if (path != kFetchPath) {
    reply.status = 404;
    co_await exchange.Respond(std::move(reply));
    co_return;
  }
  const uint64_t version = QueryNumber(target, kConfigVersionParameter);
  reply.body = EncodeStoreUpdate(
      QueryNumber(target, kConfigOnlyParameter) != 0
          ? m_context.feed.ConfigSince(version,
                                       QueryNumber(target, kTextHashParameter))
          : m_context.feed.UpdateSince(
                version, LogOffset{QueryNumber(target, kAsOfParameter)}));
  co_await exchange.Respond(std::move(reply));
}

// The copies that this instance holds go to the holders that remain.
void PeerExchange::AdvertiseLeaving() {
  m_leaving = true;
  const StreamOrigins& origins = m_context.router.Origins();
  SendOrigins(StreamsOf(origins, MixedServices(origins), false));
  ProcessOutput(pomeloring::AdvertiseLeaving(m_members, Now()));
  m_last_digest_at = Time{};
  SendDigests(Now());
}

std::vector<PeerCandidate> PeerExchange::PathCandidates() const {
  std::vector<PeerCandidate> candidates;
  for (const auto& [name, known] : m_members.members) {
    const Member& member = known.member;
    if (member.status == MemberStatus::kAlive && !member.leaving) {
      candidates.push_back(
          {name, member.link_address, member.failure_domain, false});
    }
  }
  return candidates;
}

bool PeerExchange::IsMember(const InstanceName& name,
                            Incarnation incarnation) const {
  const Member* member = FindMember(name);
  return member != nullptr && member->incarnation == incarnation;
}

std::vector<Member> PeerExchange::ServingMembers(Time now) const {
  std::vector<Member> serving;
  if (!m_leaving && m_context.router.IsReady()) {
    serving.push_back(m_members.self);
  }
  const std::set<uint32_t> elsewhere = m_context.router.ServingPeerHashes(now);
  for (const auto& [name, known] : m_members.members) {
    const Member& member = known.member;
    const bool is_gone = member.status == MemberStatus::kDead ||
                         member.status == MemberStatus::kLeft;
    if (!is_gone && elsewhere.contains(ShortHash(name))) {
      serving.push_back(member);
    }
  }
  return serving;
}

}  // namespace pomeloring
