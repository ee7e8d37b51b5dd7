#include <fmt/format.h>

#include "gateway/exchange.h"
#include "link/clock.h"

namespace pomeloring {

namespace asio = boost::asio;

namespace {

LocalReply RefusalReply(PlacementRefusal reason) {
  switch (reason) {
    case PlacementRefusal::kOverloaded:
      return {503, "overloaded", "every upstream would start it too late"};
    case PlacementRefusal::kLimited:
      return {
          503, "upstream-limit",
          "the upstreams in use have asked for a pause or for fewer requests"};
    case PlacementRefusal::kQuarantined:
      return {503, "quarantined-request",
              "upstreams exit under this request or a part of its prompt"};
    case PlacementRefusal::kNoSlot:
      return {503, "no-slot", "more urgent requests need the free slots"};
    case PlacementRefusal::kOverShare:
      return {503, "over-fair-share",
              "other accounts need the capacity; this one uses over its share"};
    case PlacementRefusal::kNoMemory:
      return {503, "no-engine-memory",
              "no engine has memory for the request now"};
    case PlacementRefusal::kTooLarge:
      return {503, "too-large-for-engines",
              "the prompt is larger than the memory of any engine"};
    case PlacementRefusal::kNoUpstream:
      break;
  }
  return {503, "no-upstream", "no upstream of the service is in use"};
}

}  // namespace

// --- Final replies -----------------------------------------------------------

// GCC 12 destroys a braced temporary in a co_await expression twice, so replies
// are named variables.
asio::awaitable<void> Exchange::Finish(RequestEnd end) {
  if (const auto* gone = std::get_if<ClientGone>(&end)) {
    m_keep_alive = false;
    m_result = {"client-gone", gone->reason};
    co_return;
  }
  const auto* attempt_end = std::get_if<AttemptEnd>(&end);
  if (m_stream_started) {
    co_await FinishStream(attempt_end != nullptr ? *attempt_end
                                                 : AttemptEnd::kBroken);
    co_return;
  }
  // A status that says that the request was not executed is not forwarded: it
  // was.
  if (attempt_end != nullptr && *attempt_end == AttemptEnd::kWhole &&
      !StatesNotExecuted(m_last_reply.status)) {
    co_await ForwardLastReply();
    co_return;
  }
  LocalReply reply;
  if (attempt_end != nullptr) {
    reply = ReplyTo(*attempt_end);
  } else if (const auto* unplaced = std::get_if<Unplaced>(&end)) {
    reply = ReplyTo(*unplaced);
  } else {
    reply = std::get<LocalReply>(std::move(end));
  }
  co_await SendLocalReply(std::move(reply));
}

LocalReply Exchange::ReplyTo(const Unplaced& unplaced) {
  if (unplaced.reason != PlacementRefusal::kQuarantined) {
    m_gateway.router.RecordRefusal(m_service, Now());
  }
  LocalReply reply = RefusalReply(unplaced.reason);
  // For want of a slot or share, a caller may be told to return sooner.
  reply.retry_after = unplaced.reason == PlacementRefusal::kNoSlot ||
                              unplaced.reason == PlacementRefusal::kOverShare
                          ? unplaced.retry_after
                          : std::max(unplaced.retry_after, kDefaultRetryAfter);
  if (m_origin && unplaced.reason == PlacementRefusal::kNoUpstream) {
    reply.type = "no-upstream-of-version";
    reply.detail = "no upstream of the version that began the stream is in use";
  }
  if (m_may_have_executed) {
    reply = {502, "upstream-lost", "no other upstream can run it"};
  }
  m_gateway.log.Write(
      LogLevel::kInfo, "unplaced",
      {{"request", m_metadata.id},
       {"route", m_route->name},
       {"reason", reply.type},
       {"usable", std::to_string(unplaced.usable)},
       {"limited", std::to_string(unplaced.limited)},
       {"read_share", fmt::format("{:.2f}", unplaced.prefill_share)},
       {"max_read_share", fmt::format("{:.2f}", unplaced.max_prefill_share)},
       {"expected_ms", fmt::format("{:.0f}", unplaced.expected_ms)},
       {"max_ms", fmt::format("{:.0f}", unplaced.max_ms)},
       {"priority", std::to_string(m_route->priority)},
       {"reserved_slots", fmt::format("{:.0f}", unplaced.slots.reserve)},
       {"backlog", std::to_string(unplaced.slots.backlog)},
       {"ms_per_token", fmt::format("{:.4f}", unplaced.prefill_ms_per_token)},
       {"estimate_age_ms",
        fmt::format("{:.0f}", ToMillis(unplaced.estimate_age))},
       {"waited_ms", fmt::format("{:.0f}", ToMillis(Now() - m_received_at))},
       {"retry_after_ms", fmt::format("{:.0f}", ToMillis(reply.retry_after))},
       {"upstreams_as_of",
        std::to_string(m_gateway.router.Upstreams().as_of.value)}});
  if (unplaced.reason == PlacementRefusal::kOverShare) {
    LogShare("share-refused", unplaced.share);
  }
  if (unplaced.reason == PlacementRefusal::kQuarantined) {
    LogQuarantine(unplaced.quarantined_trait);
  }
  if (unplaced.reason == PlacementRefusal::kNoMemory ||
      unplaced.reason == PlacementRefusal::kTooLarge) {
    LogNoMemory(unplaced);
  }
  return reply;
}

void Exchange::LogShare(std::string_view event,
                        const ShareDecision& share) const {
  m_gateway.log.Write(
      LogLevel::kInfo, event,
      {{"request", m_metadata.id},
       {"route", m_route->name},
       {"account", m_account ? m_account->name.value : ""},
       {"account_priority",
        std::to_string(m_account ? m_account->priority : 0)},
       {"work", fmt::format("{:.0f}", share.work)},
       {"fair_share", fmt::format("{:.0f}", share.fair_share)},
       {"free_slots", fmt::format("{:.0f}", share.free_slots)},
       {"engines", std::to_string(share.engines)},
       {"ahead", std::to_string(share.ahead)},
       {"share_age_ms", fmt::format("{:.0f}", ToMillis(share.share_age))},
       {"load_age_ms", fmt::format("{:.0f}", ToMillis(share.load_age))},
       {"waited_ms", fmt::format("{:.0f}", ToMillis(Now() - m_received_at))},
       {"retry_after_ms", fmt::format("{:.0f}", ToMillis(share.retry_after))}});
}

// Names the upstreams' processes as "upstream-exited" does.
void Exchange::LogQuarantine(const RequestTrait& trait) const {
  const auto& traits = m_gateway.router.Quarantine().traits;
  const auto found = traits.find(trait.id);
  CountEvent(m_gateway.metrics, "quarantined_requests");
  if (found == traits.end()) {
    return;
  }
  const TraitEvidence& evidence = found->second;
  std::string exits;
  for (const auto& [process, is_strong] : evidence.exits) {
    exits += fmt::format("{}{:x}", exits.empty() ? "" : ",", process);
  }
  std::string part;
  for (const PromptPart& candidate : m_metadata.prompt_parts) {
    part = candidate.id == trait.id ? fmt::format("{:x}", candidate.caller_id)
                                    : part;
  }
  const Time now = Now();
  m_gateway.log.Write(
      LogLevel::kInfo, "request-quarantined",
      {{"request", m_metadata.id},
       {"kind", std::string(ToString(trait.kind))},
       {"trait", fmt::format("{:x}", trait.id)},
       {"part", part},
       {"exited", exits},
       {"known_for_ms",
        fmt::format("{:.0f}", ToMillis(now - evidence.quarantined_at))},
       {"trials", std::to_string(evidence.trials)},
       {"next_trial_ms",
        fmt::format("{:.0f}", ToMillis(evidence.next_trial_at - now))}});
}

void Exchange::LogNoMemory(const Unplaced& unplaced) const {
  CountEvent(m_gateway.metrics, "engine_memory_refusals");
  const auto service = m_config->services.find(m_service);
  const bool is_engine =
      service != m_config->services.end() && service->second.engine;
  Time newest_digest{};
  for (const auto& [name, peer] : m_gateway.router.Peers()) {
    newest_digest = std::max(newest_digest, peer.last_received);
  }
  m_gateway.log.Write(
      LogLevel::kInfo, "no-engine-memory",
      {{"request", m_metadata.id},
       {"service", m_service.value},
       {"prompt_tokens", std::to_string(m_metadata.prompt_tokens)},
       {"held_tokens", std::to_string(unplaced.held_tokens)},
       {"memory_tokens",
        std::to_string(is_engine ? service->second.engine->memory_tokens : 0)},
       {"loads_age_ms",
        m_gateway.router.Peers().empty()
            ? ""
            : fmt::format("{:.0f}", ToMillis(Now() - newest_digest))}});
}

LocalReply Exchange::ReplyTo(AttemptEnd end) const {
  LocalReply reply{503, end == AttemptEnd::kNotSent ? "unreachable" : "refused",
                   "no upstream took the request", kDefaultRetryAfter};
  if (end == AttemptEnd::kWhole) {
    reply = {502, "upstream-failed",
             "the upstream failed the request after it had it"};
  } else if (m_may_have_executed) {
    const bool timed_out = m_timed_out || end == AttemptEnd::kSilent;
    reply = {timed_out ? 504U : 502U,
             timed_out ? "upstream-too-slow" : "upstream-lost",
             "the request may have run"};
  }
  return reply;
}

asio::awaitable<void> Exchange::ForwardLastReply() {
  const UpstreamReply& reply = m_last_reply;
  m_time_to_first_byte = Now() - m_received_at;
  ObserveFirstByte(m_gateway.metrics, m_route->name, m_time_to_first_byte);
  const size_t length = reply.body.size();
  m_result.outcome = reply.status < 400 ? "served" : "upstream-status";
  m_result.reason = std::to_string(reply.status);
  std::string bytes =
      WriteReplyHead(reply.status, reply.fields, &length, ShouldKeepAlive());
  bytes += reply.body;
  m_last_reply.body = std::string();
  m_last_reply_hold.Set(0);
  const bool written = co_await m_client->Write(std::move(bytes));
  m_keep_alive = m_keep_alive && written;
}

asio::awaitable<void> Exchange::SendLocalReply(LocalReply reply) {
  m_result.outcome = std::to_string(reply.status);
  m_result.reason = reply.type;
  const ReplyContext context{m_gateway.codec.request_id_field, m_metadata.id,
                             ShouldKeepAlive(), IsHead()};
  std::string bytes = WriteLocalReply(reply, context);
  const bool written = co_await m_client->Write(std::move(bytes));
  m_keep_alive = m_keep_alive && written;
}

void Exchange::LogResult() {
  const std::string route = m_route ? m_route->name : "none";
  CountRequestEnd(m_gateway.metrics, route, m_result.outcome);
  m_gateway.log.Write(
      LogLevel::kInfo, "request-ended",
      {{"request", m_metadata.id},
       {"route", route},
       {"account", m_account ? m_account->name.value : ""},
       {"outcome", m_result.outcome},
       {"reason", m_result.reason},
       {"runs", std::to_string(m_executed_attempts)},
       {"upstream",
        m_placed_attempt ? m_placed_attempt->upstream->record.id.value : ""},
       {"first_ms", fmt::format("{:.0f}", ToMillis(m_time_to_first_byte))},
       {"pause_ms", fmt::format("{:.0f}", ToMillis(m_max_event_gap))},
       {"total_ms", fmt::format("{:.0f}", ToMillis(Now() - m_received_at))},
       {"config", std::to_string(m_config ? m_config->version : 0)}});
}

}  // namespace pomeloring
