// Defines UpstreamCall: one attempt of a request at an upstream, ended in one
// of the three typed outcomes.

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

// Takes one token event of a stream, as the upstream wrote it. Returns false
// once the caller is gone and nothing is to follow.
using TokenSink =
    std::function<boost::asio::awaitable<bool>(std::string_view event,
                                               std::string_view text)>;

struct UpstreamTimeouts {
  std::chrono::milliseconds connect{500};
  // Engines send a heartbeat every second on a stream; a stream that is silent
  // for longer is dead, the engine may live.
  std::chrono::milliseconds stream_idle{3000};
  std::chrono::milliseconds plain_reply{30000};
  std::chrono::milliseconds health_check{500};
};

struct ModelCall {
  std::string address;
  std::string target;
  std::string body;  // JSON, with "stream": true.
  std::string request_id;
  uint32_t priority = 1;  // The class's tier.
  bool idempotent = true;
  UpstreamTimeouts timeouts;
};

struct ModelCallResult {
  AttemptOutcome outcome = AttemptUnknown{};
  std::string finish_reason;
};

// What has reached the caller so far, over all attempts.
struct StreamProgress {
  uint32_t tokens = 0;
  std::string text;
};

// Runs a stream from `progress` on. Tokens before it are never asked for again;
// an upstream whose stream does not join at exactly that place is given up.
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

boost::asio::awaitable<PlainCallResult> CallPlain(ConnectionPool& pool,
                                                  PlainCall call);

}  // namespace pomeloring

#endif  // POMELORING_LINK_UPSTREAM_CALL_H_
