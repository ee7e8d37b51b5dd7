// Defines ServeAdmin(): the HTTP interface for operators.

#ifndef POMELORING_DAEMON_ADMIN_API_H_
#define POMELORING_DAEMON_ADMIN_API_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "core/instance.h"
#include "daemon/metrics.h"
#include "link/http_server.h"

namespace pomeloring {

struct AdminApiContext {
  Instance& instance;
  const Metrics& metrics;
  std::string key_sha256;      // In lower-case hexadecimal.
  std::function<void()> stop;  // Starts a graceful shutdown.
};

// Handles one request. Health, readiness and metrics need no key; all other
// paths need the operators' key as a bearer token.
boost::asio::awaitable<void> ServeAdmin(const AdminApiContext& context,
                                        HttpExchange& exchange);

}  // namespace pomeloring

#endif  // POMELORING_DAEMON_ADMIN_API_H_
