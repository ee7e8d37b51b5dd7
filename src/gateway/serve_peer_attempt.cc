#include "gateway/serve_peer_attempt.h"

#include <boost/beast/http.hpp>

#include "gateway/http_reply.h"
#include "gateway/peer_attempt.h"
#include "gateway/upstream_attempt.h"
#include "link/clock.h"
#include "memory/memory_budget.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Bounds the memory and the connections that peers may take.
constexpr size_t kMaxPeerAttempts = 400;

// The upstream's own field of the same name would be taken for this instance's
// word.
HttpReply MakeReply(const UpstreamReply& from_upstream) {
  HttpReply reply;
  reply.status = from_upstream.status;
  reply.content_type = from_upstream.fields[http::field::content_type];
  reply.body = from_upstream.body;
  const auto dropped = HopByHopFields(from_upstream.fields);
  const std::string outcome_field = LowerCaseName(kPeerOutcomeField);
  for (const auto& field : from_upstream.fields) {
    const std::string name = LowerCaseName(field.name_string());
    if (field.name() != http::field::content_type && !dropped.contains(name) &&
        name != outcome_field) {
      reply.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    }
  }
  reply.headers.push_back({std::string(kPeerOutcomeField),
                           std::string(ToString(PeerOutcome::kReplied))});
  return reply;
}

HttpReply MakeOutcomeReply(const GatewayContext& gateway,
                           const PeerAttempt& request,
                           PeerOutcome outcome) {
  HttpReply reply;
  reply.status = outcome == PeerOutcome::kConnected ? 200 : 502;
  reply.content_type = "text/plain";
  reply.headers = {
      {gateway.codec.request_id_field, request.request_id},
      {std::string(kPeerOutcomeField), std::string(ToString(outcome))}};
  return reply;
}

PeerOutcome OutcomeOf(const UpstreamConnectResult& failure) {
  if (std::holds_alternative<ConnectionLimitReached>(failure)) {
    return PeerOutcome::kBusy;
  }
  const auto* unreachable = std::get_if<UnreachableUpstream>(&failure);
  return unreachable != nullptr && unreachable->is_refused
             ? PeerOutcome::kRefused
             : PeerOutcome::kUpstreamLost;
}

PeerOutcome OutcomeOf(AttemptEnd end, const UpstreamAttempt& attempt) {
  switch (end) {
    case AttemptEnd::kNotSent:
      return OutcomeOf(attempt.ConnectFailure());
    case AttemptEnd::kWithdrawn:
      return PeerOutcome::kUpstreamBlock;
    case AttemptEnd::kSilent:
      return PeerOutcome::kSilent;
    default:
      return PeerOutcome::kBroken;
  }
}

void LogEnd(GatewayContext& gateway,
            const PeerAttempt& request,
            std::string_view end,
            Time started) {
  CountEvent(gateway.metrics, "peer_attempts_served");
  gateway.log.Write(
      LogLevel::kInfo, "peer-attempt",
      {{"request", request.request_id},
       {"upstream", request.upstream.value},
       {"end", std::string(end)},
       {"run_ms", std::to_string((Now() - started).count() / 1000)}});
}

PeerOutcome OutcomeOf(ProbeResult result) {
  switch (result) {
    case ProbeResult::kAccepted:
      return PeerOutcome::kConnected;
    case ProbeResult::kRefused:
      return PeerOutcome::kRefused;
    case ProbeResult::kUnknown:
      break;
  }
  return PeerOutcome::kUpstreamLost;
}

}  // namespace

asio::awaitable<void> ServePeerAttempt(GatewayContext& gateway,
                                       HttpExchange& exchange) {
  const Time started = Now();
  auto request = DecodePeerAttempt(exchange.Request().body());
  if (!request) {
    HttpReply reply;
    reply.status = 400;
    co_await exchange.Respond(std::move(reply));
    co_return;
  }
  const size_t request_bytes = request->bytes.size();
  // Without the reservation, which would refuse a request for its own size.
  const bool is_admitted =
      AdmitsRequest(LevelOf(gateway.memory), request_bytes);
  MemoryHold hold(gateway.memory, MemoryKind::kPeerAttempts,
                  exchange.Request().body().size() + request_bytes);
  const auto upstream = gateway.router.FindUpstream(request->upstream);
  const bool is_busy =
      !gateway.is_member(request->sender, request->incarnation) ||
      !gateway.router.IsReady() || gateway.stop ||
      gateway.active_peer_attempts >= kMaxPeerAttempts || !is_admitted;
  if (is_busy || !upstream) {
    const PeerOutcome outcome =
        is_busy ? PeerOutcome::kBusy : PeerOutcome::kUpstreamBlock;
    HttpReply reply = MakeOutcomeReply(gateway, *request, outcome);
    LogEnd(gateway, *request, ToString(outcome), started);
    co_await exchange.Respond(std::move(reply));
    co_return;
  }
  if (request->bytes.empty()) {
    const ProbeResult result = co_await gateway.probe(upstream);
    HttpReply reply = MakeOutcomeReply(gateway, *request, OutcomeOf(result));
    co_await exchange.Respond(std::move(reply));
    co_return;
  }
  const auto placed = std::make_shared<PlacedAttempt>();
  placed->upstream = upstream;
  placed->service = upstream->record.service;
  placed->started = started;
  UpstreamAttempt::Request to_send;
  to_send.write = [bytes = std::move(request->bytes)] { return bytes; };
  to_send.id = request->request_id;
  to_send.address = upstream->record.address;
  to_send.is_retryable = request->is_retryable;
  to_send.is_head = request->is_head;
  to_send.max_connections =
      MaxConnectionsTo(gateway.router, upstream->record.service, started);
  const auto attempt =
      std::make_shared<UpstreamAttempt>(gateway, std::move(to_send), placed);
  exchange.WatchForDisconnect([attempt] { attempt->Stop(); });
  ++gateway.active_exchanges;
  ++gateway.active_peer_attempts;
  const StreamSink sink{
      [&](const UpstreamReply& head) {
        return exchange.BeginStream(MakeReply(head));
      },
      [&](std::string_view bytes) { return exchange.WriteChunk(bytes); }};
  const AttemptEnd end = co_await attempt->Execute(sink);
  const bool has_reply =
      end == AttemptEnd::kWhole || end == AttemptEnd::kNotExecuted;
  if (exchange.HasBegun() && has_reply) {
    co_await exchange.EndStream();
  } else if (exchange.HasBegun() || end == AttemptEnd::kStopped) {
    exchange.Abort();
  } else {
    HttpReply reply = has_reply ? MakeReply(attempt->Reply())
                                : MakeOutcomeReply(gateway, *request,
                                                   OutcomeOf(end, *attempt));
    co_await exchange.Respond(std::move(reply));
  }
  --gateway.active_peer_attempts;
  --gateway.active_exchanges;
  LogEnd(gateway, *request, ToString(end), started);
}

}  // namespace pomeloring
