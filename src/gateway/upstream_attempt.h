// Defines UpstreamAttempt: one attempt of a request at one upstream, from
// connecting to the end of the reply.

#ifndef POMELORING_GATEWAY_UPSTREAM_ATTEMPT_H_
#define POMELORING_GATEWAY_UPSTREAM_ATTEMPT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/gateway_context.h"
#include "gateway/reply_match.h"
#include "gateway/request_write.h"

namespace pomeloring {

enum class AttemptEnd {
  kWhole,    // The complete reply was received, or forwarded.
  kNotSent,  // No connection: the upstream has not seen the request.
  // Not sent: the upstream has asked for less since it was chosen.
  kWithdrawn,
  kNotExecuted,  // The upstream states that it did not execute it.
  kBroken,       // Truncated or invalid reply: it may have executed.
  kSilent,       // Read timeout: it may still be executing.
  kStopped,      // By Stop(), or the stream's sink.
};

std::string_view ToString(AttemptEnd end);

// Whether a reply with this status says that the request has not been executed.
bool StatesNotExecuted(unsigned status);

// Returns the connections to an upstream of `service` that this instance may
// have open: its share of what the upstream accepts from all instances.
size_t MaxConnectionsTo(const Router& router,
                        const ServiceName& service,
                        Time now);

// An upstream's reply; of a stream, the head only.
struct UpstreamReply {
  unsigned status = 0;
  HttpFields fields;
  std::string body;
  bool is_signed = false;
  bool is_stream = false;
};

// Receives a stream as it arrives. Both functions return false to stop the
// attempt, as when the client has disconnected.
struct StreamSink {
  std::function<boost::asio::awaitable<bool>(const UpstreamReply& head)> begin;
  std::function<boost::asio::awaitable<bool>(std::string_view bytes)> forward;
};

class UpstreamAttempt : public std::enable_shared_from_this<UpstreamAttempt> {
 public:
  struct Request {
    // Writes head and body as sent now, with the time that is left.
    std::function<std::string()> write;
    std::string id;
    std::string address;
    bool is_retryable = false;
    bool is_head = false;  // The reply has no body.
    size_t max_connections = 1;
    // Whether a peer may send the request if this instance has lost its path to
    // the upstream.
    bool may_use_peers = false;
    // Read timeouts; 0: none.
    Duration first_byte_timeout{0};
    Duration stream_read_timeout{0};
  };

  UpstreamAttempt(GatewayContext& gateway,
                  Request request,
                  std::shared_ptr<PlacedAttempt> attempt);

  boost::asio::awaitable<AttemptEnd> Execute(const StreamSink& sink);
  // Stops the attempt by closing its connection.
  void Stop();
  const UpstreamReply& Reply() const { return m_reply; }
  // When the request was last sent, to the upstream or to a peer.
  std::optional<Time> SentAt() const { return m_sent_at; }
  // After kNotSent: why this instance had no connection.
  const UpstreamConnectResult& ConnectFailure() const {
    return m_connect_failure;
  }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  // Return kNotSent if no connection could be made or, through peers, none of
  // them has sent the request.
  boost::asio::awaitable<AttemptEnd> ExecuteDirectly(const StreamSink& sink);
  boost::asio::awaitable<AttemptEnd> ExecuteThroughPeers(
      const StreamSink& sink);
  // Sends `bytes` over the connection and receives the reply.
  boost::asio::awaitable<AttemptEnd> SendAndReceive(std::string bytes,
                                                    const StreamSink& sink);
  void Send(std::string bytes);
  boost::asio::awaitable<AttemptEnd> Receive(const StreamSink& sink);
  // Returns the end that a peer's reply states without a reply of the upstream.
  boost::asio::awaitable<AttemptEnd> ReceivePeerOutcome(Parser& parser);
  void RefuseByPeer(PeerRefusal refusal);
  void LogThroughPeer(std::string_view outcome);
  boost::asio::awaitable<bool> ReadHead(std::unique_ptr<Parser>& parser);
  // Returns false if reading failed, or if the reply ended with a connection
  // that the other end did not close.
  boost::asio::awaitable<bool> ReadSome(Parser& parser);
  // Reads up to `max_bytes` of a body. Returns whether it is complete.
  boost::asio::awaitable<bool> ReadWholeBody(Parser& parser, size_t max_bytes);
  boost::asio::awaitable<AttemptEnd> ReadBody(Parser& parser);
  boost::asio::awaitable<AttemptEnd> ForwardStream(Parser& parser,
                                                   const StreamSink& sink);
  // Passes on what the reply says about its upstream.
  void RecordSignals(const ReplyMetadata& metadata);
  void LogUnreachable(bool is_refused);
  void LogWithdrawn(SendBlock block);
  void LogUndueReply(ReplyMatch match,
                     const ReplyMetadata& metadata,
                     unsigned status);
  void LogInvalidHead(const std::string& cause);
  void LogNotExecuted();
  AttemptEnd FailureEnd() const;
  void LogReplyCut();
  // Logs which limit a reply has exceeded, if that is why reading failed.
  void LogIfTooLarge(boost::system::error_code error);
  void LogExceeded(std::string_view limit);
  void ArmReadTimer(Duration limit);
  void RecordByte();
  // Reserves the part of the reply that is in `parser` or not yet parsed.
  void ReserveReply(const Parser& parser);
  void ReleaseConnection(bool may_reuse);

  GatewayContext& m_gateway;
  const Request m_request;
  const std::shared_ptr<PlacedAttempt> m_attempt;
  std::shared_ptr<UpstreamConnection> m_connection;
  std::optional<PeerCandidate> m_peer;  // Set while it sends the request.
  UpstreamConnectResult m_connect_failure;
  std::shared_ptr<RequestWrite> m_write;  // Null: nothing was sent.
  boost::asio::steady_timer m_read_timer;
  Duration m_read_timeout{0};
  Time m_last_byte_at;
  std::optional<Time> m_sent_at;
  Time m_head_at;               // Of the reply.
  bool m_is_on_reused = false;  // The reply's connection.
  bool m_stopped = false;
  bool m_timed_out = false;
  bool m_saw_foreign_reply = false;  // A reply to another request came first.
  // Reading waits for the caller, so that no byte of the upstream is due.
  bool m_awaits_caller = false;
  UpstreamReply m_reply;
  MemoryHold m_reply_hold;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_UPSTREAM_ATTEMPT_H_
