// Defines the reading of a caller's HTTP request: account, service, class and
// key, or a typed refusal.

#ifndef POMELORING_LINK_CALLER_ROUTE_H_
#define POMELORING_LINK_CALLER_ROUTE_H_

#include <string>
#include <variant>

#include "core/cluster_view.h"
#include "core/entry.h"
#include "link/http_server.h"
#include "link/problem.h"

namespace pomeloring {

// A request that names a service of the configuration in force.
struct CallerRoute {
  CallerRequest request;
  RequestClass class_config;
  ServiceKind kind = ServiceKind::kModel;
  bool wants_stream = false;
  std::string model;
  std::string upstream_body;  // For a model service: as sent to the engine.
};

std::variant<CallerRoute, BadRequest> RouteRequest(const ClusterView& view,
                                                   const HttpRequest& request,
                                                   const RequestId& id);

}  // namespace pomeloring

#endif  // POMELORING_LINK_CALLER_ROUTE_H_
