#include "gateway/upstream_run.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

#include "link/clock.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr uint64_t kMaxReplyBytes = uint64_t{64} * 1024 * 1024;
// Replies to earlier requests that may stand before the one awaited.
constexpr int kMaxOtherReplies = 3;
// While other connections to the upstream bring bytes, it lives; the one that
// is silent gets this much longer.
constexpr int kLivingUpstreamFactor = 2;
constexpr Duration kLivingWithin = milliseconds(500);
constexpr unsigned kStatusOk = 200;
constexpr unsigned kFirstFinalStatus = 200;

auto Await(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

// The idle time that a Keep-Alive field states, or 0.
std::chrono::milliseconds StatedIdleTime(const HttpFields& fields) {
  const std::string_view value = fields[http::field::keep_alive];
  const size_t at = value.find("timeout=");
  if (at == std::string_view::npos) {
    return {};
  }
  int64_t whole_seconds = 0;
  const char* begin = value.data() + at + 8;
  std::from_chars(begin, value.data() + value.size(), whole_seconds);
  return seconds{whole_seconds};
}

}  // namespace

std::string_view ToString(RunEnd end) {
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

UpstreamRun::UpstreamRun(GatewayParts& parts,
                         Request request,
                         std::shared_ptr<PlacedAttempt> run)
    : m_parts(parts),
      m_request(std::move(request)),
      m_run(std::move(run)),
      m_silence(parts.context) {}

void UpstreamRun::Stop() {
  m_stopped = true;
  m_silence.cancel();
  if (m_connection) {
    m_connection->Close();
  }
}

RunEnd UpstreamRun::Failure() const {
  if (m_stopped) {
    return RunEnd::kStopped;
  }
  return m_silent ? RunEnd::kSilent : RunEnd::kBroken;
}

// The timer is set again only when it fires: bytes come far more often.
void UpstreamRun::ArmSilence(Duration limit) {
  m_limit = limit;
  if (limit.count() == 0) {
    return;
  }
  const Time now = Now();
  m_silence.expires_after(std::max(Duration{1000}, m_last_byte + limit - now));
  m_silence.async_wait([self = shared_from_this()](error_code error) {
    if (error || self->m_stopped || !self->m_connection) {
      return;
    }
    const Time now = Now();
    Duration limit = self->m_limit;
    if (now - self->m_run->upstream->health.last_byte_at < kLivingWithin) {
      limit *= kLivingUpstreamFactor;
    }
    if (now - self->m_last_byte >= limit) {
      self->m_silent = true;
      self->m_connection->Close();
      return;
    }
    self->ArmSilence(self->m_limit);
  });
}

void UpstreamRun::RecordByte() {
  m_last_byte = Now();
  m_parts.router.RecordByte(*m_run, m_last_byte);
}

// The request is sent beside the reading of the reply: an upstream may answer
// before it has read all of it.
void UpstreamRun::Send() {
  auto bytes = std::make_shared<std::string>(m_request.bytes);
  asio::async_write(m_connection->socket, asio::buffer(*bytes),
                    [bytes, connection = m_connection, sent = m_sent](
                        error_code error, size_t) { *sent = !error; });
}

asio::awaitable<RunEnd> UpstreamRun::Go(const StreamSink& sink) {
  const auto self = shared_from_this();
  auto connected = co_await m_parts.pool.Connect(
      m_request.address, m_request.max_connections, !m_request.may_repeat);
  if (!std::holds_alternative<std::shared_ptr<UpstreamConnection>>(connected)) {
    co_return m_stopped ? RunEnd::kStopped : RunEnd::kNotSent;
  }
  m_connection = std::get<std::shared_ptr<UpstreamConnection>>(connected);
  if (m_stopped) {
    Finish(true);
    co_return RunEnd::kStopped;
  }
  m_last_byte = Now();
  Send();
  ArmSilence(m_request.first_byte_limit);
  const RunEnd end = co_await Receive(sink);
  m_silence.cancel();
  co_return end;
}

// Reads heads until one belongs to this request. A late reply to an earlier
// request is read to its end and dropped.
asio::awaitable<bool> UpstreamRun::ReadHead(std::unique_ptr<Parser>& parser) {
  for (int others = 0; others <= kMaxOtherReplies;) {
    parser = std::make_unique<Parser>();
    parser->body_limit(kMaxReplyBytes);
    parser->skip(m_request.is_head);
    error_code error;
    co_await http::async_read_header(m_connection->socket, m_connection->buffer,
                                     *parser, Await(error));
    if (error) {
      co_return false;
    }
    RecordByte();
    const auto& head = parser->get();
    if (head.result_int() < kFirstFinalStatus) {
      continue;
    }
    const ReplyFacts facts =
        m_parts.codec.read_reply(head.result_int(), head.base());
    if (facts.request_id == m_request.id) {
      co_return true;
    }
    if (facts.request_id.empty() && !m_connection->was_used && others == 0) {
      co_return true;  // Nobody else has asked anything here.
    }
    ++others;
    m_other_replies = true;
    CountEvent(m_parts.metrics, "foreign_replies");
    co_await http::async_read(m_connection->socket, m_connection->buffer,
                              *parser, Await(error));
    if (error) {
      co_return false;
    }
  }
  co_return false;
}

asio::awaitable<RunEnd> UpstreamRun::Receive(const StreamSink& sink) {
  std::unique_ptr<Parser> parser;
  if (!co_await ReadHead(parser)) {
    Finish(false);
    co_return Failure();
  }
  const auto& head = parser->get();
  const ReplyFacts facts =
      m_parts.codec.read_reply(head.result_int(), head.base());
  m_reply.status = head.result_int();
  m_reply.fields = head.base();
  m_reply.is_sealed = facts.is_sealed;
  m_reply.is_stream = m_reply.status == kStatusOk &&
                      std::string_view(head[http::field::content_type])
                          .starts_with("text/event-stream");
  if (m_reply.is_stream && facts.is_sealed) {
    co_return co_await PassStream(*parser, sink);
  }
  const RunEnd end = co_await ReadWholeBody(*parser);
  if (end == RunEnd::kWhole && facts.not_executed) {
    co_return RunEnd::kNotExecuted;
  }
  // A success that the upstream has not signed is none of its.
  if (end == RunEnd::kWhole && m_reply.status < 300 && !facts.is_sealed) {
    co_return RunEnd::kBroken;
  }
  co_return end;
}

asio::awaitable<RunEnd> UpstreamRun::ReadWholeBody(Parser& parser) {
  error_code error;
  if (!parser.is_done()) {
    co_await http::async_read(m_connection->socket, m_connection->buffer,
                              parser, Await(error));
  }
  if (error || m_stopped) {
    Finish(false);
    co_return Failure();
  }
  RecordByte();
  m_reply.body = std::move(parser.get().body());
  // Bytes after a reply belong to no request; the connection is not trusted.
  Finish(parser.get().keep_alive() && !parser.need_eof());
  co_return RunEnd::kWhole;
}

asio::awaitable<RunEnd> UpstreamRun::PassStream(Parser& parser,
                                                const StreamSink& sink) {
  ArmSilence(m_request.pause_limit);
  if (!co_await sink.begin(m_reply)) {
    Finish(false);
    co_return RunEnd::kStopped;
  }
  error_code error;
  while (true) {
    std::string& body = parser.get().body();
    if (!body.empty()) {
      RecordByte();
      const bool passed = co_await sink.pass(body);
      body.clear();
      if (!passed || m_stopped) {
        Finish(false);
        co_return RunEnd::kStopped;
      }
    }
    if (parser.is_done()) {
      break;
    }
    co_await http::async_read_some(m_connection->socket, m_connection->buffer,
                                   parser, Await(error));
    if (error && parser.get().body().empty()) {
      Finish(false);
      co_return Failure();
    }
  }
  Finish(parser.get().keep_alive() && !parser.need_eof());
  co_return RunEnd::kWhole;
}

void UpstreamRun::Finish(bool may_reuse) {
  if (!m_connection) {
    return;
  }
  m_silence.cancel();
  const bool is_clean = may_reuse && *m_sent && !m_stopped && !m_silent &&
                        !m_other_replies && m_connection->buffer.size() == 0;
  if (is_clean) {
    m_connection->stated_idle = StatedIdleTime(m_reply.fields);
    m_parts.pool.PutBack(m_connection);
  } else {
    m_connection->Close();
    m_parts.pool.Release(m_connection->address);
  }
  m_connection = nullptr;
}

}  // namespace pomeloring
