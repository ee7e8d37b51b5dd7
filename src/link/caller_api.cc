#include "link/caller_api.h"

#include <fmt/format.h>
#include <openssl/sha.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include "link/caller_route.h"
#include "link/clock.h"
#include "link/problem.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

// A larger answer is not kept for replay to later requests with its key.
constexpr size_t kMaxKeptAnswerBytes = size_t{64} * 1024;

// Request headers that are forwarded to a plain service.
constexpr std::string_view kForwardedRequestHeaders[] = {
    "Content-Type",     "Accept",   "Accept-Language",
    "Content-Language", "If-Match", "If-None-Match"};
// Reply headers that are forwarded from a plain service.
constexpr std::string_view kForwardedReplyHeaders[] = {
    "ETag", "Location", "Cache-Control", "Last-Modified"};

// Serves one routed request up to its final reply.
class CallerSession {
 public:
  CallerSession(const CallerApiContext& context,
                HttpExchange& exchange,
                CallerRoute route)
      : m_context(context),
        m_exchange(exchange),
        m_route(std::move(route)),
        m_received_at(Now()) {}

  asio::awaitable<void> Run() {
    m_mailbox = m_context.sessions.Open(m_route.request.id,
                                        co_await asio::this_coro::executor);
    WatchCaller();
    m_context.run_actions(
        m_context.instance.HandleCallerRequest(m_route.request, Now()));
    while (!m_done) {
      boost::system::error_code error;
      const SessionEvent event = co_await m_mailbox->async_receive(
          asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        break;
      }
      co_await HandleEvent(event);
    }
    m_context.sessions.Close(m_route.request.id);
  }

 private:
  const RequestId& Id() const { return m_route.request.id; }

  void WatchCaller() {
    std::weak_ptr<Mailbox> weak = m_mailbox;
    auto disconnected = m_caller_disconnected;
    m_exchange.WatchForDisconnect([weak, disconnected] {
      *disconnected = true;
      if (const auto mailbox = weak.lock()) {
        mailbox->try_send(boost::system::error_code{}, CallerDisconnected{});
      }
    });
  }

  asio::awaitable<void> HandleEvent(const SessionEvent& event) {
    if (const auto* start = std::get_if<StartUpstreamAttempt>(&event)) {
      m_upstream = start->upstream.name;
      if (m_route.kind == ServiceKind::kModel) {
        co_await RunModelAttempt(*start);
      } else {
        co_await RunPlainAttempt(*start);
      }
    } else if (const auto* finish = std::get_if<FinishRequest>(&event)) {
      co_await Finish(finish->outcome);
    } else if (const auto* forward = std::get_if<ForwardRequest>(&event)) {
      co_await Forward(*forward);
    } else if (std::holds_alternative<CallerDisconnected>(event)) {
      m_context.run_actions(
          m_context.instance.HandleCallerDisconnected(Id(), Now()));
    }
  }

  asio::awaitable<void> RunModelAttempt(const StartUpstreamAttempt& start) {
    ModelCall call;
    call.address = start.upstream.address;
    call.target = std::string(m_exchange.Request().target());
    call.body = m_route.upstream_body;
    call.request_id = ToString(Id());
    call.priority = m_route.class_config.tier.value;
    call.idempotent = m_route.class_config.idempotent;
    call.timeouts = m_context.settings.timeouts;
    const AttemptId attempt = start.attempt;
    const ModelCallResult end = co_await CallModel(
        m_context.pool, std::move(call), m_progress,
        [this, attempt](std::string_view event, std::string_view) {
          return HandleToken(attempt, event);
        });
    m_finish_reason = end.finish_reason;
    AttemptOutcome outcome = end.outcome;
    if (auto* answered = std::get_if<AttemptAnswered>(&outcome)) {
      answered->kept = KeepAnswer(200, "application/json", MakeAnswerBody());
    }
    EndAttempt(attempt, outcome);
  }

  // Returns false to stop the stream because the caller has disconnected and
  // the request is idempotent, so that nobody needs the answer.
  asio::awaitable<bool> HandleToken(AttemptId attempt, std::string_view event) {
    const Time now = Now();
    if (m_first_token == Duration{0}) {
      m_first_token = now - m_received_at;
    }
    if (m_first_token_attempt != attempt.number) {
      m_first_token_attempt = attempt.number;
      m_context.run_actions(m_context.instance.HandleFirstToken(attempt, now));
    }
    if (!*m_caller_disconnected && m_route.wants_stream) {
      *m_caller_disconnected = !co_await WriteEvent(event);
    }
    if (*m_caller_disconnected && m_route.class_config.idempotent) {
      m_context.run_actions(
          m_context.instance.HandleCallerDisconnected(Id(), now));
      co_return false;
    }
    co_return true;
  }

  asio::awaitable<bool> WriteEvent(std::string_view event) {
    if (!m_exchange.HasBegun()) {
      HttpReply head;
      head.content_type = "text/event-stream";
      AddRouteHeaders(head);
      if (!co_await m_exchange.BeginStream(std::move(head))) {
        co_return false;
      }
    }
    std::string framed;
    framed.reserve(event.size() + 8);
    framed.append("data: ").append(event).append("\n\n");
    co_return co_await m_exchange.WriteChunk(framed);
  }

  asio::awaitable<void> RunPlainAttempt(const StartUpstreamAttempt& start) {
    const HttpRequest& from = m_exchange.Request();
    PlainCall call;
    call.address = start.upstream.address;
    call.idempotent = m_route.class_config.idempotent;
    call.timeouts = m_context.settings.timeouts;
    call.request = HttpRequestMessage{from.method(), from.target(), 11};
    call.request.set(http::field::host, start.upstream.address);
    call.request.set("X-Request-Id", ToString(Id()));
    for (std::string_view name : kForwardedRequestHeaders) {
      const auto it = from.find(std::string(name));
      if (it != from.end()) {
        call.request.set(std::string(name), it->value());
      }
    }
    if (!m_route.request.key.empty()) {
      call.request.set("Idempotency-Key", m_route.request.key);
    }
    call.request.body() = from.body();
    PlainCallResult end = co_await CallPlain(m_context.pool, std::move(call));
    AttemptOutcome outcome = end.outcome;
    if (auto* answered = std::get_if<AttemptAnswered>(&outcome)) {
      m_first_token = Now() - m_received_at;
      m_plain_reply = MakePlainReply(end.response);
      answered->kept = KeepAnswer(
          m_plain_reply.status, m_plain_reply.content_type, m_plain_reply.body);
    }
    EndAttempt(start.attempt, outcome);
  }

  static HttpReply MakePlainReply(HttpResponseMessage& response) {
    HttpReply reply;
    reply.status = response.result_int();
    reply.content_type = std::string(response[http::field::content_type]);
    for (std::string_view name : kForwardedReplyHeaders) {
      const auto it = response.find(std::string(name));
      if (it != response.end()) {
        reply.headers.push_back({std::string(name), std::string(it->value())});
      }
    }
    reply.body = std::move(response.body());
    return reply;
  }

  void EndAttempt(const AttemptId& attempt, const AttemptOutcome& outcome) {
    m_context.run_actions(m_context.instance.HandleAttemptEnded(
        attempt, outcome, m_progress.tokens, Now()));
  }

  std::shared_ptr<const KeptAnswer> KeepAnswer(unsigned status,
                                               std::string_view content_type,
                                               std::string_view body) const {
    if (m_route.request.key.empty() || m_route.class_config.idempotent ||
        body.size() > kMaxKeptAnswerBytes) {
      return nullptr;
    }
    return std::make_shared<const KeptAnswer>(
        KeptAnswer{status, std::string(content_type), std::string(body)});
  }

  std::string MakeAnswerBody() const {
    const bool is_chat = m_exchange.Request().target().starts_with("/v1/chat/");
    json::object choice{{"index", 0}, {"finish_reason", m_finish_reason}};
    if (is_chat) {
      choice["message"] =
          json::object{{"role", "assistant"}, {"content", m_progress.text}};
    } else {
      choice["text"] = m_progress.text;
    }
    return json::serialize(json::object{
        {"id", ToString(Id())},
        {"object", is_chat ? "chat.completion" : "text_completion"},
        {"model", m_route.model},
        {"choices", json::array{choice}},
        {"usage", json::object{{"completion_tokens", m_progress.tokens}}}});
  }

  void AddRouteHeaders(HttpReply& reply) const {
    reply.headers.push_back({"Pomeloring-Request-Id", ToString(Id())});
    reply.headers.push_back(
        {"Pomeloring-Instance", m_context.instance.Settings().self.name.value});
    if (!m_upstream.value.empty()) {
      reply.headers.push_back({"Pomeloring-Upstream", m_upstream.value});
    }
  }

  asio::awaitable<void> Finish(const Outcome& outcome) {
    m_done = true;
    ReportSummary(outcome);
    if (*m_caller_disconnected) {
      m_exchange.Abort();
      co_return;
    }
    if (!std::holds_alternative<Answered>(outcome)) {
      co_await FinishWithProblem(outcome);
    } else if (m_route.kind == ServiceKind::kPlain) {
      AddRouteHeaders(m_plain_reply);
      co_await m_exchange.Respond(std::move(m_plain_reply));
    } else if (m_route.wants_stream) {
      co_await FinishStream();
    } else {
      HttpReply reply;
      reply.body = MakeAnswerBody();
      AddRouteHeaders(reply);
      co_await m_exchange.Respond(std::move(reply));
    }
  }

  asio::awaitable<void> FinishStream() {
    const json::object last{
        {"choices",
         json::array{json::object{{"index", 0},
                                  {"delta", json::object{}},
                                  {"finish_reason", m_finish_reason}}}},
        {"usage", json::object{{"completion_tokens", m_progress.tokens}}}};
    co_await WriteEvent(json::serialize(last));
    co_await m_exchange.WriteChunk("data: [DONE]\n\n");
    co_await m_exchange.EndStream();
  }

  asio::awaitable<void> FinishWithProblem(const Outcome& outcome) {
    HttpReply reply = ProblemFor(outcome, ToString(Id()));
    AddRouteHeaders(reply);
    if (!m_exchange.HasBegun()) {
      co_await m_exchange.Respond(std::move(reply));
      co_return;
    }
    // Part of the answer has been sent. Report the error in the stream and
    // close the connection without the end marker, so that the answer can't be
    // mistaken for a complete one.
    co_await m_exchange.WriteChunk(
        fmt::format("event: error\ndata: {}\n\n", reply.body));
    m_exchange.Abort();
  }

  void ReportSummary(const Outcome& outcome) const {
    RequestSummary summary;
    summary.request_class = m_route.class_config.name;
    summary.outcome = TypeName(outcome);
    summary.first_token = m_first_token;
    summary.total = Now() - m_received_at;
    summary.tokens = m_progress.tokens;
    const bool answered = std::holds_alternative<Answered>(outcome);
    summary.wasted_tokens = answered ? 0 : m_progress.tokens;
    summary.met_target = answered && MetTarget(summary);
    m_context.on_summary(summary);
  }

  bool MetTarget(const RequestSummary& summary) const {
    const RequestClass& class_config = m_route.class_config;
    // A target of zero is not set.
    const auto within = [](Duration seen, Duration target) {
      return target.count() == 0 || seen <= target;
    };
    const Duration gap =
        summary.tokens > 1
            ? (summary.total - summary.first_token) / (summary.tokens - 1)
            : Duration{0};
    return within(summary.first_token, class_config.first_token_target) &&
           within(gap, class_config.between_tokens_target) &&
           within(summary.total, class_config.answer_target);
  }

  asio::awaitable<void> Forward(const ForwardRequest& forward) {
    m_done = true;
    const HttpRequest& from = m_exchange.Request();
    HttpRequestMessage request{from.method(), from.target(), 11};
    for (const auto& field : from) {
      if (field.name() != http::field::connection &&
          field.name() != http::field::content_length &&
          field.name() != http::field::transfer_encoding) {
        request.insert(field.name_string(), field.value());
      }
    }
    request.set("Pomeloring-Forwarded", "1");
    request.body() = from.body();
    HttpResult result =
        co_await SendHttpRequest(forward.caller_address, std::move(request),
                                 m_context.settings.forward_timeout);
    auto* response = std::get_if<HttpResponseMessage>(&result);
    if (response == nullptr) {
      // An earlier request with this key may have run there.
      const Outcome outcome = OutcomeUnknown{UnknownReason::kOwnerUnreachable};
      m_context.instance.HandleForwardEnded(Id(), "unknown", Now());
      co_await Finish(outcome);
      co_return;
    }
    m_context.instance.HandleForwardEnded(
        Id(), fmt::format("status {}", response->result_int()), Now());
    HttpReply reply = MakePlainReply(*response);
    for (const auto& field : *response) {
      const std::string_view name = field.name_string();
      if (name.starts_with("Pomeloring-") || name == "Retry-After") {
        reply.headers.push_back(
            {std::string(name), std::string(field.value())});
      }
    }
    co_await m_exchange.Respond(std::move(reply));
  }

  const CallerApiContext& m_context;
  HttpExchange& m_exchange;
  const CallerRoute m_route;
  const Time m_received_at;
  std::shared_ptr<Mailbox> m_mailbox;
  std::shared_ptr<std::atomic<bool>> m_caller_disconnected =
      std::make_shared<std::atomic<bool>>(false);
  bool m_done = false;
  UpstreamName m_upstream;
  StreamProgress m_progress;
  Duration m_first_token{0};
  uint32_t m_first_token_attempt = 0;
  std::string m_finish_reason;
  HttpReply m_plain_reply;
};

// Replies are built in functions that are not coroutines, because GCC 12
// destroys a temporary made from a braced list twice inside a co_await
// expression.
HttpReply EntriesReply(const CallerApiContext& context,
                       const HttpRequest& request) {
  if (request.method() != http::verb::get) {
    return ProblemFor(
        BadRequest{405, "unsupported-method", "the method", "use GET"}, "");
  }
  json::array entries;
  const auto view = context.instance.View();
  for (const auto& [name, member] : view->live) {
    entries.push_back(json::object{
        {"address", member.caller_address},
        {"instance", name.value},
        {"failure_domain", member.failure_domain.value},
        {"region", member.region.value},
        {"key_prefix", fmt::format("{:016x}.", member.incarnation.value)}});
  }
  HttpReply reply;
  reply.body = json::serialize(
      json::object{{"entries", entries},
                   {"keep_for_seconds", context.settings.address_ttl.count()}});
  return reply;
}

HttpReply NotReadyReply(const RequestId& id) {
  return ProblemFor(Outcome{NotRun{DeclineReason::kNotReady, seconds(1)}},
                    ToString(id));
}

HttpReply BadRequestReply(const BadRequest& bad, const RequestId& id) {
  HttpReply reply = ProblemFor(bad, ToString(id));
  reply.headers.push_back({"Pomeloring-Request-Id", ToString(id)});
  return reply;
}

}  // namespace

asio::awaitable<void> ServeCaller(const CallerApiContext& context,
                                  HttpExchange& exchange) {
  const std::string_view target = exchange.Request().target();
  if (target == "/v1/entries" || target.starts_with("/v1/entries?")) {
    co_await exchange.Respond(EntriesReply(context, exchange.Request()));
    co_return;
  }
  const RequestId id = context.instance.NextRequestId();
  const auto view = context.instance.View();
  if (view->config.revision.value == 0) {
    co_await exchange.Respond(NotReadyReply(id));
    co_return;
  }
  auto route = RouteRequest(*view, exchange.Request(), id);
  if (auto* bad = std::get_if<BadRequest>(&route)) {
    co_await exchange.Respond(BadRequestReply(*bad, id));
    co_return;
  }
  CallerSession session(context, exchange,
                        std::get<CallerRoute>(std::move(route)));
  co_await session.Run();
}

std::string Sha256Hex(std::string_view key) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         digest);
  std::string hex;
  for (unsigned char byte : digest) {
    hex += fmt::format("{:02x}", byte);
  }
  return hex;
}

}  // namespace pomeloring
