#include "gateway/upstream_attempt.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

#include <fmt/format.h>

#include "gateway/peer_attempt.h"
#include "gateway/reply_end.h"
#include "link/clock.h"
#include "link/reply_head.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Of all events of a stream.
constexpr uint64_t kMaxStreamBytes = uint64_t{64} * 1024 * 1024;
// Of a reply that is kept whole until it is complete.
constexpr size_t kMaxWholeReplyBytes = size_t{8} * 1024 * 1024;
// Of a reply to another request, which is read only to be discarded.
constexpr size_t kMaxForeignReplyBytes = size_t{256} * 1024;
// Replies to earlier requests that are skipped before the expected one.
constexpr int kMaxForeignReplies = 3;
// Extends the read timeout while the upstream sends on other connections, since
// it is alive then.
constexpr int kActiveUpstreamTimeoutFactor = 2;
constexpr Duration kUpstreamActivityWindow = milliseconds(500);
constexpr unsigned kStatusOk = 200;
constexpr int kMaxPeersAsked = 3;
// To one peer; a stream takes a connection for as long as it lasts.
constexpr size_t kMaxPeerConnections = 256;
// Fraction of the connections to an upstream that the known instances divide
// among themselves; the rest is for instances that this one does not know of.
constexpr double kUsableConnectionFraction = 0.9;

auto Await(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

// Returns the timeout of a Keep-Alive field, or 0.
std::chrono::milliseconds AdvertisedIdleTimeout(const HttpFields& fields) {
  const std::string_view value = fields[http::field::keep_alive];
  const size_t at = value.find("timeout=");
  if (at == std::string_view::npos) {
    return {};
  }
  int64_t whole_seconds = 0;
  const char* begin = value.data() + at + 8;
  std::from_chars(begin, value.data() + value.size(), whole_seconds);
  return seconds{whole_seconds};
}

}  // namespace

std::string_view ToString(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kWhole:
      return "whole";
    case AttemptEnd::kNotSent:
      return "not-sent";
    case AttemptEnd::kWithdrawn:
      return "withdrawn";
    case AttemptEnd::kNotExecuted:
      return "not-executed";
    case AttemptEnd::kBroken:
      return "broken";
    case AttemptEnd::kSilent:
      return "silent";
    case AttemptEnd::kStopped:
      return "stopped";
  }
  return "unknown";
}

bool StatesNotExecuted(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

size_t MaxConnectionsTo(const Router& router,
                        const ServiceName& service,
                        Time now) {
  const auto config = router.Config();
  if (!config || !config->services.contains(service)) {
    return 1;
  }
  const auto instances = static_cast<double>(router.LivePeerCount(now) + 1);
  return static_cast<size_t>(std::max(
      1.0, kUsableConnectionFraction *
               config->services.at(service).max_connections / instances));
}

UpstreamAttempt::UpstreamAttempt(GatewayContext& gateway,
                                 Request request,
                                 std::shared_ptr<PlacedAttempt> attempt)
    : m_gateway(gateway),
      m_request(std::move(request)),
      m_attempt(std::move(attempt)),
      m_read_timer(gateway.context),
      m_reply_hold(gateway.memory, MemoryKind::kReplies) {}

void UpstreamAttempt::Stop() {
  m_stopped = true;
  m_read_timer.cancel();
  if (m_connection) {
    m_connection->Close();
  }
}

AttemptEnd UpstreamAttempt::FailureEnd() const {
  if (m_stopped) {
    return AttemptEnd::kStopped;
  }
  return m_timed_out ? AttemptEnd::kSilent : AttemptEnd::kBroken;
}

// The timer is restarted only when it fires: bytes come far more often.
void UpstreamAttempt::ArmReadTimer(Duration limit) {
  m_read_timeout = limit;
  if (limit.count() == 0) {
    return;
  }
  const Time now = Now();
  m_read_timer.expires_after(
      std::max(Duration{1000}, m_last_byte_at + limit - now));
  m_read_timer.async_wait([self = shared_from_this()](error_code error) {
    if (error || self->m_stopped || !self->m_connection) {
      return;
    }
    const Time now = Now();
    if (self->m_awaits_caller) {
      self->m_last_byte_at = now;
    }
    Duration limit = self->m_read_timeout;
    const UpstreamState& upstream = *self->m_attempt->upstream;
    const Time active_at = self->m_peer ? upstream.health.last_byte_at
                                        : upstream.direct_path.last_byte_at;
    if (now - active_at < kUpstreamActivityWindow) {
      limit *= kActiveUpstreamTimeoutFactor;
    }
    if (now - self->m_last_byte_at >= limit) {
      self->m_timed_out = true;
      self->m_connection->Close();
      return;
    }
    self->ArmReadTimer(self->m_read_timeout);
  });
}

void UpstreamAttempt::RecordByte() {
  m_last_byte_at = Now();
  m_gateway.router.RecordByte(*m_attempt, m_last_byte_at);
  if (!m_peer) {
    m_attempt->upstream->direct_path.last_byte_at = m_last_byte_at;
  }
}

// Sends while the reply is read: an upstream may reply before it has received
// the whole request.
void UpstreamAttempt::Send(std::string bytes) {
  RecordCarried(m_connection->carried, m_request.id);
  MemoryHold hold(
      m_gateway.memory,
      m_peer ? MemoryKind::kPeerAttempts : MemoryKind::kUpstreamSends,
      bytes.size());
  m_write = StartRequestWrite(m_connection, std::move(bytes), std::move(hold));
}

void UpstreamAttempt::ReserveReply(const Parser& parser) {
  m_reply_hold.Set(parser.get().body().size() +
                   m_connection->buffer.capacity());
}

// A connection that has answered since the path was lost works, whether new
// ones do or not.
asio::awaitable<AttemptEnd> UpstreamAttempt::Execute(const StreamSink& sink) {
  const auto self = shared_from_this();
  if (m_stopped) {
    co_return AttemptEnd::kStopped;
  }
  const DirectPath& path = m_attempt->upstream->direct_path;
  const bool has_idle = m_gateway.pool.HasIdle(m_request.address, m_request.id);
  const bool has_peer = m_request.may_use_peers && path.is_lost &&
                        m_gateway.choose_peer(*m_attempt->upstream);
  if (IsDown(path) && !has_idle && !has_peer) {
    co_return m_stopped ? AttemptEnd::kStopped : AttemptEnd::kNotSent;
  }
  if (has_idle || !has_peer) {
    const AttemptEnd end = co_await ExecuteDirectly(sink);
    if (end != AttemptEnd::kNotSent || !m_request.may_use_peers ||
        !path.is_lost) {
      co_return end;
    }
  }
  co_return co_await ExecuteThroughPeers(sink);
}

asio::awaitable<AttemptEnd> UpstreamAttempt::ExecuteDirectly(
    const StreamSink& sink) {
  const ConnectionNeeds needs{m_request.address, m_request.id,
                              m_request.max_connections,
                              !m_request.is_retryable};
  m_connect_failure = co_await m_gateway.pool.Connect(needs);
  if (const auto* failed =
          std::get_if<UnreachableUpstream>(&m_connect_failure)) {
    LogUnreachable(failed->is_refused);
    m_gateway.record_connect(*m_attempt->upstream, failed->is_refused
                                                       ? ProbeResult::kRefused
                                                       : ProbeResult::kUnknown);
  }
  auto* connected =
      std::get_if<std::shared_ptr<UpstreamConnection>>(&m_connect_failure);
  if (connected == nullptr) {
    co_return m_stopped ? AttemptEnd::kStopped : AttemptEnd::kNotSent;
  }
  m_connection = std::move(*connected);
  if (!m_connection->is_reused) {
    m_gateway.record_connect(*m_attempt->upstream, ProbeResult::kAccepted);
  }
  co_return co_await SendAndReceive(m_request.write(), sink);
}

asio::awaitable<AttemptEnd> UpstreamAttempt::ExecuteThroughPeers(
    const StreamSink& sink) {
  for (int tries = 0; tries < kMaxPeersAsked && !m_stopped; ++tries) {
    m_peer = m_gateway.choose_peer(*m_attempt->upstream);
    if (!m_peer) {
      break;
    }
    const ConnectionNeeds needs{m_peer->address, m_request.id,
                                kMaxPeerConnections, !m_request.is_retryable};
    auto connected = co_await m_gateway.pool.Connect(needs);
    auto* connection =
        std::get_if<std::shared_ptr<UpstreamConnection>>(&connected);
    if (connection == nullptr) {
      RefuseByPeer(std::holds_alternative<ConnectionLimitReached>(connected)
                       ? PeerRefusal::kBusy
                       : PeerRefusal::kUnreachable);
      LogThroughPeer("no-connection");
      continue;
    }
    m_connection = std::move(*connection);
    const RouterSettings& self = m_gateway.router.Settings();
    const PeerAttempt envelope{self.name,
                               self.incarnation,
                               m_attempt->upstream->record.id,
                               m_request.id,
                               m_request.is_retryable,
                               m_request.is_head,
                               m_request.write()};
    const MemoryHold hold(m_gateway.memory, MemoryKind::kPeerAttempts,
                          envelope.bytes.size());
    // The entry stays while it counts a request.
    PeerPathState& path = m_gateway.peer_paths.peers[m_peer->name];
    ++path.in_flight;
    const AttemptEnd end = co_await SendAndReceive(
        WritePeerAttempt(envelope, m_peer->address), sink);
    --path.in_flight;
    LogThroughPeer(ToString(end));
    if (end != AttemptEnd::kNotSent) {
      co_return end;
    }
  }
  co_return m_stopped ? AttemptEnd::kStopped : AttemptEnd::kNotSent;
}

asio::awaitable<AttemptEnd> UpstreamAttempt::SendAndReceive(
    std::string bytes,
    const StreamSink& sink) {
  m_write = nullptr;
  if (m_stopped) {
    ReleaseConnection(true);
    co_return AttemptEnd::kStopped;
  }
  if (const SendBlock block = m_gateway.router.FindSendBlock(*m_attempt, Now());
      block != SendBlock::kNone) {
    LogWithdrawn(block);
    ReleaseConnection(true);
    co_return AttemptEnd::kWithdrawn;
  }
  m_last_byte_at = Now();
  m_sent_at = m_last_byte_at;
  Send(std::move(bytes));
  ArmReadTimer(m_request.first_byte_timeout);
  DirectPath& path = m_attempt->upstream->direct_path;
  if (!m_peer) {
    RecordSent(path, m_last_byte_at);
  }
  const AttemptEnd end = co_await Receive(sink);
  if (!m_peer) {
    RecordEnded(path);
  }
  m_read_timer.cancel();
  co_return end;
}

void UpstreamAttempt::RefuseByPeer(PeerRefusal refusal) {
  RecordRefusal(m_gateway.peer_paths, m_peer->name,
                m_attempt->upstream->record.id, refusal, Now());
}

// Everything but a whole reply with an outcome says that the request may have
// run. A peer that does not know the protocol has no use for the request.
asio::awaitable<AttemptEnd> UpstreamAttempt::ReceivePeerOutcome(
    Parser& parser) {
  const auto outcome =
      ParsePeerOutcome(std::string_view(parser.get()[kPeerOutcomeField]));
  const bool is_whole = co_await ReadWholeBody(parser, kMaxForeignReplyBytes);
  ReleaseConnection(is_whole && outcome.has_value());
  if (!outcome) {
    RefuseByPeer(PeerRefusal::kUnsupported);
    co_return AttemptEnd::kNotSent;
  }
  switch (*outcome) {
    case PeerOutcome::kRefused:
    case PeerOutcome::kUpstreamLost:
      RefuseByPeer(PeerRefusal::kUpstreamLost);
      co_return AttemptEnd::kNotSent;
    case PeerOutcome::kBusy:
      RefuseByPeer(PeerRefusal::kBusy);
      co_return AttemptEnd::kNotSent;
    case PeerOutcome::kUpstreamBlock:
      co_return AttemptEnd::kWithdrawn;
    case PeerOutcome::kSilent:
      co_return AttemptEnd::kSilent;
    default:
      co_return AttemptEnd::kBroken;
  }
}

// Reads heads until one belongs to this request. Late replies to earlier
// requests are discarded.
asio::awaitable<bool> UpstreamAttempt::ReadHead(
    std::unique_ptr<Parser>& parser) {
  int interim_replies = 0;
  for (int foreign_replies = 0; foreign_replies <= kMaxForeignReplies;) {
    parser = std::make_unique<Parser>();
    parser->body_limit(kMaxStreamBytes);
    parser->skip(m_request.is_head);
    error_code error;
    co_await http::async_read_header(m_connection->socket, m_connection->buffer,
                                     *parser, Await(error));
    if (error) {
      LogIfTooLarge(error);
      if (error == http::error::bad_status) {
        LogInvalidHead(error.message());
      }
      co_return false;
    }
    const auto& head = parser->get();
    const bool is_from_upstream =
        !m_peer || std::string_view(head[kPeerOutcomeField]) ==
                       ToString(PeerOutcome::kReplied);
    if (is_from_upstream) {
      RecordByte();
    }
    const ReplyHeadKind kind = ClassifyReplyHead(head);
    if (kind == ReplyHeadKind::kInvalid) {
      LogInvalidHead(fmt::format("status {:03}", head.result_int()));
      co_return false;
    }
    if (kind == ReplyHeadKind::kInterim) {
      if (++interim_replies > kMaxInterimReplies) {
        LogExceeded("interim-replies");
        co_return false;
      }
      continue;
    }
    const ReplyMetadata metadata =
        m_gateway.codec.read_reply(head.result_int(), head.base());
    const ReplyMatch match =
        MatchReply({m_request.id, !m_connection->is_reused, foreign_replies},
                   head.base(), metadata);
    if (match == ReplyMatch::kDue) {
      co_return true;
    }
    ++foreign_replies;
    m_saw_foreign_reply = true;
    LogUndueReply(match, metadata, head.result_int());
    if (match == ReplyMatch::kOutOfStep) {
      co_return false;
    }
    if (!co_await ReadWholeBody(*parser, kMaxForeignReplyBytes)) {
      co_return false;
    }
  }
  co_return false;
}

asio::awaitable<bool> UpstreamAttempt::ReadSome(Parser& parser) {
  error_code error;
  co_await http::async_read_some(m_connection->socket, m_connection->buffer,
                                 parser, Await(error));
  if (error) {
    LogIfTooLarge(error);
    co_return false;
  }
  if (!parser.is_done() || !parser.need_eof()) {
    co_return true;
  }
  const bool is_whole = co_await IsEndOfReply(m_connection, m_write);
  if (!is_whole) {
    LogReplyCut();
  }
  co_return is_whole;
}

asio::awaitable<bool> UpstreamAttempt::ReadWholeBody(Parser& parser,
                                                     size_t max_bytes) {
  parser.eager(true);  // Parses many small chunks at once.
  while (!parser.is_done()) {
    // GCC 12 miscompiles the await within the condition.
    const bool is_read = co_await ReadSome(parser);
    if (!is_read) {
      co_return false;
    }
    ReserveReply(parser);
    if (parser.get().body().size() > max_bytes) {
      LogExceeded("reply-body");
      co_return false;
    }
    if (!MayReplyGrow(m_gateway.memory, parser.get().body().size())) {
      LogExceeded("all-replies");
      co_return false;
    }
  }
  co_return true;
}

asio::awaitable<AttemptEnd> UpstreamAttempt::Receive(const StreamSink& sink) {
  std::unique_ptr<Parser> parser;
  if (!co_await ReadHead(parser)) {
    ReleaseConnection(false);
    if (m_peer && !m_stopped) {
      RefuseByPeer(PeerRefusal::kUnreachable);
    }
    co_return FailureEnd();
  }
  auto& head = parser->get();
  if (m_peer && std::string_view(head[kPeerOutcomeField]) !=
                    ToString(PeerOutcome::kReplied)) {
    co_return co_await ReceivePeerOutcome(*parser);
  }
  if (m_peer) {
    head.erase(kPeerOutcomeField);
  }
  const ReplyMetadata metadata =
      m_gateway.codec.read_reply(head.result_int(), head.base());
  m_head_at = Now();
  m_is_on_reused = m_connection->is_reused;
  m_reply.status = head.result_int();
  m_reply.fields = head.base();
  m_reply.is_signed = metadata.is_signed;
  RecordSignals(metadata);
  m_reply.is_stream = m_reply.status == kStatusOk &&
                      std::string_view(head[http::field::content_type])
                          .starts_with("text/event-stream");
  if (m_reply.is_stream && metadata.is_signed) {
    co_return co_await ForwardStream(*parser, sink);
  }
  const AttemptEnd end = co_await ReadBody(*parser);
  if (end == AttemptEnd::kWhole && metadata.not_executed) {
    LogNotExecuted();
    co_return AttemptEnd::kNotExecuted;
  }
  // A success without the upstream's signature did not come from it.
  if (end == AttemptEnd::kWhole && m_reply.status < 300 &&
      !metadata.is_signed) {
    co_return AttemptEnd::kBroken;
  }
  co_return end;
}

void UpstreamAttempt::RecordSignals(const ReplyMetadata& metadata) {
  const std::string& upstream = m_attempt->upstream->record.id.value;
  if (metadata.malformed) {
    m_gateway.log.Write(LogLevel::kWarning, "upstream-field-malformed",
                        {{"upstream", upstream},
                         {"field", metadata.malformed->name},
                         {"expected", metadata.malformed->expected}});
  }
  // Only a reply of the upstream itself can tell that it names no limit.
  const ReplySignals& signals = metadata.signals;
  const bool is_of_upstream = metadata.is_signed || signals.request_limit ||
                              signals.is_leaving || signals.pause ||
                              signals.max_rejections;
  const BackpressureChange change =
      is_of_upstream ? m_gateway.router.RecordReply(*m_attempt, signals, Now())
                     : BackpressureChange();
  if (signals.is_rejection) {
    m_gateway.router.RecordRejection(*m_attempt, Now());
  }
  const Backpressure& asked = m_attempt->upstream->backpressure;
  if (change.leaving) {
    CountEvent(m_gateway.metrics, "upstreams_leaving");
    m_gateway.log.Write(LogLevel::kInfo, "upstream-leaving",
                        {{"upstream", upstream}, {"request", m_request.id}});
  }
  if (change.pause) {
    CountEvent(m_gateway.metrics, "upstream_pauses");
    m_gateway.log.Write(
        LogLevel::kInfo, "upstream-paused",
        {{"upstream", upstream},
         {"request", m_request.id},
         {"pause_ms",
          fmt::format("{:.0f}", ToMillis(asked.paused_until - Now()))}});
  }
  if (change.room) {
    CountEvent(m_gateway.metrics, "room_changes");
    m_gateway.log.Write(
        LogLevel::kInfo, "upstream-room",
        {{"upstream", upstream},
         {"request", m_request.id},
         {"max_rejections",
          asked.max_rejections ? std::to_string(*asked.max_rejections) : ""},
         {"room", std::to_string(asked.room)},
         {"revision", std::to_string(asked.room_revision)}});
  }
  if (change.limit) {
    CountEvent(m_gateway.metrics, "limit_changes");
    m_gateway.log.Write(
        LogLevel::kInfo, "upstream-limit",
        {{"upstream", upstream},
         {"requests_per_s",
          asked.limit ? fmt::format("{:.3f}", *asked.limit) : ""},
         {"own_share", fmt::format("{:.3f}", asked.share)},
         {"revision", std::to_string(asked.limit_revision)}});
  }
}

asio::awaitable<AttemptEnd> UpstreamAttempt::ReadBody(Parser& parser) {
  const bool is_whole = co_await ReadWholeBody(parser, kMaxWholeReplyBytes);
  if (!is_whole || m_stopped) {
    ReleaseConnection(false);
    co_return FailureEnd();
  }
  RecordByte();
  m_reply.body = std::move(parser.get().body());
  // A connection with bytes after the reply is not reused: they belong to no
  // request.
  m_reply_hold.Set(m_reply.body.size());
  ReleaseConnection(parser.get().keep_alive() && !parser.need_eof());
  co_return AttemptEnd::kWhole;
}

asio::awaitable<AttemptEnd> UpstreamAttempt::ForwardStream(
    Parser& parser,
    const StreamSink& sink) {
  ArmReadTimer(m_request.stream_read_timeout);
  if (!co_await sink.begin(m_reply)) {
    ReleaseConnection(false);
    co_return AttemptEnd::kStopped;
  }
  bool has_failed = false;
  while (true) {
    std::string& body = parser.get().body();
    if (!body.empty()) {
      RecordByte();
      ReserveReply(parser);
      m_awaits_caller = m_gateway.memory.paces_streams;
      const bool forwarded = co_await sink.forward(body);
      if (std::exchange(m_awaits_caller, false)) {
        m_last_byte_at = Now();
      }
      body.clear();
      if (!forwarded || m_stopped) {
        ReleaseConnection(false);
        co_return AttemptEnd::kStopped;
      }
    }
    if (has_failed) {
      ReleaseConnection(false);
      co_return FailureEnd();
    }
    if (parser.is_done()) {
      break;
    }
    const bool is_read = co_await ReadSome(parser);
    has_failed = !is_read;
  }
  ReleaseConnection(parser.get().keep_alive() && !parser.need_eof());
  co_return AttemptEnd::kWhole;
}

void UpstreamAttempt::ReleaseConnection(bool may_reuse) {
  if (!m_connection) {
    return;
  }
  m_read_timer.cancel();
  const bool is_clean =
      may_reuse && (!m_write || m_write->outcome.is_complete) && !m_stopped &&
      !m_timed_out && !m_saw_foreign_reply &&
      m_connection->buffer.size() == 0 && !IsWornOut(m_connection->carried);
  if (is_clean) {
    m_connection->advertised_idle_timeout =
        AdvertisedIdleTimeout(m_reply.fields);
    m_gateway.pool.ReturnIdle(m_connection);
  } else {
    m_connection->Close();
    m_gateway.pool.RecordClosed(m_connection->address);
  }
  m_connection = nullptr;
}

}  // namespace pomeloring
