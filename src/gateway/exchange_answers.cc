#include <fmt/format.h>

#include "gateway/exchange.h"
#include "link/clock.h"

namespace pomeloring {

namespace asio = boost::asio;

// --- Streams -----------------------------------------------------------------

asio::awaitable<bool> Exchange::BeginStream(const PassedReply& head) {
  if (m_stream_begun) {
    m_events->DiscardPartialEvent();
    co_return true;  // Goes on with the head of its first run.
  }
  m_stream_begun = true;
  m_events.emplace(m_facts.resume_after);
  std::string bytes =
      WritePassedHead(head.status, head.fields, nullptr, KeepsAlive());
  co_return co_await m_client->Write(std::move(bytes));
}

asio::awaitable<bool> Exchange::PassEvents(std::string_view bytes) {
  const CompleteEvents events = m_events->Feed(bytes);
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
  m_ending = {"stream-cut", std::string(ToString(end))};
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
                 std::max(unplaced.retry_after, kDefaultRetryAfter)};
  if (m_may_have_run) {
    reply = {502, "upstream-lost", "no other upstream can run it"};
  }
  m_parts.log.Write(
      LogLevel::kInfo, "unplaced",
      {{"request", m_facts.id},
       {"route", m_route->name},
       {"reason", reply.type},
       {"usable", std::to_string(unplaced.usable)},
       {"read_share", fmt::format("{:.2f}", unplaced.prefill_share)},
       {"max_read_share", fmt::format("{:.2f}", unplaced.max_prefill_share)},
       {"waited_ms", fmt::format("{:.0f}", ToMillis(Now() - m_received))},
       {"retry_after_ms", fmt::format("{:.0f}", ToMillis(reply.retry_after))},
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
                 "no upstream took the request", kDefaultRetryAfter};
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
       {"first_ms", fmt::format("{:.0f}", ToMillis(m_first_byte))},
       {"pause_ms", fmt::format("{:.0f}", ToMillis(m_longest_pause))},
       {"total_ms", fmt::format("{:.0f}", ToMillis(Now() - m_received))},
       {"config", std::to_string(m_config ? m_config->version : 0)}});
}

}  // namespace pomeloring
