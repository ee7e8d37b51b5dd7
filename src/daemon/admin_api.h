// Defines the HTTP interface towards operators.

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
  std::string key_sha256;
  std::function<void()> stop;
};

// Health and metrics need no key; all else needs the operators' key.
boost::asio::awaitable<void> ServeAdmin(const AdminApiContext& context,
                                        HttpExchange& exchange);

}  // namespace pomeloring

#endif  // POMELORING_DAEMON_ADMIN_API_H_
