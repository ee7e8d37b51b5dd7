// Defines UpstreamRun: one try of a request at one upstream, from connecting to
// the end of the reply.

#ifndef POMELORING_GATEWAY_UPSTREAM_RUN_H_
#define POMELORING_GATEWAY_UPSTREAM_RUN_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>

#include "gateway/gateway_parts.h"

namespace pomeloring {

enum class RunEnd {
  kWhole,        // The whole reply is here, or has been passed on.
  kNotSent,      // No connection: the upstream has not seen the request.
  kNotExecuted,  // The upstream states that it has not run it.
  kBroken,       // The reply broke off, or is not one: it may have run.
  kSilent,       // Nothing came for too long: it may still run.
  kStopped,      // Stop() was called.
};

std::string_view ToString(RunEnd end);

// A reply as far as it is kept. Of a stream only the head is.
struct PassedReply {
  unsigned status = 0;
  HttpFields fields;
  std::string body;
  bool is_sealed = false;
  bool is_stream = false;
};

// What a stream's run hands over while it goes on; both return false once the
// client is gone.
struct StreamSink {
  std::function<boost::asio::awaitable<bool>(const PassedReply& head)> begin;
  std::function<boost::asio::awaitable<bool>(std::string_view bytes)> pass;
};

class UpstreamRun : public std::enable_shared_from_this<UpstreamRun> {
 public:
  struct Request {
    std::string bytes;  // Head and body, as sent.
    std::string id;
    std::string address;
    bool may_repeat = false;
    bool is_head = false;  // The reply has no body.
    size_t max_connections = 1;
    // Without a byte of the reply, and between two of them.
    Duration first_byte_limit{0};
    Duration pause_limit{0};
  };

  UpstreamRun(GatewayParts& parts,
              Request request,
              std::shared_ptr<PlacedAttempt> run);

  boost::asio::awaitable<RunEnd> Go(const StreamSink& sink);
  // Ends the run from outside: closes its connection.
  void Stop();
  const PassedReply& Reply() const { return m_reply; }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Send();
  boost::asio::awaitable<RunEnd> Receive(const StreamSink& sink);
  boost::asio::awaitable<bool> ReadHead(std::unique_ptr<Parser>& parser);
  boost::asio::awaitable<RunEnd> ReadWholeBody(Parser& parser);
  boost::asio::awaitable<RunEnd> PassStream(Parser& parser,
                                            const StreamSink& sink);
  RunEnd Failure() const;
  void ArmSilence(Duration limit);
  void RecordByte();
  void Finish(bool may_reuse);

  GatewayParts& m_parts;
  const Request m_request;
  const std::shared_ptr<PlacedAttempt> m_run;
  std::shared_ptr<UpstreamConnection> m_connection;
  std::shared_ptr<bool> m_sent = std::make_shared<bool>(false);
  boost::asio::steady_timer m_silence;
  Duration m_limit{0};
  Time m_last_byte;
  bool m_stopped = false;
  bool m_silent = false;
  bool m_other_replies = false;  // Replies to other requests came first.
  PassedReply m_reply;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_UPSTREAM_RUN_H_
