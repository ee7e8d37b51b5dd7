// The log lines of an attempt, and the counters that go with them.

#include <fmt/format.h>
#include <boost/beast/http/error.hpp>

#include "gateway/upstream_attempt.h"
#include "link/clock.h"

namespace pomeloring {

namespace http = boost::beast::http;
using boost::system::error_code;

void UpstreamAttempt::LogThroughPeer(std::string_view outcome) {
  CountEvent(m_gateway.metrics, "peer_attempts_sent");
  const Time now = Now();
  const UpstreamState& upstream = *m_attempt->upstream;
  m_gateway.log.Write(
      LogLevel::kInfo, "sent-through-peer",
      {{"request", m_request.id},
       {"upstream", upstream.record.id.value},
       {"peer", m_peer->name.value},
       {"outcome", std::string(outcome)},
       {"path_lost_ms",
        fmt::format("{:.0f}", ToMillis(now - upstream.direct_path.lost_at))},
       {"placed_ms_ago",
        fmt::format("{:.0f}", ToMillis(now - m_attempt->started))}});
}

void UpstreamAttempt::LogUnreachable(bool is_refused) {
  m_gateway.log.Write(
      LogLevel::kInfo, "upstream-unreachable",
      {{"request", m_request.id},
       {"upstream", m_attempt->upstream->record.id.value},
       {"cause", is_refused ? "refused" : "timeout"},
       {"waited_ms",
        fmt::format("{:.0f}", ToMillis(Now() - m_attempt->started))}});
}

void UpstreamAttempt::LogWithdrawn(SendBlock block) {
  CountEvent(m_gateway.metrics, "attempts_withdrawn");
  m_gateway.log.Write(
      LogLevel::kInfo, "attempt-withdrawn",
      {{"request", m_request.id},
       {"upstream", m_attempt->upstream->record.id.value},
       {"block", std::string(ToString(block))},
       {"placed_ms_ago",
        fmt::format("{:.0f}", ToMillis(Now() - m_attempt->started))},
       {"upstreams_as_of",
        std::to_string(m_gateway.router.Upstreams().as_of.value)}});
}

void UpstreamAttempt::LogUndueReply(ReplyMatch match,
                                    const ReplyMetadata& metadata,
                                    unsigned status) {
  CountEvent(m_gateway.metrics, "foreign_replies");
  m_gateway.log.Write(
      LogLevel::kWarning, "foreign-reply",
      {{"request", m_request.id},
       {"match", std::string(ToString(match))},
       {"upstream", m_attempt->upstream->record.id.value},
       {"reply_to", metadata.request_id},
       {"status", std::to_string(status)},
       {"not_executed", metadata.not_executed ? "true" : "false"}});
}

void UpstreamAttempt::LogInvalidHead(const std::string& cause) {
  CountEvent(m_gateway.metrics, "invalid_reply_heads");
  m_gateway.log.Write(LogLevel::kWarning, "reply-head-invalid",
                      {{"request", m_request.id},
                       {"upstream", m_attempt->upstream->record.id.value},
                       {"peer", m_peer ? m_peer->name.value : ""},
                       {"cause", cause}});
}

// A refusal that arrives sooner than a reply can is a sign of a repeated one.
void UpstreamAttempt::LogNotExecuted() {
  CountEvent(m_gateway.metrics, "attempts_not_executed");
  m_gateway.log.Write(
      LogLevel::kInfo, "attempt-not-executed",
      {{"request", m_request.id},
       {"upstream", m_attempt->upstream->record.id.value},
       {"status", std::to_string(m_reply.status)},
       {"connection", m_is_on_reused ? "reused" : "new"},
       {"peer", m_peer ? m_peer->name.value : ""},
       {"after_us", std::to_string((m_head_at - *m_sent_at).count())}});
}

void UpstreamAttempt::LogReplyCut() {
  CountEvent(m_gateway.metrics, "replies_cut_by_reset");
  m_gateway.log.Write(LogLevel::kInfo, "reply-cut",
                      {{"request", m_request.id},
                       {"upstream", m_attempt->upstream->record.id.value},
                       {"peer", m_peer ? m_peer->name.value : ""},
                       {"write_error", m_write->outcome.error.message()}});
}

void UpstreamAttempt::LogIfTooLarge(error_code error) {
  if (error == http::error::header_limit) {
    LogExceeded("reply-head");
  } else if (error == http::error::buffer_overflow) {
    LogExceeded("unparsed-bytes");
  } else if (error == http::error::body_limit) {
    LogExceeded("reply-body");
  }
}

void UpstreamAttempt::LogExceeded(std::string_view limit) {
  CountEvent(m_gateway.metrics, "oversized_replies");
  m_gateway.log.Write(LogLevel::kWarning, "upstream-limit-exceeded",
                      {{"request", m_request.id},
                       {"upstream", m_attempt->upstream->record.id.value},
                       {"limit", std::string(limit)}});
}

}  // namespace pomeloring
