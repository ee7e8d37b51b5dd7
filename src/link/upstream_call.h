// Defines CallModel() and CallPlain(): one attempt of a request at an upstream,
// which ends as answered, not started or unknown (AttemptOutcome).

#ifndef POMELORING_LINK_UPSTREAM_CALL_H_
#define POMELORING_LINK_UPSTREAM_CALL_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "core/action.h"
#include "link/http_client.h"

namespace pomeloring {

// Receives each token event of a stream as the upstream wrote it. Returns false
// to stop the stream because the caller has disconnected.
using TokenSink =
    std::function<boost::asio::awaitable<bool>(std::string_view event,
                                               std::string_view text)>;

struct UpstreamTimeouts {
  std::chrono::milliseconds connect{500};
  // Engines send a heartbeat on a stream every second. If nothing arrives for
  // this long, the connection is considered dead; the engine may still be
  // alive.
  std::chrono::milliseconds stream_idle{3000};
  // For the complete reply of a plain service.
  std::chrono::milliseconds plain_reply{30000};
  std::chrono::milliseconds health_check{500};
};

struct ModelCall {
  std::string address;
  std::string target;
  std::string body;  // JSON, with "stream": true.
  std::string request_id;
  uint32_t priority = 1;  // The tier of the request's class.
  bool idempotent = true;
  UpstreamTimeouts timeouts;
};

struct ModelCallResult {
  AttemptOutcome outcome = AttemptUnknown{};
  std::string finish_reason;  // Empty unless answered.
};

// The part of the answer that was received so far, over all attempts.
struct StreamProgress {
  uint32_t tokens = 0;
  std::string text;
};

// Streams the answer from the position in `progress` on and adds the new tokens
// to `progress`. Earlier tokens are not requested again; a stream that does not
// continue at exactly that position ends the attempt. An idempotent call is
// continued over a new connection if the old one was stale, or if it timed out
// while the upstream is healthy.
boost::asio::awaitable<ModelCallResult> CallModel(ConnectionPool& pool,
                                                  ModelCall call,
                                                  StreamProgress& progress,
                                                  TokenSink sink);

struct PlainCall {
  std::string address;
  HttpRequestMessage request;
  bool idempotent = true;
  UpstreamTimeouts timeouts;
};

struct PlainCallResult {
  AttemptOutcome outcome = AttemptUnknown{};
  HttpResponseMessage response;
};

// Sends one request and reads the complete reply. An idempotent request that
// fails on a reused connection, other than by timeout, is retried on a new one.
boost::asio::awaitable<PlainCallResult> CallPlain(ConnectionPool& pool,
                                                  PlainCall call);

}  // namespace pomeloring

#endif  // POMELORING_LINK_UPSTREAM_CALL_H_
