#include <fmt/format.h>

#include <algorithm>

#include "gateway/exchange.h"
#include "link/clock.h"
#include "routing/stream_resumption.h"

namespace pomeloring {

namespace asio = boost::asio;

namespace {

// A caller whose stream is not known waits this long for the store to confirm
// the versions that are registered.
constexpr Duration kMaxConfirmWait = milliseconds(300);
// Likewise, for the log to be read.
constexpr Duration kMaxLogWait = milliseconds(300);

std::string_view CounterOf(OriginSource source) {
  switch (source) {
    case OriginSource::kMemory:
      return "resumptions_from_memory";
    case OriginSource::kPeer:
      return "resumptions_from_peers";
    case OriginSource::kLog:
      return "resumptions_from_log";
    case OriginSource::kShares:
      return "resumptions_by_shares";
    case OriginSource::kOnlyVersion:
      return "resumptions_at_only_version";
  }
  return "";
}

std::string_view CounterOf(ResumptionRefusal refusal) {
  switch (refusal) {
    case ResumptionRefusal::kVersionsDiffer:
      return "resumptions_refused_versions_differ";
    case ResumptionRefusal::kVersionsUnknown:
      return "resumptions_refused_versions_unknown";
    case ResumptionRefusal::kVersionsOutdated:
      return "resumptions_refused_versions_outdated";
  }
  return "";
}

}  // namespace

// --- Origin ------------------------------------------------------------------

bool Exchange::IsResumption() const {
  return m_metadata.resume_after && m_route->kind == RouteKind::kStreaming;
}

StreamKey Exchange::KeyOfStream() const {
  const bool is_named = IsResumption() && !m_metadata.resumes.empty();
  return StreamKeyOf(is_named ? m_metadata.resumes : m_metadata.id);
}

std::optional<StreamKey> Exchange::KeyOfNewStream() const {
  const bool is_kept = m_route->resumable &&
                       m_route->kind == RouteKind::kStreaming && !m_origin &&
                       m_gateway.append_origin;
  return is_kept ? std::optional(KeyOfStream()) : std::nullopt;
}

// Without a log, an instance that has just started takes the version that it
// sees for the only one, as it has nothing to read. With one version known, the
// store is asked first: an instance that was suspended or cut off does not know
// yet what has been registered since.
asio::awaitable<StreamOriginReport> Exchange::CollectOriginReport() {
  const StreamOrigins& known = m_gateway.router.Origins();
  const StreamKey key = KeyOfStream();
  StreamOriginReport report = ReportOrigin(known, key, m_service, Now());
  if (!report.origin && report.recent_versions.size() <= 1) {
    const bool is_current =
        co_await m_gateway.confirm_upstreams(m_received_at, kMaxConfirmWait);
    report = ReportOrigin(known, key, m_service, Now());
    report.is_current = is_current;
  }
  const Time began_at = Now();
  m_origin_source =
      IsFromLog(known, key) ? OriginSource::kLog : OriginSource::kMemory;
  const bool has_log = static_cast<bool>(m_gateway.await_logged_origins);
  if (has_log && IsOpen(report)) {
    co_await m_gateway.await_logged_origins(Duration{0});  // Begins to read.
  }
  if (IsOpen(report)) {
    MergeReport(report, co_await m_gateway.ask_for_origin(key, m_service));
    m_origin_source = OriginSource::kPeer;
  }
  if (has_log && IsOpen(report)) {
    co_await m_gateway.await_logged_origins(
        std::min(kMaxLogWait - (Now() - began_at), TimeLeft()));
    MergeReport(report, ReportOrigin(known, key, m_service, Now()));
    m_origin_source = OriginSource::kLog;
  }
  report.knows_all_versions |= !has_log;
  if (has_log && IsOpen(report)) {
    const auto resolved = co_await m_gateway.resolve_by_shares(
        key, m_service, m_received_at, std::min(kMaxLogWait, TimeLeft()));
    if (const auto* origin = std::get_if<StreamOrigin>(&resolved)) {
      report.origin = *origin;
    } else {
      m_share_refusal = std::get<ShareRefusal>(resolved);
    }
    m_origin_source =
        IsFromLog(known, key) ? OriginSource::kLog : OriginSource::kShares;
  }
  co_return report;
}

// For how long this instance has observed which versions are registered.
Duration Exchange::ObservedTime() const {
  const auto since = m_gateway.router.Origins().tracking_since;
  return since ? Now() - *since : Duration{0};
}

asio::awaitable<std::optional<LocalReply>> Exchange::FindOriginOfResumed() {
  // As for the attempt that brought the first event.
  m_service = ChooseService(*m_route, KeyOfStream());
  const StreamOriginReport report = co_await CollectOriginReport();
  if (!report.origin) {
    m_origin_source = OriginSource::kOnlyVersion;
  }
  auto resolved = ResolveOrigin(report, m_service);
  auto* origin = std::get_if<StreamOrigin>(&resolved);
  const auto* refusal = std::get_if<ResumptionRefusal>(&resolved);
  const bool is_of_route =
      origin != nullptr &&
      std::any_of(m_route->services.begin(), m_route->services.end(),
                  [&](const WeightedService& service) {
                    return service.service == origin->service;
                  });
  m_gateway.log.Write(
      LogLevel::kInfo, "stream-taken-up",
      {{"request", m_metadata.id},
       {"resumes", m_metadata.resumes},
       {"version", origin != nullptr ? origin->software_version : ""},
       {"source",
        origin != nullptr ? std::string(ToString(m_origin_source)) : "unknown"},
       {"refused", refusal != nullptr ? std::string(ToString(*refusal))
                   : is_of_route      ? ""
                                      : "service-not-on-route"},
       {"shares",
        m_share_refusal ? std::string(ToString(*m_share_refusal)) : ""},
       {"recent_versions", std::to_string(report.recent_versions.size())},
       {"all_known", report.knows_all_versions ? "true" : "false"},
       {"observed_ms", fmt::format("{:.0f}", ToMillis(ObservedTime()))},
       {"current", report.is_current ? "true" : "false"},
       {"upstreams_as_of",
        std::to_string(m_gateway.router.Upstreams().as_of.value)},
       {"waited_ms", fmt::format("{:.0f}", ToMillis(Now() - m_received_at))}});
  if (!is_of_route) {
    CountEvent(m_gateway.metrics, "streams_of_unknown_version");
    CountEvent(m_gateway.metrics, refusal == nullptr
                                      ? "resumptions_refused_off_route"
                                      : CounterOf(*refusal));
    LocalReply reply{503, "stream-version-unknown",
                     "the version that began the stream is not known here",
                     kDefaultRetryAfter};
    co_return reply;
  }
  CountEvent(m_gateway.metrics, CounterOf(m_origin_source));
  m_service = origin->service;
  m_origin = std::move(*origin);
  if (m_origin_source == OriginSource::kShares &&
      report.recent_versions.size() > 1) {
    KeepResolvedOrigin();
  }
  co_return std::nullopt;
}

// The shares may have changed when the stream is taken up once more.
void Exchange::KeepResolvedOrigin() {
  const KeyedOrigin stream{KeyOfStream(), *m_origin};
  m_gateway.router.ApplyOrigins({&stream, 1}, Now());
  m_gateway.send_origin(stream);
  m_gateway.append_origin(stream);
}

// Peers are told before the caller gets the event and may take the stream up
// elsewhere. So is the log, unless the version follows from the shares that are
// recorded there.
asio::awaitable<bool> Exchange::RecordFirstEvent() {
  m_origin = StreamOrigin{m_service,
                          m_placed_attempt->upstream->record.software_version};
  if (!m_route->resumable) {
    co_return true;
  }
  const KeyedOrigin stream{KeyOfStream(), *m_origin};
  const bool is_mixed = m_gateway.router.RecordStreamBegin(
      stream.first, *m_placed_attempt, Now());
  if (is_mixed) {
    m_gateway.send_origin(stream);
  }
  const bool has_log = static_cast<bool>(m_gateway.append_origin);
  if (!has_log ||
      m_gateway.router.FollowsShares(stream.first, m_service,
                                     m_origin->software_version, Now())) {
    if (has_log && is_mixed) {
      m_gateway.append_origin(stream);
    }
    co_return true;
  }
  CountEvent(m_gateway.metrics, "first_events_held_for_log");
  co_return co_await m_gateway.log_origin(stream, TimeLeft());
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
  co_return co_await m_client->WriteAhead(std::move(bytes));
}

asio::awaitable<bool> Exchange::ForwardEvents(std::string_view bytes) {
  m_placed_attempt->bytes += bytes.size();
  const CompleteEvents events = m_event_splitter->Feed(bytes);
  m_partial_event_hold.Set(m_event_splitter->PartialBytes());
  if (events.out_of_order) {
    m_stream_broken = true;
    co_return false;
  }
  const bool is_valid = !events.too_long && !events.is_malformed;
  if (!is_valid) {
    RejectEvent(events.too_long);
  }
  if (events.bytes.empty()) {
    co_return is_valid;
  }
  if (events.count > 0) {
    CountUsage(Now());
    if (!m_origin) {
      const bool is_recorded = co_await RecordFirstEvent();
      if (!is_recorded) {
        co_return false;
      }
    }
    const Time now = Now();
    if (m_time_to_first_byte.count() == 0) {
      m_time_to_first_byte = now - m_received_at;
      ObserveFirstByte(m_gateway.metrics, m_route->name, m_time_to_first_byte);
    } else {
      m_max_event_gap = std::max(m_max_event_gap, now - m_last_event_at);
    }
    m_last_event_at = now;
    m_gateway.router.HandleEvents(*m_placed_attempt, events.count, now);
  }
  // Those before an invalid one too: the next attempt goes on behind them.
  std::string chunk = WriteChunk(events.bytes);
  co_return co_await m_client->WriteAhead(std::move(chunk)) && is_valid;
}

void Exchange::RejectEvent(bool is_too_long) {
  m_has_invalid_event = true;
  CountEvent(m_gateway.metrics,
             is_too_long ? "oversized_replies" : "malformed_streams");
  m_gateway.log.Write(
      LogLevel::kWarning,
      is_too_long ? "upstream-limit-exceeded" : "upstream-stream-malformed",
      {{"request", m_metadata.id},
       {"upstream", m_placed_attempt->upstream->record.id.value},
       {"limit", is_too_long ? "event" : ""}});
}

// Ends the client's stream. If it is truncated, closes the connection without
// the last chunk, so that the stream does not look complete.
asio::awaitable<void> Exchange::FinishStream(AttemptEnd end) {
  const bool is_whole = end == AttemptEnd::kWhole &&
                        !m_event_splitter->HasPartialEvent() &&
                        !m_stream_broken;
  std::string last_chunk(IsHead() ? std::string_view() : kLastChunk);
  if (is_whole && co_await m_client->Write(std::move(last_chunk))) {
    m_result.outcome = "served";
    co_return;
  }
  m_keep_alive = false;
  co_await m_client->Flush();
  m_client->Close();
  m_result = {"stream-cut", std::string(ToString(end))};
}

}  // namespace pomeloring
