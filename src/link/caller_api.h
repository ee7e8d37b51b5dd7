// Defines ServeCaller(): the HTTP interface to callers, which gives each
// request exactly one final reply.

#ifndef POMELORING_LINK_CALLER_API_H_
#define POMELORING_LINK_CALLER_API_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "core/instance.h"
#include "link/http_client.h"
#include "link/http_server.h"
#include "link/session.h"
#include "link/upstream_call.h"

namespace pomeloring {

// The outcome, latencies and token counts of one request, for metrics.
struct RequestSummary {
  ClassName request_class;
  std::string_view outcome;
  bool met_target = false;
  Duration first_token{0};  // Since receipt; zero if no token arrived.
  Duration total{0};        // Since receipt.
  uint32_t tokens = 0;
  uint32_t wasted_tokens = 0;  // `tokens` if not answered, otherwise 0.
};

struct CallerApiSettings {
  // How long callers may cache the reply of /v1/entries.
  std::chrono::seconds address_ttl{30};
  UpstreamTimeouts timeouts;
  // For a request that is forwarded to the instance that owns its key.
  std::chrono::milliseconds forward_timeout{60000};
};

// The objects and settings that serving a request needs.
struct CallerApiContext {
  Instance& instance;
  SessionTable& sessions;
  ConnectionPool& pool;
  ActionSink run_actions;
  // Called when a valid request ends, unless another instance answered it.
  std::function<void(const RequestSummary&)> on_summary;
  CallerApiSettings settings;
};

// Handles one request up to its final reply. `context` and `exchange` must
// outlive the coroutine.
boost::asio::awaitable<void> ServeCaller(const CallerApiContext& context,
                                         HttpExchange& exchange);

// Returns the SHA-256 of `key` in lower-case hexadecimal.
std::string Sha256Hex(std::string_view key);

}  // namespace pomeloring

#endif  // POMELORING_LINK_CALLER_API_H_
