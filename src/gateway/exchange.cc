#include "gateway/exchange.h"

#include <fmt/format.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include "link/clock.h"

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
constexpr Duration kUpstreamRetryAfter = milliseconds(300);
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

auto Await(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

double Millis(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

std::string_view Name(RunEnd end) {
  switch (end) {
    case RunEnd::kWhole:
      return "whole";
    case RunEnd::kNotSent:
      return "not-sent";
    case RunEnd::kNotExecuted:
      return "not-executed";
    case RunEnd::kBroken:
      return "broken";
    case RunEnd::kSilent:
      return "silent";
    case RunEnd::kStopped:
      return "stopped";
  }
  return "unknown";
}

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
                    kUpstreamRetryAfter};
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
  m_service = ServiceFor(*m_route, StableHash(m_facts.id));
  return std::nullopt;
}

// An instance that has just started knows its configuration within some tens of
// milliseconds: a caller that waits for it is served sooner than one that is
// told to come back.
asio::awaitable<void> Exchange::AwaitReadiness() {
  const Time until = m_received + kReadyPatience;
  while (!m_parts.router.IsReady() && Now() < until) {
    error_code ignored;
    m_deadline.expires_after(kReadyPoll);
    co_await m_deadline.async_wait(Await(ignored));
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
    const RunRequest wanted{
        m_route,       m_service,        m_facts.prompt_tokens,
        m_facts.parts, now - m_received, TimeLeft(),
        m_tried};
    auto result = m_parts.router.StartRun(wanted, now);
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
    const auto run = std::get<std::shared_ptr<Run>>(std::move(result));
    const RunEnd end = co_await RunOnce(run);
    if (m_client_gone) {
      m_keep = false;
      m_ending = {"client-gone", std::string(Name(end))};
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
                       {"end", std::string(Name(end))},
                       {"status", std::to_string(m_last_reply.status)}});
  }
}

// Waits until the load may have changed; false where the request has ended
// meanwhile.
asio::awaitable<bool> Exchange::WaitToPlace() {
  CountEvent(m_parts.metrics, "deferrals");
  asio::steady_timer timer(m_parts.context, kPlacementPoll);
  error_code ignored;
  co_await timer.async_wait(Await(ignored));
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
      (!MayRepeat(*m_route) || m_runs >= m_route->max_attempts)) {
    return false;
  }
  return m_parts.router.MayRetry(m_service, Now());
}

RunOutcome Exchange::OutcomeOf(RunEnd end) const {
  switch (end) {
    case RunEnd::kWhole:
      return m_last_reply.status >= 500 ? RunOutcome::kFailed
                                        : RunOutcome::kServed;
    case RunEnd::kNotSent:
      return RunOutcome::kUnreachable;
    case RunEnd::kNotExecuted:
      return RunOutcome::kRefused;
    case RunEnd::kBroken:
    case RunEnd::kSilent:
      return RunOutcome::kFailed;
    case RunEnd::kStopped:
      return RunOutcome::kCancelled;
  }
  return RunOutcome::kCancelled;
}

UpstreamRun::Request Exchange::UpstreamRequestFor(const Run& run) const {
  UpstreamRun::Request request;
  request.bytes = UpstreamBytes(run);
  request.id = m_facts.id;
  request.address = run.upstream->record.address;
  request.may_repeat = MayRepeat(*m_route);
  request.is_head = m_request.method() == http::verb::head;
  const auto service = m_config->services.find(m_service);
  const auto instances =
      static_cast<double>(m_parts.router.LivePeers(Now()) + 1);
  if (service != m_config->services.end()) {
    request.max_connections = static_cast<size_t>(std::max(
        1.0, kConnectionShare * service->second.max_connections / instances));
  }
  if (MayRepeat(*m_route)) {
    request.first_byte_limit =
        kMinSilence + kSilenceFactor * run.placement.expected_start;
    request.pause_limit = kMinSilence + kSilenceFactor * m_route->pause_target;
  }
  return request;
}

std::string Exchange::UpstreamBytes(const Run& run) const {
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

asio::awaitable<RunEnd> Exchange::RunOnce(std::shared_ptr<Run> run) {
  m_parts.on_run_change();
  m_parts.log.Write(
      LogLevel::kInfo, "placed",
      {{"request", m_facts.id},
       {"route", m_route->name},
       {"upstream", run->upstream->record.id.value},
       {"attempt", std::to_string(m_runs + 1)},
       {"unread_tokens", std::to_string(run->placement.unread_tokens)},
       {"prompt_tokens", std::to_string(m_facts.prompt_tokens)},
       {"expected_ms",
        fmt::format("{:.0f}", Millis(run->placement.expected_start))},
       {"running", std::to_string(TotalUse(*run->upstream).running)},
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
  m_parts.router.EndRun(*run, OutcomeOf(end), Now());
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

// --- Streams -----------------------------------------------------------------

asio::awaitable<bool> Exchange::BeginStream(const PassedReply& head) {
  if (m_stream_begun) {
    m_events->StartNextRun();
    co_return true;  // Goes on with the head of its first run.
  }
  m_stream_begun = true;
  m_events.emplace(m_facts.resume_after);
  std::string bytes =
      WritePassedHead(head.status, head.fields, nullptr, KeepsAlive());
  co_return co_await m_client->Write(std::move(bytes));
}

asio::awaitable<bool> Exchange::PassEvents(std::string_view bytes) {
  const WholeEvents events = m_events->Feed(bytes);
  if (events.out_of_order) {
    m_stream_broken = true;
    co_return false;
  }
  if (events.bytes.empty()) {
    co_return true;
  }
  if (events.count > 0) {
    const Time now = Now();
    if (m_first_byte.count() == 0) {
      m_first_byte = now - m_received;
      ObserveFirstByte(m_parts.metrics, m_route->name, m_first_byte);
    } else {
      m_longest_pause = std::max(m_longest_pause, now - m_last_event);
    }
    m_last_event = now;
    m_parts.router.HandleFirstEvent(*m_placed, now);
  }
  std::string chunk = WriteChunk(events.bytes);
  co_return co_await m_client->Write(std::move(chunk));
}

// A stream that ends early is cut off: it must not look complete.
asio::awaitable<void> Exchange::FinishStream(RunEnd end) {
  const bool is_whole =
      end == RunEnd::kWhole && !m_events->HasPartialEvent() && !m_stream_broken;
  std::string last(kLastChunk);
  if (is_whole && co_await m_client->Write(std::move(last))) {
    m_ending.outcome = "served";
    co_return;
  }
  m_keep = false;
  m_client->Close();
  m_ending = {"stream-cut", std::string(Name(end))};
}

// --- Final answers -----------------------------------------------------------

// GCC 12 destroys a braced temporary in a co_await expression twice: replies
// are named before they are passed.
asio::awaitable<void> Exchange::AnswerUnplaced(Unplaced unplaced) {
  if (m_stream_begun) {
    co_await FinishStream(RunEnd::kBroken);
    co_return;
  }
  const bool full = unplaced.reason == PlacementRefusal::kOverloaded;
  OwnReply reply{503, full ? "overloaded" : "no-upstream",
                 full ? "every upstream would start it too late"
                      : "no upstream of the service is in use",
                 std::max(unplaced.retry_after, kUpstreamRetryAfter)};
  if (m_may_have_run) {
    reply = {502, "upstream-lost", "no other upstream can run it"};
  }
  m_parts.log.Write(
      LogLevel::kInfo, "unplaced",
      {{"request", m_facts.id},
       {"route", m_route->name},
       {"reason", reply.type},
       {"usable", std::to_string(unplaced.usable)},
       {"read_share", fmt::format("{:.2f}", unplaced.read_share)},
       {"max_read_share", fmt::format("{:.2f}", unplaced.max_read_share)},
       {"waited_ms", fmt::format("{:.0f}", Millis(Now() - m_received))},
       {"retry_after_ms", fmt::format("{:.0f}", Millis(reply.retry_after))},
       {"upstreams_as_of",
        std::to_string(m_parts.router.Upstreams().as_of.value)}});
  co_await Answer(std::move(reply));
}

asio::awaitable<void> Exchange::AnswerAfter(RunEnd end) {
  // These statuses state that a request has not run. This one has.
  const unsigned status = m_last_reply.status;
  const bool promises =
      status == 408 || status == 421 || status == 429 || status == 503;
  if (end == RunEnd::kWhole && !promises) {
    co_await PassWhole(m_last_reply);
    co_return;
  }
  OwnReply reply{503, end == RunEnd::kNotSent ? "unreachable" : "refused",
                 "no upstream took the request", kUpstreamRetryAfter};
  if (end == RunEnd::kWhole) {
    reply = {502, "upstream-failed",
             "the upstream failed the request after it had it"};
  } else if (m_may_have_run) {
    const bool late = m_timed_out || end == RunEnd::kSilent;
    reply = {late ? 504U : 502U, late ? "upstream-too-slow" : "upstream-lost",
             "the request may have run"};
  }
  co_await Answer(std::move(reply));
}

asio::awaitable<void> Exchange::PassWhole(const PassedReply& reply) {
  m_first_byte = Now() - m_received;
  ObserveFirstByte(m_parts.metrics, m_route->name, m_first_byte);
  const size_t length = reply.body.size();
  m_ending.outcome = reply.status < 400 ? "served" : "upstream-status";
  m_ending.reason = std::to_string(reply.status);
  std::string bytes =
      WritePassedHead(reply.status, reply.fields, &length, KeepsAlive());
  bytes += reply.body;
  const bool written = co_await m_client->Write(std::move(bytes));
  m_keep = m_keep && written;
}

asio::awaitable<void> Exchange::Answer(OwnReply reply) {
  m_ending.outcome = std::to_string(reply.status);
  m_ending.reason = reply.type;
  const ReplyContext context{m_parts.codec.request_id_field, m_facts.id,
                             KeepsAlive()};
  std::string bytes = WriteOwnReply(reply, context);
  const bool written = co_await m_client->Write(std::move(bytes));
  m_keep = m_keep && written;
}

void Exchange::LogEnd() {
  const std::string route = m_route ? m_route->name : "none";
  CountRequestEnd(m_parts.metrics, route, m_ending.outcome);
  m_parts.log.Write(
      LogLevel::kInfo, "request-ended",
      {{"request", m_facts.id},
       {"route", route},
       {"account", m_account ? m_account->name.value : ""},
       {"outcome", m_ending.outcome},
       {"reason", m_ending.reason},
       {"runs", std::to_string(m_runs)},
       {"upstream", m_placed ? m_placed->upstream->record.id.value : ""},
       {"first_ms", fmt::format("{:.0f}", Millis(m_first_byte))},
       {"pause_ms", fmt::format("{:.0f}", Millis(m_longest_pause))},
       {"total_ms", fmt::format("{:.0f}", Millis(Now() - m_received))},
       {"config", std::to_string(m_config ? m_config->version : 0)}});
}

// --- Connections -------------------------------------------------------------

asio::awaitable<void> ServeConnection(
    GatewayParts& parts,
    std::shared_ptr<ClientConnection> client) {
  client->Start();
  while (true) {
    const auto config = parts.router.Config();
    const ClientLimits limits = config ? config->limits : ClientLimits();
    auto read = co_await client->ReadRequest(limits);
    if (std::holds_alternative<ConnectionEnded>(read)) {
      client->Close();
      co_return;
    }
    if (auto* bad = std::get_if<BadClientRequest>(&read)) {
      CountEvent(parts.metrics, "bad_requests");
      parts.log.Write(
          LogLevel::kInfo, "bad-request",
          {{"status", std::to_string(bad->status)}, {"reason", bad->reason}});
      const OwnReply reply{bad->status, "bad-request", bad->reason};
      const ReplyContext context{"", "", false};
      std::string bytes = WriteOwnReply(reply, context);
      co_await client->Write(std::move(bytes));
      client->Close();
      co_return;
    }
    ++parts.exchanges;
    const auto exchange = std::make_shared<Exchange>(
        parts, client, std::get<ClientRequest>(std::move(read)));
    const bool keeps = co_await exchange->Serve();
    --parts.exchanges;
    if (!keeps) {
      client->Close();
      co_return;
    }
  }
}

}  // namespace pomeloring
