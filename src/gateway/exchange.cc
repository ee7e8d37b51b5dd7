#include "gateway/exchange.h"

#include <fmt/format.h>

#include <boost/beast/http.hpp>

#include "link/clock.h"
#include "link/sleep.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// A retry needs time to connect and run.
constexpr Duration kMinTimeToRetry = milliseconds(30);
constexpr Duration kDefaultTime = seconds(30);  // Where nobody set a limit.
// Silence before the first byte beyond what the placement expects, and between
// two bytes beyond the pause target. Engines preempt and read in again.
constexpr Duration kMinSilence = seconds(1);
constexpr int kSilenceFactor = 3;
// Ranks of urgency that an account's priority counts for.
constexpr uint32_t kRanksPerAccountPriority = 3;
constexpr uint32_t kLeastUrgent = 9;
// Of the connections that all instances together may hold to an upstream, kept
// free for instances that this one does not know of.
constexpr double kConnectionShare = 0.9;

constexpr Duration kReadyPatience = milliseconds(300);
constexpr milliseconds kReadyPoll{10};
// Loads of other instances are as old.
constexpr milliseconds kPlacementPoll{20};

}  // namespace

Exchange::Exchange(GatewayParts& parts,
                   std::shared_ptr<ClientConnection> client,
                   ClientRequest request)
    : m_parts(parts),
      m_client(std::move(client)),
      m_request(std::move(request)),
      m_received(Now()),
      m_deadline(parts.context) {}

Duration Exchange::TimeLeft() const {
  return m_received + m_time - Now();
}

bool Exchange::KeepsAlive() const {
  return m_keep && m_request.keep_alive() && !m_parts.closes_connections;
}

void Exchange::StopRun() {
  if (m_run) {
    m_run->Stop();
  }
}

void Exchange::ArmDeadline() {
  m_deadline.expires_after(m_time);
  m_deadline.async_wait([self = shared_from_this()](error_code error) {
    if (!error) {
      self->m_timed_out = true;
      self->StopRun();
    }
  });
}

// Returns the answer for a request that is not to be run.
std::optional<OwnReply> Exchange::Admit() {
  auto facts = m_parts.codec.read_request(m_request.base());
  if (auto* malformed = std::get_if<MalformedField>(&facts)) {
    return OwnReply{
        400, "malformed-field",
        fmt::format("{} must be {}", malformed->name, malformed->expected)};
  }
  m_facts = std::get<RequestFacts>(std::move(facts));
  m_config = m_parts.router.Config();
  if (!m_parts.router.IsReady()) {
    return OwnReply{503, "not-ready", "this instance has no configuration yet",
                    kDefaultRetryAfter};
  }
  m_route =
      FindRoute(*m_config, m_request[http::field::host], m_request.target());
  if (m_route == nullptr) {
    return OwnReply{404, "no-route", "no route has this host and path"};
  }
  m_account = FindAccount(*m_config, m_facts.key);
  if (m_account == nullptr && !m_route->allow_anonymous &&
      !m_config->accounts.empty()) {
    return OwnReply{401, "unknown-key", "no client account has this key"};
  }
  if (m_parts.refuses_new) {
    return OwnReply{503, "stopping", "this instance is stopping",
                    milliseconds(1)};
  }
  m_time = m_route->timeout.count() > 0 ? m_route->timeout : kDefaultTime;
  if (m_facts.time_left) {
    m_time = std::min(m_time, *m_facts.time_left);
  }
  m_service = ChooseService(*m_route, StableHash(m_facts.id));
  return std::nullopt;
}

// An instance that has just started knows its configuration within some tens of
// milliseconds: a caller that waits for it is served sooner than one that is
// told to come back.
asio::awaitable<void> Exchange::AwaitReadiness() {
  const Time until = m_received + kReadyPatience;
  while (!m_parts.router.IsReady() && Now() < until) {
    co_await SleepFor(kReadyPoll);
  }
}

asio::awaitable<bool> Exchange::Serve() {
  const auto self = shared_from_this();
  co_await AwaitReadiness();
  if (auto refusal = Admit()) {
    co_await Answer(std::move(*refusal));
    LogEnd();
    co_return KeepsAlive();
  }
  m_parts.router.CountRequest(m_service, m_received);
  ArmDeadline();
  m_client->WatchClose([self] {
    self->m_client_gone = true;
    self->StopRun();
  });
  co_await RunToEnd();
  m_client->WatchClose(nullptr);
  m_deadline.cancel();
  LogEnd();
  co_return KeepsAlive();
}

asio::awaitable<void> Exchange::RunToEnd() {
  while (true) {
    const Time now = Now();
    const AttemptRequest wanted{
        m_route,       m_service,        m_facts.prompt_tokens,
        m_facts.parts, now - m_received, TimeLeft(),
        m_tried};
    auto result = m_parts.router.StartAttempt(wanted, now);
    if (std::holds_alternative<Deferred>(result)) {
      if (!co_await WaitToPlace()) {
        co_return;
      }
      continue;
    }
    if (auto* unplaced = std::get_if<Unplaced>(&result)) {
      co_await AnswerUnplaced(*unplaced);
      co_return;
    }
    const auto run =
        std::get<std::shared_ptr<PlacedAttempt>>(std::move(result));
    const RunEnd end = co_await RunOnce(run);
    if (m_client_gone) {
      m_keep = false;
      m_ending = {"client-gone", std::string(ToString(end))};
      co_return;
    }
    if (end == RunEnd::kWhole && m_stream_begun) {
      co_await FinishStream(end);
      co_return;
    }
    if (!MayTryAgain(end)) {
      if (m_stream_begun) {
        co_await FinishStream(end);
      } else {
        co_await AnswerAfter(end);
      }
      co_return;
    }
    CountEvent(m_parts.metrics, "retries");
    m_parts.log.Write(LogLevel::kInfo, "retry",
                      {{"request", m_facts.id},
                       {"upstream", run->upstream->record.id.value},
                       {"end", std::string(ToString(end))},
                       {"status", std::to_string(m_last_reply.status)}});
  }
}

// Waits until the load may have changed; false where the request has ended
// meanwhile.
asio::awaitable<bool> Exchange::WaitToPlace() {
  CountEvent(m_parts.metrics, "deferrals");
  co_await SleepFor(kPlacementPoll);
  if (m_client_gone) {
    m_keep = false;
    m_ending.outcome = "client-gone";
    m_ending.reason = "waiting";
    co_return false;
  }
  if (m_timed_out) {
    co_await AnswerAfter(RunEnd::kStopped);
    co_return false;
  }
  co_return true;
}

bool Exchange::MayTryAgain(RunEnd end) {
  const bool upstream_failed =
      end == RunEnd::kWhole && m_last_reply.status >= 500;
  if (m_timed_out || end == RunEnd::kStopped || m_stream_broken ||
      (end == RunEnd::kWhole && !upstream_failed) ||
      TimeLeft() < kMinTimeToRetry) {
    return false;
  }
  if (end == RunEnd::kNotSent) {
    return m_tried.size() < 8;  // Nothing has arrived anywhere.
  }
  if (end != RunEnd::kNotExecuted &&
      (!IsRetryable(*m_route) || m_runs >= m_route->max_attempts)) {
    return false;
  }
  return m_parts.router.AllowRetry(m_service, Now());
}

UpstreamOutcome Exchange::OutcomeOf(RunEnd end) const {
  switch (end) {
    case RunEnd::kWhole:
      return m_last_reply.status >= 500 ? UpstreamOutcome::kFailed
                                        : UpstreamOutcome::kServed;
    case RunEnd::kNotSent:
      return UpstreamOutcome::kUnreachable;
    case RunEnd::kNotExecuted:
      return UpstreamOutcome::kRefused;
    case RunEnd::kBroken:
    case RunEnd::kSilent:
      return UpstreamOutcome::kFailed;
    case RunEnd::kStopped:
      return UpstreamOutcome::kCancelled;
  }
  return UpstreamOutcome::kCancelled;
}

UpstreamRun::Request Exchange::UpstreamRequestFor(
    const PlacedAttempt& run) const {
  UpstreamRun::Request request;
  request.bytes = UpstreamBytes(run);
  request.id = m_facts.id;
  request.address = run.upstream->record.address;
  request.may_repeat = IsRetryable(*m_route);
  request.is_head = m_request.method() == http::verb::head;
  const auto service = m_config->services.find(m_service);
  const auto instances =
      static_cast<double>(m_parts.router.LivePeerCount(Now()) + 1);
  if (service != m_config->services.end()) {
    request.max_connections = static_cast<size_t>(std::max(
        1.0, kConnectionShare * service->second.max_connections / instances));
  }
  if (IsRetryable(*m_route)) {
    request.first_byte_limit =
        kMinSilence + kSilenceFactor * run.placement.expected_latency;
    request.pause_limit =
        kMinSilence + kSilenceFactor * m_route->event_gap_target;
  }
  return request;
}

std::string Exchange::UpstreamBytes(const PlacedAttempt& run) const {
  std::string bytes = fmt::format("{} {} HTTP/1.1\r\n",
                                  std::string_view(m_request.method_string()),
                                  std::string_view(m_request.target()));
  const auto dropped = ConnectionFields(m_request.base());
  for (const auto& field : m_request) {
    const std::string_view name = field.name_string();
    if (!dropped.contains(LowerCaseName(name)) &&
        m_parts.codec.passes_to_upstream(name)) {
      bytes += fmt::format("{}: {}\r\n", name, std::string_view(field.value()));
    }
  }
  UpstreamFields fields;
  fields.time_left = TimeLeft();
  fields.expected = run.upstream->record.id;
  fields.resume_after = m_events && m_events->LastId() ? m_events->LastId()
                                                       : m_facts.resume_after;
  uint32_t rank = m_route->priority;
  if (m_account != nullptr) {
    fields.account = m_account->name;
    rank += kRanksPerAccountPriority * m_account->priority;
  }
  if (m_route->kind == RouteKind::kStreaming) {
    fields.urgency = std::min(rank, kLeastUrgent);
  }
  m_parts.codec.write_upstream(fields, bytes);
  if (!m_request.body().empty() || m_request.has_content_length() ||
      m_request.chunked()) {
    bytes += fmt::format("Content-Length: {}\r\n", m_request.body().size());
  }
  return bytes + "\r\n" + m_request.body();
}

asio::awaitable<RunEnd> Exchange::RunOnce(std::shared_ptr<PlacedAttempt> run) {
  m_parts.on_run_change();
  m_parts.log.Write(
      LogLevel::kInfo, "placed",
      {{"request", m_facts.id},
       {"route", m_route->name},
       {"upstream", run->upstream->record.id.value},
       {"attempt", std::to_string(m_runs + 1)},
       {"unread_tokens", std::to_string(run->placement.pending_prefill_tokens)},
       {"prompt_tokens", std::to_string(m_facts.prompt_tokens)},
       {"expected_ms",
        fmt::format("{:.0f}", ToMillis(run->placement.expected_latency))},
       {"running", std::to_string(TotalLoad(*run->upstream).running)},
       {"upstreams_as_of",
        std::to_string(m_parts.router.Upstreams().as_of.value)}});
  m_placed = run;
  m_run = std::make_shared<UpstreamRun>(m_parts, UpstreamRequestFor(*run), run);
  const StreamSink sink{
      [this](const PassedReply& head) { return BeginStream(head); },
      [this](std::string_view bytes) { return PassEvents(bytes); }};
  RunEnd end = RunEnd::kStopped;
  if (!m_client_gone && !m_timed_out) {
    end = co_await m_run->Go(sink);
  }
  m_last_reply = m_run->Reply();
  m_run = nullptr;
  // A stream that has begun can only go on with a stream: any other reply,
  // whole as it is, leaves it broken off.
  if (m_stream_begun && end == RunEnd::kWhole && !m_last_reply.is_stream) {
    end = RunEnd::kBroken;
  }
  m_parts.router.EndAttempt(*run, OutcomeOf(end), Now());
  m_parts.on_run_change();
  if (end != RunEnd::kNotSent && end != RunEnd::kNotExecuted) {
    m_may_have_run = true;
    ++m_runs;
  }
  if (end != RunEnd::kWhole || m_last_reply.status >= 500) {
    m_tried.push_back(run->upstream->record.id);
  }
  co_return end;
}

}  // namespace pomeloring
