#include "gateway/exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/beast/http.hpp>
#include <span>

#include "gateway/peer_attempt.h"
#include "link/clock.h"
#include "link/sleep.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// A retry needs time to connect and execute.
constexpr Duration kMinRetryTime = milliseconds(30);
constexpr Duration kDefaultTimeout = seconds(30);  // If no limit is set.
// Read timeouts: this plus a multiple of the latency that the placement expects
// (first byte) or of the event gap target (between two bytes). Engines may
// preempt a request and prefill it again.
constexpr Duration kMinReadTimeout = seconds(1);
constexpr int kReadTimeoutFactor = 3;
// Urgency ranks for each step of an account's priority.
constexpr uint32_t kRanksPerAccountPriority = 3;
constexpr uint32_t kMaxUrgencyRank = 9;
constexpr Duration kReadinessTimeout = milliseconds(300);
constexpr milliseconds kReadinessPollInterval{10};
// No shorter than the age of the known loads of other instances.
constexpr milliseconds kPlacementPollInterval{20};

// Limits the length of log lines.
constexpr size_t kMaxLoggedParts = 8;

// The parts of a prompt that other requests may share, for the log: all but the
// last, as callers name them.
std::string FormatSharedParts(std::span<const PromptPart> parts) {
  std::string text;
  const size_t shared = parts.empty() ? 0 : parts.size() - 1;
  for (const PromptPart& part :
       parts.first(std::min(shared, kMaxLoggedParts))) {
    text += fmt::format("{}{:x}", text.empty() ? "" : ",", part.caller_id);
  }
  return text;
}

std::optional<std::string> VersionOf(
    const std::optional<StreamOrigin>& origin) {
  return origin ? std::optional(origin->software_version) : std::nullopt;
}

}  // namespace

Exchange::Exchange(GatewayContext& gateway,
                   std::shared_ptr<ClientConnection> client,
                   ClientRequest request)
    : m_gateway(gateway),
      m_client(std::move(client)),
      m_request(std::move(request)),
      m_received_at(Now()),
      m_deadline(gateway.context),
      m_last_reply_hold(gateway.memory, MemoryKind::kReplies),
      m_partial_event_hold(gateway.memory, MemoryKind::kStreams) {}

Duration Exchange::TimeLeft() const {
  return m_received_at + m_timeout - Now();
}

bool Exchange::HasRun() const {
  return m_may_have_executed || m_executed_attempts > 0 || m_stream_started ||
         m_origin.has_value();
}

bool Exchange::ShouldKeepAlive() const {
  return m_keep_alive && m_request.keep_alive() && !m_gateway.close_after_reply;
}

bool Exchange::IsHead() const {
  return m_request.method() == http::verb::head;
}

void Exchange::StopAttempt() {
  if (m_upstream_attempt) {
    m_upstream_attempt->Stop();
  }
}

void Exchange::ArmDeadline() {
  m_deadline.expires_after(m_timeout);
  m_deadline.async_wait([self = shared_from_this()](error_code error) {
    if (!error) {
      self->m_timed_out = true;
      self->StopAttempt();
    }
  });
}

// Returns the reply to a rejected request, or nothing if it is admitted.
std::optional<LocalReply> Exchange::Admit() {
  auto metadata = m_gateway.codec.read_request(m_request.base());
  if (auto* malformed = std::get_if<MalformedField>(&metadata)) {
    return LocalReply{
        400, "malformed-field",
        fmt::format("{} must be {}", malformed->name, malformed->expected)};
  }
  m_metadata = std::get<RequestMetadata>(std::move(metadata));
  m_config = m_gateway.router.Config();
  if (!m_gateway.router.IsReady()) {
    return LocalReply{503, "not-ready",
                      "this instance has no configuration yet",
                      kDefaultRetryAfter};
  }
  m_route =
      FindRoute(*m_config, m_request[http::field::host], m_request.target());
  if (m_route == nullptr) {
    return LocalReply{404, "no-route", "no route has this host and path"};
  }
  m_account = FindAccount(*m_config, m_metadata.key);
  if (m_account == nullptr && !m_route->allow_anonymous &&
      !m_config->accounts.empty()) {
    return LocalReply{401, "unknown-key", "no client account has this key"};
  }
  m_timeout = m_route->timeout.count() > 0 ? m_route->timeout : kDefaultTimeout;
  if (m_metadata.time_left) {
    m_timeout = std::min(m_timeout, *m_metadata.time_left);
  }
  const bool outlasts_stop =
      m_gateway.stop &&
      !EndsBeforeStop(*m_gateway.stop, m_timeout, IsRetryable(*m_route), Now());
  if (m_gateway.reject_requests || outlasts_stop) {
    return LocalReply{503, "stopping", "this instance is stopping",
                      milliseconds(1)};
  }
  if (m_account != nullptr) {
    m_account_id = AccountIdOf(m_account->name.value);
  }
  m_service = ChooseService(*m_route, StableHash(m_metadata.id));
  m_whole_request = IdOfRequest(
      {m_account == nullptr ? std::string_view() : m_account->name.value,
       m_request.method_string(), m_request[http::field::host],
       m_request.target(), m_request.body()});
  return std::nullopt;
}

// A newly started instance has its configuration within some tens of
// milliseconds: a caller that waits for it is served sooner than one that is
// told to retry.
asio::awaitable<void> Exchange::AwaitReadiness() {
  const Time deadline = m_received_at + kReadinessTimeout;
  while (!m_gateway.router.IsReady() && Now() < deadline) {
    co_await SleepFor(kReadinessPollInterval);
  }
}

asio::awaitable<bool> Exchange::Serve() {
  const auto self = shared_from_this();
  co_await AwaitReadiness();
  std::optional<LocalReply> refusal = Admit();
  if (!refusal && IsResumption()) {
    refusal = co_await FindOriginOfResumed();
  }
  RequestEnd end;
  if (refusal) {
    end = std::move(*refusal);
  } else {
    m_gateway.admitted_exchanges.insert(this);
    m_gateway.router.CountRequest(m_service, m_received_at);
    ArmDeadline();
    m_client->SetDisconnectHandler([self] {
      self->m_client_disconnected = true;
      self->StopAttempt();
    });
    end = co_await RunAttempts();
  }
  co_await Finish(std::move(end));
  m_client->SetDisconnectHandler(nullptr);
  m_deadline.cancel();
  m_gateway.admitted_exchanges.erase(this);
  LogResult();
  co_return ShouldKeepAlive();
}

asio::awaitable<Exchange::RequestEnd> Exchange::RunAttempts() {
  while (true) {
    const Time now = Now();
    const AttemptRequest attempt_request{m_route,
                                         m_service,
                                         m_metadata.prompt_tokens,
                                         m_metadata.prompt_parts,
                                         m_whole_request,
                                         now - m_received_at,
                                         TimeLeft(),
                                         m_failed_upstreams,
                                         VersionOf(m_origin),
                                         KeyOfNewStream(),
                                         StableHash(m_metadata.id),
                                         m_account_id,
                                         m_account ? m_account->priority : 0,
                                         HasRun()};
    auto result = m_gateway.router.StartAttempt(attempt_request, now);
    if (const auto* deferred = std::get_if<Deferred>(&result)) {
      if (deferred->share && deferred->share->is_new) {
        LogShare("share-wait", *deferred->share);
      }
      if (auto ended = co_await WaitForCapacity()) {
        co_return *ended;
      }
      continue;
    }
    if (auto* unplaced = std::get_if<Unplaced>(&result)) {
      co_return *unplaced;
    }
    const auto attempt =
        std::get<std::shared_ptr<PlacedAttempt>>(std::move(result));
    const AttemptEnd end = co_await RunAttempt(attempt);
    if (m_client_disconnected) {
      co_return ClientGone{std::string(ToString(end))};
    }
    if ((end == AttemptEnd::kWhole && m_stream_started) || !ShouldRetry(end)) {
      co_return end;
    }
    CountEvent(m_gateway.metrics, "retries");
    m_gateway.log.Write(LogLevel::kInfo, "retry",
                        {{"request", m_metadata.id},
                         {"upstream", attempt->upstream->record.id.value},
                         {"end", std::string(ToString(end))},
                         {"status", std::to_string(m_last_reply.status)}});
  }
}

// Waits until the load may have changed.
asio::awaitable<std::optional<Exchange::RequestEnd>>
Exchange::WaitForCapacity() {
  CountEvent(m_gateway.metrics, "deferrals");
  m_gateway.router.BeginWait(m_service);
  co_await SleepFor(kPlacementPollInterval);
  m_gateway.router.EndWait(m_service);
  if (m_client_disconnected) {
    co_return ClientGone{"waiting"};
  }
  if (m_timed_out) {
    m_gateway.router.RecordRefusal(m_service, Now());
    co_return AttemptEnd::kStopped;
  }
  co_return std::nullopt;
}

bool Exchange::ShouldRetry(AttemptEnd end) {
  const bool upstream_failed =
      end == AttemptEnd::kWhole && m_last_reply.status >= 500;
  if (m_timed_out || m_is_suspected || end == AttemptEnd::kStopped ||
      m_stream_broken || (end == AttemptEnd::kWhole && !upstream_failed) ||
      TimeLeft() < kMinRetryTime) {
    return false;
  }
  if (end == AttemptEnd::kNotSent || end == AttemptEnd::kWithdrawn) {
    return m_failed_upstreams.size() < 8;  // No upstream has seen the request.
  }
  if (end != AttemptEnd::kNotExecuted &&
      (!IsRetryable(*m_route) ||
       m_executed_attempts >= m_route->max_attempts)) {
    return false;
  }
  return m_gateway.router.AllowRetry(m_service, Now());
}

UpstreamOutcome Exchange::OutcomeOf(AttemptEnd end) const {
  switch (end) {
    case AttemptEnd::kWhole:
      return m_last_reply.status >= 500 ? UpstreamOutcome::kFailed
                                        : UpstreamOutcome::kServed;
    case AttemptEnd::kNotSent:
      return UpstreamOutcome::kUnreachable;
    case AttemptEnd::kWithdrawn:
    case AttemptEnd::kNotExecuted:
      return UpstreamOutcome::kRefused;
    case AttemptEnd::kBroken:
    case AttemptEnd::kSilent:
      return UpstreamOutcome::kFailed;
    case AttemptEnd::kStopped:
      return UpstreamOutcome::kCancelled;
  }
  return UpstreamOutcome::kCancelled;
}

UpstreamAttempt::Request Exchange::MakeUpstreamRequest(
    const std::shared_ptr<PlacedAttempt>& attempt) const {
  UpstreamAttempt::Request request;
  // This exchange waits for the end of the attempt.
  request.write = [this, attempt] { return SerializeForUpstream(*attempt); };
  request.id = m_metadata.id;
  request.address = attempt->upstream->record.address;
  request.is_retryable = IsRetryable(*m_route);
  request.is_head = IsHead();
  request.max_connections =
      MaxConnectionsTo(m_gateway.router, m_service, Now());
  request.may_use_peers =
      m_request.body().size() + m_config->limits.header_bytes <
      kMaxPeerAttemptBytes;
  if (IsRetryable(*m_route)) {
    request.first_byte_timeout =
        kMinReadTimeout +
        kReadTimeoutFactor * attempt->placement.expected_latency;
    request.stream_read_timeout =
        kMinReadTimeout + kReadTimeoutFactor * m_route->event_gap_target;
  }
  return request;
}

std::string Exchange::SerializeForUpstream(const PlacedAttempt& attempt) const {
  std::string bytes = fmt::format("{} {} HTTP/1.1\r\n",
                                  std::string_view(m_request.method_string()),
                                  std::string_view(m_request.target()));
  const auto dropped = HopByHopFields(m_request.base());
  for (const auto& field : m_request) {
    const std::string_view name = field.name_string();
    if (!dropped.contains(LowerCaseName(name)) &&
        m_gateway.codec.forwards_to_upstream(name)) {
      bytes += fmt::format("{}: {}\r\n", name, std::string_view(field.value()));
    }
  }
  UpstreamFields fields;
  fields.time_left = TimeLeft();
  fields.expected = attempt.upstream->record.id;
  fields.resume_after = m_event_splitter && m_event_splitter->LastId()
                            ? m_event_splitter->LastId()
                            : m_metadata.resume_after;
  uint32_t rank = m_route->priority;
  if (m_account != nullptr) {
    fields.account = m_account->name;
    rank += kRanksPerAccountPriority * m_account->priority;
  }
  if (m_route->kind == RouteKind::kStreaming) {
    fields.urgency = std::min(rank, kMaxUrgencyRank);
  }
  m_gateway.codec.write_upstream(fields, bytes);
  if (!m_request.body().empty() || m_request.has_content_length() ||
      m_request.chunked()) {
    bytes += fmt::format("Content-Length: {}\r\n", m_request.body().size());
  }
  return bytes + "\r\n" + m_request.body();
}

asio::awaitable<AttemptEnd> Exchange::RunAttempt(
    std::shared_ptr<PlacedAttempt> attempt) {
  m_gateway.on_load_change();
  m_gateway.log.Write(
      LogLevel::kInfo, "placed",
      {{"request", m_metadata.id},
       {"route", m_route->name},
       {"upstream", attempt->upstream->record.id.value},
       {"version", attempt->upstream->record.software_version},
       {"attempt", std::to_string(m_executed_attempts + 1)},
       {"resumes", m_metadata.resumes},
       {"unread_tokens",
        std::to_string(attempt->placement.pending_prefill_tokens)},
       {"prompt_tokens", std::to_string(m_metadata.prompt_tokens)},
       {"expected_ms",
        fmt::format("{:.0f}", ToMillis(attempt->placement.expected_latency))},
       {"running", std::to_string(TotalLoad(*attempt->upstream).running)},
       {"trait", fmt::format("{:x}", m_whole_request)},
       {"parts", FormatSharedParts(m_metadata.prompt_parts)},
       {"upstreams_as_of",
        std::to_string(m_gateway.router.Upstreams().as_of.value)},
       {attempt->placement.left_domain == CrossingReason::kNone ? ""
                                                                : "left_domain",
        std::string(ToString(attempt->placement.left_domain))}});
  m_placed_attempt = attempt;
  m_upstream_attempt = std::make_shared<UpstreamAttempt>(
      m_gateway, MakeUpstreamRequest(attempt), attempt);
  const StreamSink sink{
      [this](const UpstreamReply& head) { return BeginStream(head); },
      [this](std::string_view bytes) { return ForwardEvents(bytes); }};
  AttemptEnd end = AttemptEnd::kStopped;
  if (!m_client_disconnected && !m_timed_out) {
    end = co_await m_upstream_attempt->Execute(sink);
  }
  m_last_reply = m_upstream_attempt->Reply();
  attempt->bytes += m_request.body().size() + m_last_reply.body.size();
  m_last_reply_hold.Set(m_last_reply.body.size());
  CountUsageOfAttempt(end, m_upstream_attempt->SentAt());
  m_upstream_attempt = nullptr;
  // A stream that ends within an event has been broken off, however its
  // connection ended.
  const bool ends_within_event = end == AttemptEnd::kWhole &&
                                 m_stream_started &&
                                 m_event_splitter->HasPartialEvent();
  if (std::exchange(m_has_invalid_event, false) || ends_within_event) {
    end = AttemptEnd::kBroken;
  }
  // A stream can be resumed by another stream only: after any other reply, even
  // a complete one, it stays truncated.
  if (m_stream_started && end == AttemptEnd::kWhole &&
      !m_last_reply.is_stream) {
    end = AttemptEnd::kBroken;
  }
  if (end == AttemptEnd::kBroken || end == AttemptEnd::kSilent) {
    m_gateway.log.Write(
        LogLevel::kInfo, "attempt-failed",
        {{"request", m_metadata.id},
         {"upstream", attempt->upstream->record.id.value},
         {"end", std::string(ToString(end))},
         {"status", std::to_string(m_last_reply.status)},
         {"events", std::to_string(attempt->events)},
         {"run_ms", fmt::format("{:.0f}", ToMillis(Now() - attempt->started))},
         {"trait", fmt::format("{:x}", m_whole_request)},
         {"parts", FormatSharedParts(m_metadata.prompt_parts)}});
  }
  m_gateway.router.EndAttempt(*attempt, OutcomeOf(end), Now());
  if (end == AttemptEnd::kWhole && !StatesNotExecuted(m_last_reply.status)) {
    m_gateway.router.RecordAnswer(*attempt, Now());
  }
  m_gateway.on_load_change();
  if (end == AttemptEnd::kBroken) {
    co_await CheckForExit(*attempt);
  }
  if (end != AttemptEnd::kNotSent && end != AttemptEnd::kWithdrawn &&
      end != AttemptEnd::kNotExecuted) {
    m_may_have_executed = true;
    ++m_executed_attempts;
  }
  if (end != AttemptEnd::kWhole || m_last_reply.status >= 500) {
    m_failed_upstreams.push_back(attempt->upstream->record.id);
  }
  co_return end;
}

// A caller that resumes a stream sends another request, which counts too.
void Exchange::CountUsage(Time began) {
  if (m_gateway.count_usage && m_account != nullptr && !m_is_counted) {
    m_is_counted = true;
    m_gateway.count_usage(m_account->name, Now() - began);
  }
}

// The reply comes soon after the upstream processes the request; an attempt
// without one may have waited for its timeout since then. A request for a
// stream begins with its first event only.
void Exchange::CountUsageOfAttempt(AttemptEnd end,
                                   std::optional<Time> sent_at) {
  if (m_route->kind == RouteKind::kStreaming || !sent_at) {
    return;
  }
  switch (end) {
    case AttemptEnd::kWhole:
    case AttemptEnd::kBroken:
      CountUsage(Now());
      break;
    case AttemptEnd::kSilent:
    case AttemptEnd::kStopped:
      CountUsage(*sent_at);
      break;
    case AttemptEnd::kNotSent:
    case AttemptEnd::kWithdrawn:
    case AttemptEnd::kNotExecuted:
      break;
  }
}

// A request whose reply had begun may have caused the exit, and a retry may end
// the next upstream, unless answers under each part of its prompt have gone on
// elsewhere. Most others were only beside it.
asio::awaitable<void> Exchange::CheckForExit(const PlacedAttempt& attempt) {
  Router& router = m_gateway.router;
  const bool reply_had_begun = m_last_reply.status != 0;
  router.RecordBreak(attempt, reply_had_begun, Now());
  if (router.IsExitPossible(attempt)) {
    const ProbeResult result =
        co_await m_gateway.probe_with_peer(attempt.upstream);
    router.RecordProbe(attempt, result, Now());
  }
  m_is_suspected =
      reply_had_begun && attempt.events == 0 && router.HasExited(attempt) &&
      !HadRecentAnswers(router.Quarantine(), attempt.traits, Now());
  if (router.HasExited(attempt)) {
    m_gateway.log.Write(
        LogLevel::kWarning, "upstream-exited",
        {{"request", m_metadata.id},
         {"upstream", attempt.upstream->record.id.value},
         {"process",
          fmt::format("{:x}", ProcessIdOf(attempt.upstream->record))},
         {"reply_begun", reply_had_begun ? "true" : "false"},
         {"events", std::to_string(attempt.events)},
         {"suspected", m_is_suspected ? "true" : "false"},
         {"trait", fmt::format("{:x}", m_whole_request)},
         {"parts", FormatSharedParts(m_metadata.prompt_parts)}});
  }
}

void Exchange::StopIfQuarantined() {
  if (m_placed_attempt && m_upstream_attempt && m_placed_attempt->events == 0 &&
      m_gateway.router.IsQuarantined(*m_placed_attempt, Now())) {
    m_is_suspected = true;
    StopAttempt();
  }
}

}  // namespace pomeloring
