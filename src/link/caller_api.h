// Defines CallerApi: the HTTP interface towards callers, from a request to its
// one final answer.

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

// How one request went, for metrics.
struct RequestSummary {
  ClassName request_class;
  std::string_view outcome;
  bool met_target = false;
  Duration first_token{0};
  Duration total{0};
  uint32_t tokens = 0;
  uint32_t wasted_tokens = 0;  // Generated, but not part of a whole answer.
};

struct CallerApiSettings {
  std::chrono::seconds address_ttl{30};
  UpstreamTimeouts timeouts;
  std::chrono::milliseconds forward_timeout{60000};
};

struct CallerApiContext {
  Instance& instance;
  SessionTable& sessions;
  ConnectionPool& pool;
  ActionSink run_actions;
  std::function<void(const RequestSummary&)> on_summary;
  CallerApiSettings settings;
};

// Serves one request.
boost::asio::awaitable<void> ServeCaller(const CallerApiContext& context,
                                         HttpExchange& exchange);

// Returns the lower-case hexadecimal SHA-256 of a key.
std::string Sha256Hex(std::string_view key);

}  // namespace pomeloring

#endif  // POMELORING_LINK_CALLER_API_H_
