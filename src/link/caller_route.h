// Defines RouteRequest(): resolves a caller's HTTP request to its account,
// service, request class and idempotency key, or to a typed error.

#ifndef POMELORING_LINK_CALLER_ROUTE_H_
#define POMELORING_LINK_CALLER_ROUTE_H_

#include <string>
#include <variant>

#include "core/cluster_view.h"
#include "core/entry.h"
#include "link/http_server.h"
#include "link/problem.h"

namespace pomeloring {

// A valid request, resolved against the configuration in force.
struct CallerRoute {
  CallerRequest request;
  RequestClass class_config;
  ServiceKind kind = ServiceKind::kModel;
  bool wants_stream = false;
  std::string model;
  std::string upstream_body;  // Model services only: sent to the engine.
};

// Returns the route, or the error to send to the caller.
std::variant<CallerRoute, BadRequest> RouteRequest(const ClusterView& view,
                                                   const HttpRequest& request,
                                                   const RequestId& id);

}  // namespace pomeloring

#endif  // POMELORING_LINK_CALLER_ROUTE_H_
