#include <fmt/format.h>

#include <algorithm>

#include "gateway/exchange.h"
#include "link/clock.h"
#include "routing/stream_resumption.h"

namespace pomeloring {

namespace asio = boost::asio;

// --- Origin ------------------------------------------------------------------

bool Exchange::IsResumption() const {
  return m_metadata.resume_after && m_route->kind == RouteKind::kStreaming;
}

StreamKey Exchange::KeyOfStream() const {
  const bool is_named = IsResumption() && !m_metadata.resumes.empty();
  return StreamKeyOf(is_named ? m_metadata.resumes : m_metadata.id);
}

// While only one version of the service has served, and peers have seen no
// other, the stream began there.
asio::awaitable<std::optional<LocalReply>> Exchange::FindOriginOfResumed() {
  const StreamOrigins& known = m_gateway.router.Origins();
  StreamOriginReport report = ReportOrigin(known, KeyOfStream(), m_service);
  const char* source = "here";
  if (!report.origin && (report.recent_versions.size() > 1 ||
                         !KnowsAllRecentVersions(known, Now()))) {
    MergeReport(report,
                co_await m_gateway.ask_for_origin(KeyOfStream(), m_service));
    source = "peers";
  }
  const bool is_recorded = report.origin.has_value();
  auto resolved = ResolveOrigin(report, m_service);
  if (auto* origin = std::get_if<StreamOrigin>(&resolved); !is_recorded) {
    source = "only version";
    report.origin = origin == nullptr ? std::nullopt : std::optional(*origin);
  }
  m_gateway.log.Write(
      LogLevel::kInfo, "stream-taken-up",
      {{"request", m_metadata.id},
       {"resumes", m_metadata.resumes},
       {"version", report.origin ? report.origin->software_version : ""},
       {"source", report.origin ? source : "unknown"},
       {"recent_versions", std::to_string(report.recent_versions.size())},
       {"waited_ms", fmt::format("{:.0f}", ToMillis(Now() - m_received_at))}});
  const auto is_origin = [&](const WeightedService& service) {
    return service.service == report.origin->service;
  };
  if (!report.origin || std::none_of(m_route->services.begin(),
                                     m_route->services.end(), is_origin)) {
    CountEvent(m_gateway.metrics, "streams_of_unknown_version");
    LocalReply refusal{503, "stream-version-unknown",
                       "the version that began the stream is not known here",
                       kDefaultRetryAfter};
    co_return refusal;
  }
  m_service = report.origin->service;
  m_origin = std::move(report.origin);
  co_return std::nullopt;
}

// Peers are told before the caller gets the event and may take the stream up
// elsewhere.
void Exchange::RecordFirstEvent() {
  if (m_origin) {
    return;
  }
  m_origin = StreamOrigin{m_service,
                          m_placed_attempt->upstream->record.software_version};
  const StreamKey key = KeyOfStream();
  if (m_route->resumable &&
      m_gateway.router.RecordStreamBegin(key, *m_placed_attempt, Now())) {
    m_gateway.send_origin({key, *m_origin});
  }
}

// --- Forwarding --------------------------------------------------------------

asio::awaitable<bool> Exchange::BeginStream(const UpstreamReply& head) {
  if (m_stream_started) {
    m_event_splitter->DiscardPartialEvent();
    co_return true;  // The client already has the first attempt's head.
  }
  m_stream_started = true;
  m_event_splitter.emplace(m_metadata.resume_after);
  std::string bytes =
      WriteReplyHead(head.status, head.fields, nullptr, ShouldKeepAlive());
  co_return co_await m_client->Write(std::move(bytes));
}

asio::awaitable<bool> Exchange::ForwardEvents(std::string_view bytes) {
  const CompleteEvents events = m_event_splitter->Feed(bytes);
  if (events.out_of_order) {
    m_stream_broken = true;
    co_return false;
  }
  if (events.too_long) {
    m_event_too_long = true;
    CountEvent(m_gateway.metrics, "oversized_replies");
    m_gateway.log.Write(
        LogLevel::kWarning, "upstream-limit-exceeded",
        {{"request", m_metadata.id},
         {"upstream", m_placed_attempt->upstream->record.id.value},
         {"limit", "event"}});
    co_return false;
  }
  if (events.bytes.empty()) {
    co_return true;
  }
  if (events.count > 0) {
    const Time now = Now();
    RecordFirstEvent();
    if (m_time_to_first_byte.count() == 0) {
      m_time_to_first_byte = now - m_received_at;
      ObserveFirstByte(m_gateway.metrics, m_route->name, m_time_to_first_byte);
    } else {
      m_max_event_gap = std::max(m_max_event_gap, now - m_last_event_at);
    }
    m_last_event_at = now;
    m_gateway.router.HandleEvents(*m_placed_attempt, events.count, now);
  }
  std::string chunk = WriteChunk(events.bytes);
  co_return co_await m_client->Write(std::move(chunk));
}

// Ends the client's stream. If it is truncated, closes the connection without
// the last chunk, so that the stream does not look complete.
asio::awaitable<void> Exchange::FinishStream(AttemptEnd end) {
  const bool is_whole = end == AttemptEnd::kWhole &&
                        !m_event_splitter->HasPartialEvent() &&
                        !m_stream_broken;
  std::string last_chunk(kLastChunk);
  if (is_whole && co_await m_client->Write(std::move(last_chunk))) {
    m_result.outcome = "served";
    m_gateway.router.RecordStreamEnd(KeyOfStream());
    co_return;
  }
  m_keep_alive = false;
  m_client->Close();
  m_result = {"stream-cut", std::string(ToString(end))};
}

}  // namespace pomeloring
