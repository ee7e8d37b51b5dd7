#include "gateway/peer_exchange.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

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

// The first byte of a datagram says what follows.
constexpr char kMembershipTag = 'M';
constexpr char kDigestTag = 'D';
constexpr size_t kMaxDatagramBytes = size_t{64} * 1024;
// What others run is known this much later; a wake-up costs processor time.
constexpr milliseconds kTickInterval{20};
// With news. Each digest holds the whole state and crosses failure domains, so
// several changes share one; loads are known to peers this much later.
constexpr Duration kDigestInterval = milliseconds(40);
// Without news, so that peers know that this instance lives.
constexpr Duration kIdleDigestInterval = milliseconds(400);
constexpr milliseconds kFetchTimeout{600};
constexpr std::string_view kFetchPath = "/v1/peer/state";
// A member is given to clients while its digests come.
constexpr Duration kServingWithin = milliseconds(1300);

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

}  // namespace

PeerExchange::PeerExchange(PeerExchangeParts parts,
                           Member self,
                           std::vector<std::string> seeds)
    : m_parts(parts), m_socket(parts.context) {
  m_members.random = StableHash(self.name.value, self.incarnation.value);
  m_members.self = std::move(self);
  m_members.seeds = std::move(seeds);
}

std::optional<AddressUnusable> PeerExchange::Listen() {
  const std::string& address = m_members.self.probe_address;
  const auto endpoint = ParseUdpAddress(address);
  if (!endpoint) {
    return AddressUnusable{address, "not IP:port"};
  }
  error_code error;
  m_socket.open(endpoint->protocol(), error);
  m_socket.bind(*endpoint, error);
  if (error) {
    return AddressUnusable{address, error.message()};
  }
  m_socket.non_blocking(true, error);
  return std::nullopt;
}

void PeerExchange::SetSeeds(std::vector<std::string> seeds) {
  m_members.seeds = std::move(seeds);
}

void PeerExchange::SendTo(const std::string& address, std::string_view bytes) {
  // A datagram that can't be sent now is as good as lost; the next one holds
  // the whole state again.
  if (const auto endpoint = ParseUdpAddress(address)) {
    error_code ignored;
    m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), *endpoint, 0,
                     ignored);
  }
}

void PeerExchange::Carry(const MembershipOutput& output) {
  for (const Datagram& datagram : output.datagrams) {
    SendTo(datagram.address,
           std::string(1, kMembershipTag) + EncodeDatagram(datagram.message));
  }
  for (const Member& member : output.changes) {
    m_parts.log.Write(LogLevel::kInfo, "member-changed",
                      {{"member", member.name.value},
                       {"status", std::string(ToString(member.status))},
                       {"leaving", member.leaving ? "true" : "false"}});
  }
}

void PeerExchange::SendDigest() {
  const Time now = Now();
  const PeerDigest digest = m_parts.router.TakeDigestToSend(
      m_leaving, m_parts.feed.ReadsStore(now), now);
  const std::string bytes = std::string(1, kDigestTag) + EncodeDigest(digest);
  for (const auto& [name, known] : m_members.members) {
    if (known.member.status == MemberStatus::kAlive ||
        known.member.status == MemberStatus::kSuspect) {
      SendTo(known.member.probe_address, bytes);
    }
  }
  m_last_digest = now;
  m_tell_soon = false;
}

asio::awaitable<void> PeerExchange::Tick() {
  asio::steady_timer timer(m_parts.context);
  while (true) {
    const Time now = Now();
    Carry(TickMembership(m_members, now));
    const bool has_news = m_tell_soon || m_parts.router.HasChangesToTell();
    if (now - m_last_digest >=
        (has_news ? kDigestInterval : kIdleDigestInterval)) {
      SendDigest();
    }
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
    } else if (const auto message = DecodeDatagram(payload);
               buffer[0] == kMembershipTag && message) {
      const std::string address =
          fmt::format("{}:{}", from.address().to_string(), from.port());
      Carry(HandleMembershipMessage(m_members, address, *message, Now()));
    }
  }
}

const Member* PeerExchange::FindMember(const InstanceName& name) const {
  const auto found = m_members.members.find(name);
  return found == m_members.members.end() ? nullptr : &found->second.member;
}

void PeerExchange::HandleDigestBytes(std::string_view bytes) {
  const auto digest = DecodeDigest(bytes);
  if (!digest || !m_parts.router.HandleDigest(*digest, Now())) {
    return;
  }
  if (m_parts.router.IsBehind(*digest) && !m_fetching) {
    if (const Member* member = FindMember(digest->sender)) {
      m_fetching = true;
      const LogOffset known = m_parts.router.Upstreams().as_of;
      // Of an equally new table that differs, all is needed.
      const bool is_newer = digest->upstreams_as_of > known;
      asio::co_spawn(m_parts.context,
                     Fetch(*member, is_newer ? known : LogOffset{}),
                     asio::detached);
    }
  }
}

asio::awaitable<void> PeerExchange::Fetch(Member peer, LogOffset known) {
  const auto config = m_parts.router.Config();
  const UpstreamTable& table = m_parts.router.Upstreams();
  const uint64_t after = table.is_complete ? known.value : 0;
  HttpRequestMessage request{
      http::verb::get,
      fmt::format("{}?config_version={}&upstreams_as_of={}", kFetchPath,
                  config ? config->version : 0, after),
      11};
  request.set(http::field::host, peer.link_address);
  const auto result =
      co_await CallOnce(peer.link_address, std::move(request), kFetchTimeout);
  m_fetching = false;
  const auto* response = std::get_if<HttpResponseMessage>(&result);
  if (response == nullptr || response->result() != http::status::ok) {
    m_parts.log.Write(LogLevel::kWarning, "peer-fetch-failed",
                      {{"peer", peer.name.value}});
    co_return;
  }
  if (const auto state = DecodePeerStore(response->body())) {
    m_parts.feed.TakeFromPeer(peer.name, *state);
  }
}

asio::awaitable<void> PeerExchange::ServeFetch(HttpExchange& exchange) {
  const std::string_view target = exchange.Request().target();
  HttpReply reply;
  if (target.substr(0, target.find('?')) != kFetchPath) {
    reply.status = 404;
    co_await exchange.Respond(std::move(reply));
    co_return;
  }
  reply.content_type = "application/x-protobuf";
  reply.body = EncodePeerStore(m_parts.feed.StateSince(
      QueryNumber(target, "config_version"),
      LogOffset{QueryNumber(target, "upstreams_as_of")}));
  co_await exchange.Respond(std::move(reply));
}

void PeerExchange::AnnounceLeaving() {
  m_leaving = true;
  Carry(pomeloring::AnnounceLeaving(m_members, Now()));
  SendDigest();
}

std::vector<Member> PeerExchange::Serving(Time now) const {
  std::vector<Member> serving;
  if (!m_leaving && m_parts.router.IsReady()) {
    serving.push_back(m_members.self);
  }
  for (const auto& [name, peer] : m_parts.router.Peers()) {
    const Member* member = FindMember(name);
    if (member != nullptr && peer.digest.ready && !peer.digest.leaving &&
        now - peer.heard < kServingWithin) {
      serving.push_back(*member);
    }
  }
  return serving;
}

}  // namespace pomeloring
