#include "link/upstream_call.h"

#include <fmt/format.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include "link/event_stream.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using boost::system::error_code;

// An upstream that sets this header on an error reply guarantees that it has
// not started the request.
constexpr std::string_view kNotStartedHeader = "X-Not-Started";
constexpr uint64_t kMaxAnswerBytes = uint64_t{64} * 1024 * 1024;

auto Await(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

// Only requests that may be retried are sent over a reused connection: the peer
// may have closed it, or it may be dead without notice.
asio::awaitable<ConnectionResult> Connect(ConnectionPool& pool,
                                          const std::string& address,
                                          bool may_reuse,
                                          std::chrono::milliseconds timeout) {
  if (may_reuse) {
    const auto executor = co_await asio::this_coro::executor;
    if (auto connection = pool.Take(address, executor)) {
      co_return connection;
    }
  }
  co_return co_await OpenConnection(address, timeout);
}

bool IsNotStarted(const http::response_header<>& head) {
  return head.count(kNotStartedHeader) > 0;
}

enum class StreamResult {
  kComplete,
  kRefused,
  kLost,
  kTimedOut,
  kCallerDisconnected
};

// Sends one streaming request on one connection and reads its events.
class ModelStream {
 public:
  ModelStream(HttpConnection& connection,
              const ModelCall& call,
              StreamProgress& progress,
              const TokenSink& sink)
      : m_connection(connection),
        m_call(call),
        m_progress(progress),
        m_sink(sink) {}

  bool HasReplyHead() const { return m_has_reply_head; }
  const std::string& FinishReason() const { return m_finish_reason; }

  asio::awaitable<StreamResult> Run() {
    error_code error;
    m_connection.stream.expires_after(m_call.timeouts.stream_idle);
    HttpRequestMessage request = MakeRequest();
    co_await http::async_write(m_connection.stream, request, Await(error));
    if (!error) {
      error = co_await ReadFinalHead(m_connection, kMaxAnswerBytes, m_parser);
    }
    if (error) {
      co_return ResultOf(error);
    }
    m_has_reply_head = true;
    if (m_parser->get().result() != http::status::ok) {
      co_return IsNotStarted(m_parser->get()) ? StreamResult::kRefused
                                              : StreamResult::kLost;
    }
    co_return co_await ReadBody();
  }

 private:
  HttpRequestMessage MakeRequest() const {
    HttpRequestMessage request{http::verb::post, m_call.target, 11};
    request.set(http::field::host, m_call.address);
    request.set(http::field::content_type, "application/json");
    request.set("X-Request-Id", m_call.request_id);
    request.set("X-Priority", std::to_string(m_call.priority));
    if (m_progress.tokens > 0) {
      request.set("X-Resume-From", std::to_string(m_progress.tokens));
      request.set("X-Resume-Hash",
                  fmt::format("{:016x}", StableHash(m_progress.text)));
    }
    request.body() = m_call.body;
    request.prepare_payload();
    return request;
  }

  static StreamResult ResultOf(error_code error) {
    return error == beast::error::timeout ? StreamResult::kTimedOut
                                          : StreamResult::kLost;
  }

  asio::awaitable<StreamResult> ReadBody() {
    while (!m_done) {
      std::string bytes = std::move(m_parser->get().body());
      m_parser->get().body().clear();
      for (const std::string& event : m_events.Feed(bytes)) {
        const StreamResult end = co_await HandleEvent(event);
        if (end != StreamResult::kComplete) {
          co_return end;
        }
      }
      if (m_parser->is_done() || m_done) {
        break;
      }
      error_code error;
      m_connection.stream.expires_after(m_call.timeouts.stream_idle);
      co_await http::async_read_some(m_connection.stream, m_connection.buffer,
                                     *m_parser, Await(error));
      if (error && error != http::error::end_of_stream) {
        co_return ResultOf(error);
      }
    }
    // Complete only if the end marker was received and the upstream's own token
    // count matches. A stream that just stops was cut, even if its text looks
    // complete.
    const bool is_complete = m_done && m_total_tokens == m_progress.tokens;
    co_return is_complete ? StreamResult::kComplete : StreamResult::kLost;
  }

  // Returns kComplete to continue reading.
  asio::awaitable<StreamResult> HandleEvent(const std::string& event) {
    if (event == "[DONE]") {
      m_done = true;
      co_return StreamResult::kComplete;
    }
    error_code error;
    const json::value value = json::parse(event, error);
    const json::object* object = error ? nullptr : value.if_object();
    if (object == nullptr) {
      co_return StreamResult::kLost;
    }
    if (const json::value* usage = object->if_contains("usage")) {
      RecordUsage(*usage);
    }
    const std::optional<CompletionToken> token = ParseCompletionToken(*object);
    if (!token) {
      co_return StreamResult::kComplete;
    }
    if (!token->finish_reason.empty()) {
      m_finish_reason = token->finish_reason;
    }
    if (token->text.empty()) {
      co_return StreamResult::kComplete;
    }
    // A repeated or missing token: the stream does not continue at the position
    // that was reached.
    if (token->index && *token->index != m_progress.tokens) {
      co_return StreamResult::kLost;
    }
    ++m_progress.tokens;
    m_progress.text += token->text;
    const bool is_connected = co_await m_sink(event, token->text);
    co_return is_connected ? StreamResult::kComplete
                           : StreamResult::kCallerDisconnected;
  }

  void RecordUsage(const json::value& usage) {
    const json::object* object = usage.if_object();
    const json::value* count =
        object == nullptr ? nullptr : object->if_contains("completion_tokens");
    if (count != nullptr && count->is_int64()) {
      m_total_tokens = static_cast<uint64_t>(count->get_int64());
    }
  }

  HttpConnection& m_connection;
  const ModelCall& m_call;
  StreamProgress& m_progress;
  const TokenSink& m_sink;
  std::optional<ReplyParser> m_parser;  // Set once a head arrives.
  EventStreamReader m_events;
  bool m_has_reply_head = false;
  bool m_done = false;
  uint64_t m_total_tokens = 0;
  std::string m_finish_reason;
};

asio::awaitable<bool> IsHealthy(std::string address,
                                std::chrono::milliseconds timeout) {
  HttpRequestMessage request{http::verb::get, "/health", 11};
  request.set(http::field::host, address);
  const HttpResult result =
      co_await SendHttpRequest(address, std::move(request), timeout);
  const auto* response = std::get_if<HttpResponseMessage>(&result);
  co_return response != nullptr && response->result() == http::status::ok;
}

}  // namespace

asio::awaitable<ModelCallResult> CallModel(ConnectionPool& pool,
                                           ModelCall call,
                                           StreamProgress& progress,
                                           TokenSink sink) {
  constexpr int kMaxConnections = 3;
  ModelCallResult end;
  bool may_reuse = call.idempotent;
  bool may_have_started = false;
  for (int tries = 0; tries < kMaxConnections; ++tries) {
    auto opened =
        co_await Connect(pool, call.address, may_reuse, call.timeouts.connect);
    if (std::holds_alternative<ConnectFailed>(opened)) {
      end.outcome = may_have_started ? AttemptOutcome{AttemptUnknown{}}
                                     : AttemptOutcome{AttemptNotStarted{}};
      co_return end;
    }
    auto connection =
        std::get<std::unique_ptr<HttpConnection>>(std::move(opened));
    ModelStream stream(*connection, call, progress, sink);
    const StreamResult stream_result = co_await stream.Run();
    if (stream_result == StreamResult::kComplete) {
      end.outcome = AttemptAnswered{};
      end.finish_reason = stream.FinishReason();
      pool.Put(call.address, std::move(connection));
      co_return end;
    }
    const bool was_stale = connection->is_reused && !stream.HasReplyHead();
    connection.reset();
    if (stream_result == StreamResult::kRefused && !may_have_started) {
      end.outcome = AttemptNotStarted{};
      co_return end;
    }
    if (stream_result == StreamResult::kCallerDisconnected ||
        !call.idempotent) {
      co_return end;
    }
    may_have_started = true;
    may_reuse = false;
    // The connection may be dead while the upstream is alive. Check its health
    // over a new connection before giving up on the upstream.
    const bool is_connection_fault =
        was_stale ||
        (stream_result == StreamResult::kTimedOut &&
         co_await IsHealthy(call.address, call.timeouts.health_check));
    if (!is_connection_fault) {
      co_return end;
    }
  }
  co_return end;
}

asio::awaitable<PlainCallResult> CallPlain(ConnectionPool& pool,
                                           PlainCall call) {
  PlainCallResult end;
  auto opened = co_await Connect(pool, call.address, call.idempotent,
                                 call.timeouts.connect);
  if (std::holds_alternative<ConnectFailed>(opened)) {
    end.outcome = AttemptNotStarted{};
    co_return end;
  }
  auto connection =
      std::get<std::unique_ptr<HttpConnection>>(std::move(opened));
  error_code error;
  connection->stream.expires_after(call.timeouts.plain_reply);
  call.request.keep_alive(true);
  call.request.prepare_payload();
  co_await http::async_write(connection->stream, call.request, Await(error));
  std::optional<ReplyParser> parser;
  if (!error) {
    error = co_await ReadFinalHead(*connection, kMaxAnswerBytes, parser);
  }
  if (!error) {
    co_await http::async_read(connection->stream, connection->buffer, *parser,
                              Await(error));
  }
  if (error) {
    const bool was_stale =
        connection->is_reused && error != beast::error::timeout;
    if (call.idempotent && was_stale) {
      PlainCall retry = std::move(call);
      // An empty pool forces a new connection; the others in `pool` may be
      // stale too.
      ConnectionPool empty_pool;
      co_return co_await CallPlain(empty_pool, std::move(retry));
    }
    co_return end;
  }
  end.response = parser->release();
  if (IsNotStarted(end.response)) {
    end.outcome = AttemptNotStarted{};
    co_return end;
  }
  end.outcome = AttemptAnswered{};
  // Bytes behind the reply would be taken for the reply to the next request.
  if (end.response.keep_alive() && connection->buffer.size() == 0) {
    pool.Put(call.address, std::move(connection));
  }
  co_return end;
}

}  // namespace pomeloring
