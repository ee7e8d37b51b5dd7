// Defines upstreams, a configuration, a router and requests for routing tests.

#ifndef POMELORING_TEST_SUPPORT_ROUTING_SITE_H_
#define POMELORING_TEST_SUPPORT_ROUTING_SITE_H_

#include <memory>
#include <string>

#include "routing/router.h"

namespace pomeloring {

inline constexpr char kEngineService[] = "engines";
inline constexpr char kPlainService[] = "plain";

UpstreamChange ReadyUpstream(const std::string& id,
                             uint64_t offset,
                             const std::string& service = kEngineService);
UpstreamChange DrainingUpstream(const std::string& id, uint64_t offset);
UpstreamChange RemovedUpstream(const std::string& id, uint64_t offset);

// Applies what a peer or the store has sent.
void ApplyUpdate(Router& router, const UpstreamUpdate& update, Time now);
// Fetches from `peer` what `router` lacks by its digest. Returns whether it
// lacked anything.
bool FetchUpstreams(Router& router, Router& peer, Time now);

// A configuration with the routes "question" (priority 0, short event gaps),
// "tag" (priority 1) and "draft" (priority 2, resumable) of the engines, and
// "stamp" of the plain service.
std::shared_ptr<const RoutingConfig> SmallRouting(uint64_t version = 1);

// A router with SmallRouting() and `engines` ready engines named e0, e1, ...
std::unique_ptr<Router> ReadyRouter(int engines,
                                    Time now,
                                    const InstanceName& name = {"a"});

// A request on the route named `route`, with 12 s left.
AttemptRequest RequestOn(const Router& router,
                         const std::string& route,
                         uint32_t prompt_tokens);

}  // namespace pomeloring

#endif  // POMELORING_TEST_SUPPORT_ROUTING_SITE_H_
